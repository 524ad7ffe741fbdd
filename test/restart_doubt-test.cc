// seamglade - when a target that may have started again is in doubt
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/restart_doubt.h"

#include <gtest/gtest.h>

#include "process/life_checks.h"
#include "process/target_table.h"

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

// An entry is written about once in 1.2 s, so a second without news tells
// nothing.
TEST_F(doubted_target, an_entry_that_may_be_written_later_still_counts) {
  doubt_.refused(kBegin, std::nullopt);
  EXPECT_TRUE(doubt_.is_open(kBegin + 2s, kBegin + 1500ms));
  EXPECT_TRUE(doubt_.is_open(kBegin + 4s, kBegin + 3500ms));
  EXPECT_FALSE(doubt_.is_open(kBegin + 4s, kBegin + 3600ms));
}

TEST_F(doubted_target, an_answer_tells_by_when_its_entry_is_written) {
  doubt_.refused(kBegin, std::nullopt);
  doubt_.heard(kBegin + 500ms, kBegin + kLater);
  EXPECT_TRUE(doubt_.is_open(kBegin + 3s, kBegin + 1900ms));
  EXPECT_FALSE(doubt_.is_open(kBegin + 3s, kBegin + 2s));
  doubt_.refused(kBegin + 600ms, std::nullopt);
  EXPECT_TRUE(doubt_.is_open(kBegin + 3s, kBegin + 2900ms));
}

class listed_target : public testing::Test {
 protected:
  listed_target() { list(1, 5, "v1"); }

  void list(std::uint64_t started_ms, std::uint64_t sequence,
            const std::string& software) {
    target_entry entry;
    entry.id = "t1";
    entry.started_ms = started_ms;
    entry.sequence = sequence;
    entry.software = software;
    table_.list(kBegin, std::move(entry));
  }
  restart_doubt& doubt() { return table_.find("t1")->doubt; }
  bool is_open() { return doubt().is_open(kBegin, std::nullopt); }

  target_table table_;
};

TEST_F(listed_target, what_its_former_life_wrote_does_not_end_a_doubt) {
  doubt().refused(kBegin, std::nullopt);
  list(1, 6, "v1");
  EXPECT_TRUE(is_open());
}

TEST_F(listed_target, the_word_of_its_next_life_ends_a_doubt) {
  doubt().refused(kBegin, std::nullopt);
  list(2, 0, "v1");
  EXPECT_FALSE(is_open());
}

TEST_F(listed_target, a_next_life_is_told_by_what_it_has_forgotten) {
  list(0, 5, "v1");
  doubt().refused(kBegin, std::nullopt);
  list(0, 1, "v1");
  EXPECT_FALSE(is_open());
}

TEST_F(listed_target, other_software_ends_a_doubt) {
  list(0, 5, "v1");
  doubt().refused(kBegin, std::nullopt);
  list(0, 5, "v2");
  EXPECT_FALSE(is_open());
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
