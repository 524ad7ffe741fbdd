// seamglade - which target a request runs on, given what is believed
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/engine_choice.h"

#include <gtest/gtest.h>

#include "process/read_pace.h"

namespace seamglade::gateway {
namespace {

using residence = engine_option::residence;

constexpr std::uint32_t kLongPrompt = 9000;

/** An idle target of 40 us a token that somebody can give orders to. */
engine_option idle(residence adapter) {
  engine_option out;
  out.adapter = adapter;
  out.has_holder = true;
  out.has_room = true;
  out.distance = proximity::same_domain;
  out.slots = 64;
  out.us_per_token = 40;
  return out;
}

/** The same, with long prompts still to be read. */
engine_option busy(residence adapter, std::uint32_t prompts) {
  auto out = idle(adapter);
  out.work = {prompts, prompts * kLongPrompt, 0};
  return out;
}

choice_facts long_prompt() { return {kLongPrompt, kLongPrompt, false, 250ms}; }
choice_facts short_urgent() { return {800, kLongPrompt, true, 250ms}; }

TEST(engine_choice, an_idle_holder_is_better_than_any_load) {
  const auto facts = long_prompt();
  EXPECT_LT(cost_of(idle(residence::ready), facts),
            cost_of(idle(residence::recent), facts));
  EXPECT_LT(cost_of(idle(residence::recent), facts),
            cost_of(idle(residence::absent), facts));
}

TEST(engine_choice, prompts_are_read_one_after_another) {
  EXPECT_EQ(expected_start(idle(residence::ready), long_prompt()), 360ms);
  EXPECT_EQ(expected_start(busy(residence::ready, 2), long_prompt()), 1080ms);
}

TEST(engine_choice, what_is_read_meanwhile_is_no_longer_ahead) {
  auto option = busy(residence::ready, 1);
  option.read_for = 300ms;
  EXPECT_EQ(reading_ahead(option, long_prompt()), 60ms);
  option.read_for = 10s;
  EXPECT_EQ(reading_ahead(option, long_prompt()), 0ms);
}

TEST(engine_choice, an_urgent_prompt_goes_before_those_that_wait) {
  const auto behind = reading_ahead(busy(residence::ready, 5), short_urgent());
  EXPECT_GT(behind, 100ms);
  EXPECT_LT(behind, 360ms);
  EXPECT_GT(reading_ahead(busy(residence::ready, 5), long_prompt()), 1700ms);
}

TEST(engine_choice, a_load_is_worth_it_only_behind_a_long_queue) {
  const auto facts = long_prompt();
  EXPECT_LT(cost_of(busy(residence::ready, 1), facts),
            cost_of(idle(residence::absent), facts));
  EXPECT_GT(cost_of(busy(residence::ready, 5), facts),
            cost_of(idle(residence::absent), facts));
}

TEST(engine_choice, a_slow_store_makes_loads_dearer) {
  auto facts = long_prompt();
  facts.load_time = 1s;
  EXPECT_LT(cost_of(busy(residence::ready, 5), facts),
            cost_of(idle(residence::absent), facts));
}

TEST(engine_choice, instances_agree_on_a_home_unless_it_is_busy) {
  const auto facts = long_prompt();
  auto first = idle(residence::absent);
  auto second = idle(residence::absent);
  second.order = 1;
  EXPECT_LT(cost_of(first, facts), cost_of(second, facts));
  first.has_room = false;
  EXPECT_GT(cost_of(first, facts), cost_of(second, facts));
}

TEST(engine_choice, a_load_under_way_is_joined) {
  const auto facts = long_prompt();
  auto loading = idle(residence::loading);
  loading.loading_for = 100ms;
  loading.order = 5;
  EXPECT_LT(cost_of(loading, facts), cost_of(idle(residence::absent), facts));
}

TEST(engine_choice, nobody_loads_at_a_target_without_a_holder) {
  auto option = idle(residence::absent);
  option.has_holder = false;
  EXPECT_FALSE(cost_of(option, long_prompt()));
  option.adapter = residence::ready;
  EXPECT_TRUE(cost_of(option, long_prompt()));
}

TEST(engine_choice, a_full_target_is_left_to_others) {
  const auto facts = short_urgent();
  auto full = idle(residence::ready);
  full.work.running = full.slots;
  EXPECT_GT(cost_of(full, facts), cost_of(idle(residence::recent), facts));
}

TEST(engine_choice, the_nearest_of_equals_is_taken) {
  for (const auto where : {residence::ready, residence::loading,
                           residence::recent, residence::absent}) {
    auto far = idle(where);
    far.distance = proximity::other_region;
    auto near = idle(where);
    near.distance = proximity::same_region;
    EXPECT_LT(cost_of(idle(where), long_prompt()),
              cost_of(near, long_prompt()));
    EXPECT_LT(cost_of(near, long_prompt()), cost_of(far, long_prompt()));
  }
}

TEST(engine_choice, another_region_is_better_than_a_queue_or_a_load_here) {
  auto far = idle(residence::ready);
  far.distance = proximity::other_region;
  EXPECT_LT(cost_of(far, long_prompt()),
            cost_of(busy(residence::ready, 1), long_prompt()));
  EXPECT_LT(cost_of(far, long_prompt()),
            cost_of(idle(residence::absent), long_prompt()));
}

TEST(engine_choice, a_request_that_waits_keeps_its_home_at_any_distance) {
  auto home = idle(residence::absent);
  home.is_home = true;
  home.distance = proximity::other_region;
  EXPECT_LT(cost_of(home, long_prompt()),
            cost_of(idle(residence::absent), long_prompt()));
}

TEST(read_pace, stays_near_the_usual_until_enough_was_seen) {
  read_pace pace;
  EXPECT_DOUBLE_EQ(pace.us_per_token(40), 40);
  pace.learn(8ms, 100);
  EXPECT_LT(pace.us_per_token(40), 42);
}

TEST(read_pace, follows_a_target_that_turns_slow) {
  read_pace pace;
  for (int i = 0; i < 20; ++i) pace.learn(360ms, kLongPrompt);
  EXPECT_NEAR(pace.us_per_token(100), 40, 4);
  for (int i = 0; i < 20; ++i) pace.learn(1800ms, kLongPrompt);
  EXPECT_GT(pace.us_per_token(100), 170);
}

}  // namespace
}  // namespace seamglade::gateway
