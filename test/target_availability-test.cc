// seamglade - whether a target takes new requests, by its own word
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_availability.h"

#include <gtest/gtest.h>

namespace seamglade::gateway {
namespace {

constexpr target_life kLife = 1000;
constexpr target_life kNextLife = 2000;

class target_availability_test : public testing::Test {
 protected:
  using is = availability;
  availability state(target_life life = kLife, duration turn = {}) const {
    return word_.state(now_, life, turn);
  }
  static target_availability::hearsay near(duration rest) {
    return {1, true, rest};
  }
  static target_availability::hearsay far(std::uint32_t domain) {
    return {domain, false, 3s};
  }
  void pass(duration time) { now_ += time; }

  time_point now_{100s};
  target_availability word_;
};

TEST_F(target_availability_test, leaves_until_it_starts_again) {
  EXPECT_EQ(state(), is::open);
  EXPECT_TRUE(word_.leaves(kLife));
  EXPECT_FALSE(word_.leaves(kLife));
  pass(24h);
  // Another answer may not say it, and an entry may still say ready.
  word_.answered(now_, now_);
  EXPECT_EQ(state(), is::leaving);
  EXPECT_EQ(state(kNextLife), is::open);
}

TEST_F(target_availability_test, late_word_of_an_earlier_life_counts_for_none) {
  word_.leaves(kLife);
  EXPECT_TRUE(word_.asks_for_rest(now_, kNextLife, 3s));
  EXPECT_FALSE(word_.asks_for_rest(now_, kLife, 30s));
  EXPECT_FALSE(word_.asks_another_for_rest(now_, kLife, near(30s)));
  pass(3s);
  EXPECT_EQ(state(kNextLife), is::open);
  // A copy of the store may lag behind what others heard of the next life.
  word_.leaves(kNextLife);
  EXPECT_EQ(state(kLife), is::leaving);
}

TEST_F(target_availability_test, a_rest_binds_and_is_followed_by_one_trial) {
  word_.asks_for_rest(now_, kLife, 3s);
  pass(2999ms);
  EXPECT_EQ(state(), is::resting);
  EXPECT_TRUE(word_.is_at_rest(now_, kLife));
  pass(1ms);
  EXPECT_EQ(state(), is::open);
  EXPECT_EQ(state(kLife, 50ms), is::doubtful);
  EXPECT_TRUE(word_.begin_trial(now_, kLife));
  EXPECT_EQ(state(), is::resting);
  EXPECT_FALSE(word_.is_at_rest(now_, kLife));
  pass(100ms);
  EXPECT_TRUE(word_.answered(now_, now_ - 100ms));
  EXPECT_EQ(state(), is::open);
  EXPECT_FALSE(word_.begin_trial(now_, kLife));
}

TEST_F(target_availability_test, a_trial_that_hangs_holds_no_other_up) {
  word_.asks_for_rest(now_, kLife, 1s);
  pass(1s);
  word_.begin_trial(now_, kLife);
  pass(500ms);
  EXPECT_EQ(state(), is::open);
}

TEST_F(target_availability_test, an_answer_to_what_was_sent_before_ends_none) {
  const auto sent = now_;
  pass(10ms);
  word_.asks_for_rest(now_, kLife, 3s);
  pass(1s);
  EXPECT_FALSE(word_.answered(now_, sent));
  EXPECT_EQ(state(), is::resting);
  pass(5s);
  EXPECT_FALSE(word_.answered(now_, sent));
  EXPECT_TRUE(word_.needs_trial(kLife));
}

TEST_F(target_availability_test, another_ones_rest_is_a_doubt_and_no_bond) {
  EXPECT_TRUE(word_.asks_another_for_rest(now_, kLife, near(3s)));
  EXPECT_FALSE(word_.is_at_rest(now_, kLife));
  EXPECT_EQ(state(), is::doubtful);
  pass(1s);
  word_.answered_another(now_, kLife, true);
  EXPECT_EQ(state(), is::open);
}

TEST_F(target_availability_test, another_ones_answer_does_not_end_an_own_rest) {
  word_.asks_for_rest(now_, kLife, 3s);
  word_.answered_another(now_, kLife, true);
  EXPECT_EQ(state(), is::resting);
}

TEST_F(target_availability_test, one_far_domain_is_not_believed_and_two_are) {
  EXPECT_FALSE(word_.asks_another_for_rest(now_, kLife, far(2)));
  EXPECT_FALSE(word_.asks_another_for_rest(now_, kLife, far(2)));
  EXPECT_EQ(state(), is::open);
  EXPECT_TRUE(word_.asks_another_for_rest(now_, kLife, far(3)));
  EXPECT_EQ(state(), is::doubtful);
  // What a far domain is answered does not end a doubt of this one.
  word_.answered_another(now_, kLife, false);
  EXPECT_EQ(state(), is::doubtful);
  word_.answered_another(now_, kLife, true);
  EXPECT_EQ(state(), is::open);
  // Each on its own, and long after the other, they tell of one domain.
  EXPECT_FALSE(word_.asks_another_for_rest(now_, kLife, far(2)));
  pass(3s);
  EXPECT_FALSE(word_.asks_another_for_rest(now_, kLife, far(3)));
  EXPECT_EQ(state(), is::open);
}

TEST_F(target_availability_test, word_of_the_same_rest_is_no_news) {
  EXPECT_TRUE(word_.asks_for_rest(now_, kLife, 3s));
  pass(100ms);
  EXPECT_FALSE(word_.asks_for_rest(now_, kLife, 3s));
  EXPECT_FALSE(word_.asks_another_for_rest(now_, kLife, near(3s)));
  pass(1s);
  EXPECT_TRUE(word_.asks_for_rest(now_, kLife, 3s));
}

TEST_F(target_availability_test, a_rest_of_years_ends_with_the_life) {
  word_.asks_for_rest(now_, kLife, 24h * 365);
  pass(23h);
  EXPECT_EQ(state(), is::resting);
  EXPECT_EQ(state(kNextLife), is::open);
  pass(2h);
  EXPECT_EQ(state(), is::open);
}

TEST_F(target_availability_test,
       who_goes_on_is_left_alone_for_longer_each_time) {
  duration last{};
  for (int trial = 0; trial < 6; ++trial) {
    EXPECT_TRUE(word_.turned_away(now_, kLife, now_));
    EXPECT_EQ(state(), is::doubtful);
    const auto left = word_.rest_left(now_, kLife);
    EXPECT_GE(left, last);
    EXPECT_LE(left, 2s);
    last = left;
    // What was on its way already is no trial.
    EXPECT_FALSE(word_.turned_away(now_, kLife, now_));
    pass(left);
    EXPECT_EQ(state(), is::open);
  }
  // No bond: others may be sent beside the trial where nothing else is left.
  word_.begin_trial(now_, kLife);
  EXPECT_EQ(state(), is::doubtful);
  EXPECT_TRUE(word_.answered(now_, now_));
  EXPECT_EQ(state(), is::open);
}

}  // namespace
}  // namespace seamglade::gateway
