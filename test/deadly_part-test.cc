// seamglade - a part of prompts that ends each target that writes on it
//
// No two requests with the part are alike. Sound ones share their route's first
// part with them.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_checks.h"

namespace seamglade {
namespace {

using fakes::caller_content;

const std::string kDeadly = "dead";
/** Requests with the part come so far apart. */
constexpr duration kGap = 150ms;
/** Sound requests of the route. */
constexpr duration kSoundGap = 25ms;
constexpr std::size_t kSubjects = 40;
constexpr duration kContact = 3s;

gateway_world_options checkout(std::uint64_t seed) {
  gateway_world_options options;
  options.instances = 6;
  options.engines = 12;
  options.adapter_slots = 12;
  options.seed = seed;
  return options;
}

/** Sends requests of a route, each with a last part of its own. */
void send(gateway_world& w, duration time, duration gap,
          const std::string& route, std::size_t subjects) {
  const auto entries = w.instances();
  for (int i = 0; i * gap < time; ++i) {
    w.at(w.now() + i * gap, [&w, entries, i, route, subjects] {
      const auto n = static_cast<std::size_t>(i);
      const auto subject = (n * n + n / 3) % subjects;
      const auto body = fmt::format("{}-{}-{}", route, subject, i);
      w.call_engine_with(
          entries[n % entries.size()], fmt::format("a{}", n % 8),
          {body, 0,
           fmt::format("{}:350,{}s{}:400,{}:90", route, route, subject, body)});
    });
  }
}

/** Lets a fleet settle, and sends it a busy and a quiet route. */
void settle_under_load(gateway_world& w) {
  w.run_for(kSettled);
  send(w, 26s, kSoundGap, "r1", kSubjects);
  send(w, 26s, kSoundGap * 6, "r2", kSubjects);
}

void send_deadly(gateway_world& w, duration time) {
  const auto entries = w.instances();
  for (int i = 0; i * kGap < time; ++i) {
    w.at(w.now() + i * kGap, [&w, entries, i] {
      const auto body = fmt::format("deadly-{}", i);
      w.call_engine_with(
          entries[static_cast<std::size_t>(i * 5) % entries.size()],
          fmt::format("a{}", i % 8),
          {body, 0, fmt::format("r1:350,{}:400,{}:90", kDeadly, body)});
    });
  }
}

/** Returns the part of the sound requests of a time that were served. */
double sound_served(gateway_world& w, time_point from, time_point until) {
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const auto& call : w.calls()) {
    if (call->sent < from || call->sent >= until) continue;
    if (call->content.starts_with("deadly")) continue;
    ++sent;
    if (call->complete && call->status == kOk) ++served;
  }
  return static_cast<double>(served) /
         static_cast<double>(std::max<std::size_t>(1, sent));
}

TEST(deadly_part, ends_few_targets_and_spares_its_neighbours) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    gateway_world w(checkout(seed));
    settle_under_load(w);
    w.run_for(4s);
    w.end_targets_with_part(kDeadly);
    const auto began = w.now();
    send_deadly(w, 20s);
    w.run_for(30s);
    const auto& crashes = w.crashes_of_part(kDeadly);
    EXPECT_GT(crashes.ended, 0U);
    // It comes each 150 ms; two thirds of those in 3 s are allowed.
    EXPECT_LE(crashes.ended, 14U);
    EXPECT_GE(sound_served(w, began + 2 * kContact, began + 20s), 0.95);
    expect_rules_kept(w);
  }
}

TEST(deadly_part, ends_of_other_causes_have_no_part_refused) {
  for (const std::uint64_t seed : {6, 7, 8}) {
    gateway_world w(checkout(seed));
    settle_under_load(w);
    w.run_for(2s);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 20; ++i) {
      w.at(w.now() + i * 700ms, [&w, &random] {
        const auto engines = w.engines();
        w.crash_target(engines[random() % engines.size()]);
      });
    }
    w.run_for(26s);
    EXPECT_EQ(quarantined(w), 0U);
    expect_rules_kept(w);
  }
}

TEST(deadly_part, a_service_that_ends_whole_comes_back_whole) {
  gateway_world w(checkout(9));
  w.run_for(kSettled);
  send(w, 30s, kSoundGap, "r1", kSubjects);
  w.run_for(3s);
  const auto engines = w.engines();
  for (std::size_t i = 0; i < engines.size(); ++i) {
    w.at(w.now() + i * 120ms,
         [&w, id = engines[i]] { w.crash_target(id, 6s); });
  }
  w.run_for(12s);
  const auto back = w.now();
  w.run_for(18s);
  EXPECT_GE(sound_served(w, back + 6s, back + 14s), 0.95);
  EXPECT_EQ(quarantined(w), 0U);
  expect_rules_kept(w);
}

TEST(deadly_part, two_parts_at_once_are_both_found) {
  gateway_world w(checkout(10));
  w.run_for(kSettled);
  send(w, 26s, kSoundGap, "r1", kSubjects);
  w.run_for(4s);
  w.end_targets_with_part(kDeadly);
  w.end_targets_with_part("r1s7");
  send_deadly(w, 20s);
  w.run_for(30s);
  EXPECT_LE(w.crashes_of_part(kDeadly).ended, 14U);
  EXPECT_LE(w.crashes_of_part("r1s7").ended, 14U);
  expect_rules_kept(w);
}

}  // namespace
}  // namespace seamglade
