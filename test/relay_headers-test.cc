// seamglade - what instances add to a request that they hand on
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/relay_headers.h"

#include <gtest/gtest.h>

namespace seamglade::detail {
namespace {

constexpr std::uint32_t kFrom = 0x0a000001;

TEST(relay_headers, are_taken_out_of_a_request) {
  std::vector<http_header> headers{{"X-Model", "m"},
                                   {"seamglade-relay-call", "2f"},
                                   {"Seamglade-Relay-Runs", "3"}};
  const auto call = take_relay_call(headers, kFrom);
  ASSERT_TRUE(call);
  EXPECT_EQ(call->name, "2f");
  EXPECT_EQ(call->told.from, kFrom);
  EXPECT_EQ(call->told.runs, 3U);
  ASSERT_EQ(headers.size(), 1U);
  EXPECT_EQ(headers.front().name, "X-Model");
}

TEST(relay_headers, a_request_without_a_name_is_none_that_was_handed_on) {
  std::vector<http_header> headers{{"Seamglade-Relay-Runs", "3"}};
  EXPECT_FALSE(take_relay_call(headers, kFrom));
}

TEST(relay_headers, of_callers_and_targets_are_dropped) {
  std::vector<http_header> headers{{"Seamglade-Relay-No-Help", "1"},
                                   {"SEAMGLADE-RELAY-CALL", "1"},
                                   {"Content-Type", "text/plain"}};
  EXPECT_TRUE(has_header(headers, kRelayNoHelp));
  drop_relay_headers(headers);
  EXPECT_FALSE(has_header(headers, kRelayNoHelp));
  EXPECT_EQ(headers.size(), 1U);
}

TEST(relay_headers, tell_where_a_stream_began) {
  const gateway::stream_origin origin{0x2f, 0xffffffffffffffff};
  std::vector<http_header> headers{{"Seamglade-Relay-Call", "1"},
                                   origin_header(origin)};
  EXPECT_EQ(read_origin(headers), origin);
  const auto call = take_relay_call(headers, kFrom);
  ASSERT_TRUE(call);
  EXPECT_EQ(call->told.origin, origin);
  EXPECT_TRUE(headers.empty());
}

TEST(relay_headers, an_origin_that_cannot_be_read_is_none) {
  for (const auto* text : {"", "1", "1/", "/1", "1/x", "x/1", "1/2/3", "1/ 2",
                           "1/11111111111111111"}) {
    EXPECT_FALSE(read_origin({{std::string(kRelayOrigin), text}})) << text;
  }
  EXPECT_FALSE(read_origin({}));
}

}  // namespace
}  // namespace seamglade::detail
