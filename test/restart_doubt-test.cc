// seamglade - when a target that may have started again is in doubt
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/restart_doubt.h"

#include <gtest/gtest.h>

#include "process/life_checks.h"

namespace seamglade::gateway {
namespace {

constexpr target_hash kTarget = 7;
const time_point kBegin{1000s};
constexpr auto kLater = 400ms;  // Longer than the shortest restart.

class doubted_target : public testing::Test {
 protected:
  bool is_open(time_point now) { return doubt_.is_open(now, std::nullopt); }

  restart_doubt doubt_;
};

TEST_F(doubted_target, a_broken_connection_opens_a_doubt) {
  doubt_.broke(kBegin, std::nullopt);
  EXPECT_FALSE(is_open(kBegin + 200ms));
  EXPECT_TRUE(is_open(kBegin + kLater));
}

TEST_F(doubted_target, a_connection_that_comes_up_soon_ends_it) {
  doubt_.broke(kBegin, std::nullopt);
  doubt_.lives(kBegin + 12ms, kBegin);
  EXPECT_FALSE(is_open(kBegin + kLater));
}

TEST_F(doubted_target, one_that_comes_up_after_a_restart_proves_nothing) {
  doubt_.broke(kBegin, std::nullopt);
  doubt_.lives(kBegin + kLater, kBegin + kLater - 10ms);
  EXPECT_TRUE(is_open(kBegin + kLater));
}

TEST_F(doubted_target, a_later_break_is_still_in_doubt) {
  doubt_.broke(kBegin, std::nullopt);
  doubt_.broke(kBegin + 8ms, std::nullopt);
  doubt_.lives(kBegin + 12ms, kBegin);
  EXPECT_FALSE(is_open(kBegin + 200ms));
  EXPECT_TRUE(is_open(kBegin + kLater));
}

TEST_F(doubted_target, one_that_refused_is_not_cleared_by_a_connection) {
  doubt_.refused(kBegin, std::nullopt);
  doubt_.lives(kBegin + 12ms, kBegin);
  EXPECT_TRUE(is_open(kBegin + 12ms));
}

TEST(life_checks, a_target_is_tried_once_all_its_sockets_are_closed) {
  life_checks checks;
  checks.connection_ended(kBegin, kTarget);
  checks.connection_ended(kBegin + 5ms, kTarget);
  EXPECT_TRUE(checks.take_due(kBegin + 9ms).empty());
  const auto due = kBegin + kAllSocketsClosed;
  EXPECT_EQ(checks.next_due(), due);
  EXPECT_EQ(checks.take_due(due).size(), 1U);
  EXPECT_EQ(checks.next_due(), std::nullopt);
}

TEST(life_checks, only_a_connection_begun_since_then_counts) {
  life_checks checks;
  checks.connection_ended(kBegin, kTarget);
  const auto due = kBegin + kAllSocketsClosed;
  checks.take_due(due);
  EXPECT_EQ(checks.tried(kTarget, due - 1ms), std::nullopt);
  EXPECT_EQ(checks.tried(kTarget, due), kBegin);
  EXPECT_EQ(checks.tried(kTarget, due), std::nullopt);
}

}  // namespace
}  // namespace seamglade::gateway
