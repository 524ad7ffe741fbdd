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

TEST(fingerprint, keeps_callers_with_alike_bodies_apart) {
  const auto mine = message_of("/llm/x", "body");
  auto theirs = mine;
  theirs.caller_address = kCaller + 1;
  EXPECT_NE(fingerprint_of(mine, ""), fingerprint_of(theirs, ""));
  EXPECT_NE(fingerprint_of(mine, "a"), fingerprint_of(mine, "b"));
  EXPECT_EQ(fingerprint_of(mine, "").content,
            fingerprint_of(theirs, "").content);
}

TEST(fingerprint, follows_a_workspace_from_one_address_to_another) {
  const auto here = message_of("/llm/x", "body");
  auto there = here;
  there.caller_address = kCaller + 1;
  EXPECT_EQ(fingerprint_of(here, "a"), fingerprint_of(there, "a"));
}

TEST(fingerprint, takes_a_request_without_a_body) {
  auto none = message_of("/get/x", "");
  const auto empty = fingerprint_of(none, "");
  none.body.reset();
  EXPECT_EQ(fingerprint_of(none, ""), empty);
}

}  // namespace
}  // namespace seamglade::gateway
