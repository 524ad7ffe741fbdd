// seamglade - targets that end at the same moment, by no request's fault
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "drawn_play.h"

namespace seamglade {
namespace {

gateway_world_options twelve_engines() {
  gateway_world_options options;
  options.instances = 6;
  options.engines = 12;
  options.plain_targets = 4;
  options.adapter_slots = 8;
  return options;
}

using fakes::caller_content;

constexpr duration kGap = 10ms;
constexpr duration kSending = 20s;
/** Sent from 12 s after the first end on: the first went out 2 s before. */
constexpr std::size_t kSent = (kSending - 14s) / kGap;

/** Ends all engines so far apart; returns what is served 12 s later. */
std::size_t served_after_ends(gateway_world& w, duration gap,
                              const std::string& parts) {
  w.run_for(kSettled);
  const auto entries = w.instances();
  for (int i = 0; i * kGap < kSending; ++i) {
    const auto entry = entries[static_cast<std::size_t>(i) % entries.size()];
    w.at(w.now() + i * kGap, [&w, entry, parts, i] {
      caller_content content{"poll", 1};
      if (!parts.empty()) content = {fmt::format("body {}", i), 1, parts};
      w.call_engine_with(entry, fmt::format("a{}", i * 7 % 20), content);
    });
  }
  w.run_for(2s);
  const auto begin = w.now();
  int number = 0;
  for (const auto& id : w.engines()) {
    w.at(begin + number++ * gap, [&w, id] { w.crash_target(id, 1s); });
  }
  w.run_for(24s);
  expect_runs_kept(w);
  return count(w, begin + 12s).served;
}

// Guards against a refusal of ten minutes for what all callers ask.
TEST(mass_end, alike_requests_are_served_after_engines_end_at_once) {
  gateway_world w(twelve_engines());
  EXPECT_GE(served_after_ends(w, 0ms, ""), kSent * 9 / 10);
  EXPECT_EQ(quarantined(w), 0U);
}

TEST(mass_end, alike_requests_are_served_after_engines_end_in_turn) {
  gateway_world w(twelve_engines());
  EXPECT_GE(served_after_ends(w, 60ms, ""), kSent * 9 / 10);
  EXPECT_EQ(quarantined(w), 0U);
}

// Guards against a lasting refusal of what nothing has answered yet.
TEST(mass_end, alike_requests_are_served_after_a_kill_of_all_instances_too) {
  gateway_world w(twelve_engines());
  w.run_for(kSettled);
  const auto entries = w.instances();
  for (const auto who : entries) w.kill(who);
  w.run_for(500ms);
  for (const auto who : entries) w.start(who);
  w.run_for(3s);
  for (int i = 0; i * kGap < kSending; ++i) {
    const auto entry = entries[static_cast<std::size_t>(i) % entries.size()];
    w.at(w.now() + i * kGap, [&w, entry, i] {
      w.call_engine_with(entry, fmt::format("a{}", i * 7 % 20), {"poll", 1});
    });
  }
  // Adapters are there by then, and no answer yet.
  w.run_for(300ms);
  const auto begin = w.now();
  for (const auto& id : w.engines()) w.crash_target(id, 1s);
  w.run_for(26s);
  expect_runs_kept(w);
  const auto sent = static_cast<std::size_t>((kSending - 300ms - 12s) / kGap);
  EXPECT_GE(count(w, begin + 12s).served, sent * 9 / 10);
  EXPECT_EQ(quarantined(w), 0U);
}

// Guards against a refusal of the part that all prompts share.
TEST(mass_end, a_part_of_all_is_served_after_engines_end_at_once) {
  gateway_world w(twelve_engines());
  EXPECT_GE(served_after_ends(w, 0ms, "5c:80,91:10,e4:10"), kSent * 9 / 10);
  EXPECT_EQ(quarantined(w), 0U);
}

TEST(mass_end, a_part_of_all_is_served_after_engines_end_in_turn) {
  gateway_world w(twelve_engines());
  EXPECT_GE(served_after_ends(w, 200ms, "5c:80,91:10,e4:10"), kSent * 9 / 10);
  EXPECT_EQ(quarantined(w), 0U);
}

}  // namespace
}  // namespace seamglade
