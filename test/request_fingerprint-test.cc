// seamglade - which requests are taken to be returns of the same one
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "request/request_fingerprint.h"

#include <gtest/gtest.h>

namespace seamglade::gateway {
namespace {

constexpr std::uint32_t kCaller = 0x64400009;

caller_message message_of(std::string path, std::string body) {
  caller_message out;
  out.method = "POST";
  out.host = "h";
  out.target = std::move(path);
  out.body = std::make_shared<const std::string>(std::move(body));
  out.caller_address = kCaller;
  return out;
}

TEST(fingerprint, stays_the_same_under_another_id_and_deadline) {
  auto first = message_of("/llm/x", "body");
  first.headers = {{"X-Request-Id", "1"}, {"X-Deadline-Ms", "900"}};
  auto again = message_of("/llm/x", "body");
  again.headers = {{"X-Request-Id", "2"}, {"X-Deadline-Ms", "400"}};
  EXPECT_EQ(fingerprint_of(first, ""), fingerprint_of(again, ""));
}

TEST(fingerprint, tells_method_host_path_and_body_apart) {
  const auto first = fingerprint_of(message_of("/llm/x", "body"), "");
  EXPECT_NE(first, fingerprint_of(message_of("/llm/y", "body"), ""));
  EXPECT_NE(first, fingerprint_of(message_of("/llm/x", "bodies"), ""));
  EXPECT_NE(first, fingerprint_of(message_of("/llm/xb", "ody"), ""));
  auto other = message_of("/llm/x", "body");
  other.method = "PUT";
  EXPECT_NE(first, fingerprint_of(other, ""));
  other = message_of("/llm/x", "body");
  other.host = "g";
  EXPECT_NE(first, fingerprint_of(other, ""));
}

TEST(fingerprint, keeps_workspaces_with_alike_bodies_apart) {
  const auto message = message_of("/llm/x", "body");
  EXPECT_NE(fingerprint_of(message, "a"), fingerprint_of(message, "b"));
  EXPECT_NE(fingerprint_of(message, "a"), fingerprint_of(message, ""));
  EXPECT_EQ(fingerprint_of(message, "a").content,
            fingerprint_of(message, "b").content);
}

TEST(fingerprint, follows_a_caller_from_one_address_to_another) {
  const auto here = message_of("/llm/x", "body");
  auto there = here;
  there.caller_address = kCaller + 1;
  EXPECT_EQ(fingerprint_of(here, "a"), fingerprint_of(there, "a"));
  EXPECT_EQ(fingerprint_of(here, ""), fingerprint_of(there, ""));
}

TEST(fingerprint, a_query_counts_where_it_is_all_that_is_said) {
  EXPECT_NE(fingerprint_of(message_of("/get/x?page=1", ""), ""),
            fingerprint_of(message_of("/get/x?page=2", ""), ""));
  EXPECT_EQ(fingerprint_of(message_of("/llm/x?page=1", "body"), ""),
            fingerprint_of(message_of("/llm/x?page=2", "body"), ""));
}

TEST(fingerprint, takes_a_request_without_a_body) {
  auto none = message_of("/get/x", "");
  const auto empty = fingerprint_of(none, "");
  none.body.reset();
  EXPECT_EQ(fingerprint_of(none, ""), empty);
}

}  // namespace
}  // namespace seamglade::gateway
