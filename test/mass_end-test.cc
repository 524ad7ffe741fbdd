// seamglade - targets that end at the same moment, by no request's fault
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_checks.h"

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

/** Requests for engines in a second. */
constexpr std::size_t kSent = 80;

// Guards against a refusal of ten minutes for what all callers ask.
TEST(mass_end, alike_requests_are_served_after_engines_end_at_once) {
  gateway_world w(twelve_engines());
  w.run_for(kSettled);
  send_load(w, 20s, 10ms, 20);
  w.run_for(2s);
  for (const auto& id : w.engines()) w.crash_target(id, 1s);
  w.run_for(12s);
  const auto from = w.now();
  w.run_for(10s);
  EXPECT_EQ(quarantined(w), 0U);
  EXPECT_GE(count(w, from).served, 5 * kSent);
}

}  // namespace
}  // namespace seamglade
