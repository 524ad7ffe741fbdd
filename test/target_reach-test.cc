// seamglade - which targets an instance reaches over its own connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_reach.h"

#include <gtest/gtest.h>

namespace seamglade::gateway {
namespace {

constexpr time_point kStart{std::chrono::hours(100)};
constexpr std::size_t kKnown = 12;
/** First bytes are overdue after this. */
constexpr duration kBound = 300ms;

/** Tries all that are due; each attempt ends so. */
void try_due(target_reach& r, time_point now, bool is_connected) {
  for (const auto target : r.due_probes(now, kKnown)) {
    r.probed(now, target, is_connected);
  }
}

TEST(target_reach, doubts_a_target_whose_answer_is_overdue) {
  target_reach r;
  r.called(kStart, 1, 10, kBound);
  EXPECT_TRUE(r.due_probes(kStart + kBound - 1ms, kKnown).empty());
  r.due_probes(kStart + kBound, kKnown);
  const auto due = r.due_probes(kStart + kBound + 100ms, kKnown);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_FALSE(r.is_out_of_reach(1));
  r.probed(kStart + 1s, 1, false);
  EXPECT_TRUE(r.is_out_of_reach(1));
  EXPECT_FALSE(r.is_cut_off());
  r.heard(kStart + 2s, 1);
  EXPECT_FALSE(r.is_out_of_reach(1));
}

TEST(target_reach, doubts_nobody_whose_call_ended_or_who_was_heard) {
  target_reach r;
  r.called(kStart, 1, 10, kBound);
  r.called(kStart, 2, 11, kBound);
  r.ended(10);
  r.heard(kStart + 100ms, 2);
  r.due_probes(kStart + 1s, kKnown);
  EXPECT_TRUE(r.due_probes(kStart + 2s, kKnown).empty());
}

TEST(target_reach, is_cut_off_where_several_are_silent_and_none_is_heard) {
  target_reach r;
  for (target_hash target = 1; target <= 3; ++target) r.failed(kStart, target);
  try_due(r, kStart + 100ms, false);
  r.due_probes(kStart + 120ms, kKnown);
  EXPECT_TRUE(r.is_cut_off());
  EXPECT_TRUE(r.is_all_silent());
  EXPECT_TRUE(r.is_out_of_reach(9));
  EXPECT_EQ(r.probes_due_in_cut(kStart + 150ms), 0U);
  EXPECT_GT(r.probes_due_in_cut(kStart + 400ms), 0U);
  EXPECT_TRUE(r.probed(kStart + 500ms, 9, true));
  EXPECT_FALSE(r.is_cut_off());
}

TEST(target_reach, is_not_cut_off_where_another_target_is_heard) {
  target_reach r;
  for (target_hash target = 1; target <= 5; ++target) r.failed(kStart, target);
  r.heard(kStart + 50ms, 9);
  try_due(r, kStart + 100ms, false);
  r.due_probes(kStart + 120ms, kKnown);
  EXPECT_FALSE(r.is_cut_off());
  EXPECT_EQ(r.out_of_reach(), 5U);
}

TEST(target_reach, is_cut_off_where_only_kept_connections_live_on) {
  target_reach r;
  for (target_hash target = 1; target <= 3; ++target) {
    r.not_connected(kStart, target);
    r.heard(kStart + 1ms, target);
  }
  r.due_probes(kStart + 10ms, kKnown);
  EXPECT_TRUE(r.is_cut_off());
  EXPECT_FALSE(r.is_all_silent());
  // Bytes on kept connections tell nothing of new ones.
  EXPECT_FALSE(r.heard(kStart + 20ms, 1));
  EXPECT_TRUE(r.connected(kStart + 30ms));
  EXPECT_FALSE(r.is_cut_off());
}

TEST(target_reach, a_connection_between_refusals_shows_that_it_is_not_cut_off) {
  target_reach r;
  r.not_connected(kStart, 1);
  r.not_connected(kStart, 2);
  r.connected(kStart + 5ms);
  r.not_connected(kStart + 9ms, 3);
  r.due_probes(kStart + 10ms, kKnown);
  EXPECT_FALSE(r.is_cut_off());
}

TEST(target_reach, forgets_all_after_a_pause_of_the_process) {
  target_reach r;
  for (target_hash target = 1; target <= 3; ++target) r.failed(kStart, target);
  try_due(r, kStart + 100ms, false);
  r.due_probes(kStart + 120ms, kKnown);
  r.reset();
  EXPECT_FALSE(r.is_cut_off());
  EXPECT_EQ(r.out_of_reach(), 0U);
}

}  // namespace
}  // namespace seamglade::gateway
