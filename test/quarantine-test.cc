// seamglade - who is blamed for the ends of targets, and for how long
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "process/end_watch.h"

namespace seamglade::gateway {
namespace {

using how = event::target_probed::how;
using verdict = end_watch::verdict;

constexpr time_point kStart{std::chrono::hours(100)};
/** Another target was heard then. */
constexpr time_point kHeard = kStart + 2ms;
constexpr request_fingerprint kRequest{1, 2};
constexpr request_fingerprint kOther{1, 3};
constexpr target_hash kTarget = 7;
/** A part that all requests of a route have, and one behind it. */
constexpr request_fingerprint kFirstPart{1, 4, 1};
constexpr request_fingerprint kPart{1, 5, 2};
/** Word of who else was at an end has come by then. */
constexpr duration kSettled = 150ms;

TEST(quarantine, refuses_what_was_there_at_two_ends) {
  quarantine q;
  EXPECT_FALSE(q.is_blamed(kRequest));
  EXPECT_TRUE(q.note_end(kStart, kRequest, 1));
  EXPECT_TRUE(q.is_blamed(kRequest));
  EXPECT_FALSE(q.refused_for(kStart, kRequest));
  EXPECT_TRUE(q.note_end(kStart + 2s, kRequest, 2));
  EXPECT_EQ(q.refused_for(kStart + 2s, kRequest), duration(10min));
  EXPECT_FALSE(q.refused_for(kStart + 2s, kOther));
  EXPECT_EQ(q.refused(kStart + 2s), 1U);
}

TEST(quarantine, takes_one_end_that_two_instances_saw_for_one) {
  quarantine q;
  q.note_end(kStart, kRequest, kTarget);
  EXPECT_FALSE(q.take(kStart + 30ms, {kRequest, {{kTarget, 20ms}}, {}}));
  EXPECT_FALSE(q.refused_for(kStart + 30ms, kRequest));
  // The same target, back under its id, ended once more.
  EXPECT_TRUE(q.note_end(kStart + 3s, kRequest, kTarget));
  EXPECT_TRUE(q.refused_for(kStart + 3s, kRequest));
}

TEST(quarantine, lasts_twice_as_long_after_each_further_end) {
  quarantine q;
  auto now = kStart;
  q.note_end(now, kRequest, 1);
  duration last{};
  for (target_hash target = 2; target <= 8; ++target) {
    q.note_end(now, kRequest, target);
    q.expire(now);
    const auto refused = q.refused_for(now, kRequest);
    ASSERT_TRUE(refused);
    if (target > 2) {
      EXPECT_EQ(*refused, 2 * last);
    }
    last = *refused;
    now += last;
    EXPECT_FALSE(q.refused_for(now, kRequest));
  }
}

TEST(quarantine, a_whole_answer_ends_all_blame_before_it) {
  quarantine q;
  q.note_end(kStart, kRequest, 1);
  EXPECT_TRUE(q.note_answer(kStart + 1s, kRequest));
  q.note_end(kStart + 2s, kRequest, 2);
  EXPECT_FALSE(q.refused_for(kStart + 2s, kRequest));
  // Word of the end before the answer comes late.
  EXPECT_FALSE(q.take(kStart + 3s, {kRequest, {{1, 3s}}, {}}));
  EXPECT_FALSE(q.refused_for(kStart + 3s, kRequest));
  EXPECT_FALSE(q.note_answer(kStart + 3s, kOther));
}

/** Notes ends of targets under a part, so far apart; returns the last's time.
 */
time_point end_targets(quarantine& q, const request_fingerprint& part,
                       std::size_t count, duration gap) {
  auto at = kStart;
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0) at += gap;
    q.note_end(at, part, i + 1);
  }
  return at;
}

TEST(quarantine, refuses_a_part_at_three_ends_without_a_proof_between) {
  quarantine q;
  const auto last = end_targets(q, kPart, 3, 800ms);
  EXPECT_FALSE(q.refused_for(last, kPart));
  EXPECT_TRUE(q.refused_for(last + kSettled, kPart));
  EXPECT_EQ(q.newly_refused_parts(last + kSettled).size(), 1U);
  EXPECT_TRUE(q.newly_refused_parts(last + kSettled).empty());
}

TEST(quarantine, refuses_no_part_whose_ends_come_together) {
  quarantine q;
  const auto last = end_targets(q, kPart, 6, 200ms);
  EXPECT_FALSE(q.refused_for(last + kSettled, kPart));
}

TEST(quarantine, a_run_with_a_part_ends_its_blame_up_to_then) {
  quarantine q;
  const auto last = end_targets(q, kPart, 3, 800ms);
  EXPECT_TRUE(q.note_answer(last - 100ms, kPart));
  EXPECT_FALSE(q.refused_for(last + kSettled, kPart));
  EXPECT_EQ(q.ends_of(kPart), 1U);
}

TEST(quarantine, refuses_a_part_that_ends_targets_in_quick_succession) {
  for (const duration gap : {50ms, 100ms, 150ms, 250ms}) {
    quarantine q;
    const auto count = static_cast<std::size_t>(3s / gap);
    const auto last = end_targets(q, kPart, count, gap);
    EXPECT_TRUE(q.refused_for(last, kPart)) << gap / 1ms;
  }
}

TEST(quarantine, the_part_furthest_behind_answers_for_the_ends_of_both) {
  quarantine q;
  end_targets(q, kFirstPart, 4, 800ms);
  const auto last = end_targets(q, kPart, 4, 800ms);
  EXPECT_TRUE(q.refused_for(last + kSettled, kPart));
  EXPECT_FALSE(q.refused_for(last + kSettled, kFirstPart));
}

TEST(quarantine, tries_a_refused_part_once) {
  quarantine q;
  const auto last = end_targets(q, kPart, 3, 800ms);
  EXPECT_FALSE(q.take_trial(last + 1s, kPart));
  EXPECT_TRUE(q.take_trial(last + 31s, kPart));
  EXPECT_FALSE(q.take_trial(last + 32s, kPart));
  EXPECT_FALSE(q.take_trial(last + 31s, kRequest));
}

TEST(quarantine, forgets_what_is_long_over) {
  quarantine q;
  q.note_end(kStart, kRequest, 1);
  q.note_end(kStart, kOther, 1);
  q.note_end(kStart, kOther, 2);
  q.expire(kStart + 11min);
  EXPECT_EQ(q.size(), 1U);
  q.expire(kStart + 21min);
  EXPECT_EQ(q.size(), 0U);
}

TEST(quarantine, whoever_fills_it_frees_nobody) {
  quarantine q;
  q.note_end(kStart, kRequest, 1);
  q.note_end(kStart, kRequest, 2);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    q.note_end(kStart + 1s, {9, i}, 3);
  }
  EXPECT_LE(q.size(), 512U);
  EXPECT_TRUE(q.refused_for(kStart + 1s, kRequest));
}

TEST(quarantine, tells_those_that_are_refused_in_turn) {
  quarantine q;
  for (std::uint64_t i = 0; i < 5; ++i) {
    q.note_end(kStart, {i, 0}, 1);
    if (i != 3) q.note_end(kStart, {i, 0}, 2);
  }
  std::set<request_fingerprint> told;
  for (int round = 0; round < 2; ++round) {
    for (const auto& row : q.next_rows(kStart, 2)) told.insert(row.request);
  }
  EXPECT_EQ(told.size(), 4U);
  EXPECT_FALSE(told.contains({3, 0}));
  EXPECT_TRUE(quarantine().next_rows(kStart, 2).empty());
}

TEST(quarantine, believes_no_end_in_the_time_to_come) {
  quarantine q;
  q.take(kStart, {kRequest, {{1, -1h}, {2, -2h}}, {}});
  EXPECT_EQ(q.refused_for(kStart, kRequest), duration(10min));
  EXPECT_FALSE(q.refused_for(kStart + 10min, kRequest));
}

/** Draws rows of one request: ends some seconds apart, some with an answer. */
rc::Gen<std::vector<blame_row>> rows() {
  return rc::gen::container<std::vector<blame_row>>(rc::gen::exec([] {
    blame_row row;
    row.request = kRequest;
    const auto count = *rc::gen::inRange(0, 3);
    for (int i = 0; i < count; ++i) {
      const auto target = *rc::gen::inRange<target_hash>(1, 5);
      row.ends.push_back({target, *rc::gen::inRange(0, 40) * 2s});
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      row.answered_age = *rc::gen::inRange(0, 40) * 2s + 1s;
    }
    return row;
  }));
}

RC_GTEST_PROP(quarantine, comes_to_the_same_in_any_order, ()) {
  const auto drawn = *rows();
  auto shuffled = drawn;
  std::shuffle(shuffled.begin(), shuffled.end(),
               std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
  quarantine one;
  quarantine other;
  for (const auto& row : drawn) one.take(kStart, row);
  for (const auto& row : shuffled) other.take(kStart, row);
  // Whatever is told twice changes nothing.
  for (const auto& row : drawn) RC_ASSERT(!one.take(kStart, row));
  RC_ASSERT(one.refused_for(kStart, kRequest) ==
            other.refused_for(kStart, kRequest));
}

TEST(quarantine, ends_of_one_moment_count_once_for_what_was_answered_before) {
  quarantine q;
  q.note_answer(kStart - 5s, kRequest);
  q.note_answer(kStart - 5s, kOther);
  for (target_hash target = 1; target <= 12; ++target) {
    const auto ended = kStart + static_cast<std::int64_t>(target) * 60ms;
    q.note_end(kStart + 2s, kRequest, target, ended);
  }
  EXPECT_FALSE(q.refused_for(kStart + 2s, kRequest));
  // A second moment has it refused, as any other content.
  q.note_end(kStart + 3s, kRequest, 13);
  EXPECT_TRUE(q.refused_for(kStart + 3s, kRequest));
}

// Guards against a series of ends without pauses that counts as one moment.
TEST(quarantine, a_series_of_ends_is_more_than_one_moment) {
  quarantine q;
  q.note_answer(kStart - 5s, kRequest);
  auto now = kStart;
  for (target_hash target = 1; target <= 10; ++target) {
    q.note_end(now, kRequest, target);
    now += 150ms;
  }
  EXPECT_TRUE(q.refused_for(now, kRequest));
}

TEST(quarantine, an_answer_of_long_ago_proves_nothing) {
  quarantine q;
  q.note_answer(kStart - 1h, kRequest);
  q.note_end(kStart, kRequest, 1);
  q.note_end(kStart, kRequest, 2);
  EXPECT_TRUE(q.refused_for(kStart, kRequest));
}

TEST(quarantine, another_instance_hears_of_an_answer_that_it_did_not_see) {
  quarantine knows;
  quarantine other;
  knows.note_answer(kStart - 5s, kRequest);
  other.note_end(kStart, kRequest, 1);
  other.note_end(kStart, kRequest, 2);
  ASSERT_TRUE(other.refused_for(kStart, kRequest));
  const auto row = other.row_of(kStart, kRequest);
  knows.take(kStart, row);
  EXPECT_FALSE(knows.refused_for(kStart, kRequest));
  ASSERT_TRUE(knows.knows_proof_against(row));
  other.take(kStart, knows.row_of(kStart, kRequest));
  EXPECT_FALSE(other.refused_for(kStart, kRequest));
  EXPECT_FALSE(other.knows_proof_against(knows.row_of(kStart, kRequest)));
}

TEST(quarantine, a_content_is_tried_again_where_its_ends_are_of_one_moment) {
  quarantine q;
  q.note_end(kStart, kRequest, 1);
  q.note_end(kStart + 50ms, kRequest, 2);
  q.note_end(kStart, kOther, 1);
  q.note_end(kStart + 450ms, kOther, 2);
  EXPECT_FALSE(q.take_trial(kStart + 9s, kRequest));
  EXPECT_TRUE(q.take_trial(kStart + 11s, kRequest));
  EXPECT_FALSE(q.take_trial(kStart + 12s, kRequest));
  EXPECT_TRUE(q.take_trial(kStart + 22s, kRequest));
  EXPECT_FALSE(q.take_trial(kStart + 11s, kOther));
  // The trial ended its target too.
  q.note_end(kStart + 23s, kRequest, 3);
  EXPECT_FALSE(q.take_trial(kStart + 1min, kRequest));
}

TEST(quarantine, remembers_few_answers_and_the_newest_of_them) {
  quarantine q;
  for (std::uint64_t i = 1; i <= 10000; ++i) {
    q.note_answer(kStart - 5s, {7, i});
  }
  for (const std::uint64_t i : {1U, 10000U}) {
    q.note_end(kStart, {7, i}, 1);
    q.note_end(kStart, {7, i}, 2);
  }
  EXPECT_TRUE(q.refused_for(kStart, {7, 1}));
  EXPECT_FALSE(q.refused_for(kStart, {7, 10000}));
}

TEST(end_watch, blames_all_that_broke_where_connections_are_refused) {
  end_watch w;
  EXPECT_EQ(w.call_broke(kStart, kTarget, {kRequest}), verdict::to_probe);
  EXPECT_EQ(w.call_broke(kStart, kTarget, {kOther}), verdict::awaited);
  const auto there = w.probed(kStart + 3ms, kTarget, how::refused, kHeard);
  EXPECT_EQ(there.size(), 2U);
  // The rest of the calls there break a moment later.
  EXPECT_EQ(w.call_broke(kStart + 5ms, kTarget, {{4, 4}}), verdict::ended);
  EXPECT_EQ(w.call_broke(kStart + 2s, kTarget, {{4, 4}}), verdict::to_probe);
}

TEST(end_watch, blames_nobody_for_a_refusal_until_another_target_is_heard) {
  end_watch w;
  w.call_broke(kStart, kTarget, {kRequest});
  const auto before = kStart - 1ms;
  EXPECT_TRUE(w.probed(kStart + 3ms, kTarget, how::refused, before).empty());
  const auto ends = w.others_heard(kStart + 20ms);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends.front().target, kTarget);
  EXPECT_EQ(ends.front().requests.size(), 1U);
  EXPECT_TRUE(w.others_heard(kStart + 21ms).empty());
  // What is heard much later tells nothing of that moment.
  w.call_broke(kStart + 5s, kTarget, {kRequest});
  w.probed(kStart + 5s, kTarget, how::refused, before);
  EXPECT_TRUE(w.others_heard(kStart + 7s).empty());
}

TEST(end_watch, blames_nobody_where_a_connection_comes_up_or_hangs) {
  for (const auto outcome : {how::connected, how::silent}) {
    end_watch w;
    w.call_broke(kStart, kTarget, {kRequest});
    EXPECT_TRUE(w.probed(kStart + 3ms, kTarget, outcome, kHeard).empty());
    EXPECT_EQ(w.call_broke(kStart + 9ms, kTarget, {kOther}), verdict::to_probe);
  }
}

TEST(end_watch, blames_them_yet_where_the_target_is_replaced) {
  end_watch w;
  w.call_broke(kStart, kTarget, {kRequest});
  w.probed(kStart + 3ms, kTarget, how::connected, kHeard);
  EXPECT_EQ(w.replaced(kStart + 4s, kTarget).size(), 1U);
  EXPECT_TRUE(w.replaced(kStart + 4s, kTarget).empty());
  w.call_broke(kStart + 10s, kTarget, {kRequest});
  EXPECT_TRUE(w.replaced(kStart + 20s, kTarget).empty());
  EXPECT_TRUE(w.replaced(kStart, kTarget + 1).empty());
}

TEST(end_watch, forgets_all_after_a_pause_of_the_process) {
  end_watch w;
  w.call_broke(kStart, kTarget, {kRequest});
  w.reset();
  EXPECT_TRUE(w.probed(kStart + 3ms, kTarget, how::refused, kHeard).empty());
}

}  // namespace
}  // namespace seamglade::gateway
