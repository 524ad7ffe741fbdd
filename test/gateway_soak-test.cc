// seamglade - the direct path: faults drawn by seed, the rules and recovery
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <random>

#include "gateway_checks.h"

namespace seamglade {
namespace {

/** One fault of the soak, drawn by a number. */
void strike(gateway_world& w, std::mt19937_64& random) {
  const auto draw = [&](std::size_t below) {
    return static_cast<std::size_t>(random() % below);
  };
  const auto instances = w.instances();
  const auto who = instances[draw(instances.size())];
  const auto engines = w.engines();
  const auto& engine = engines[draw(engines.size())];
  const auto length = 500ms + draw(8000) * 1ms;
  const auto restart = [&w](gateway::member_address which, duration after) {
    w.at(w.now() + after, [&w, which] {
      w.kill(which);
      w.start(which);
    });
  };
  switch (draw(10)) {
    case 0:
      w.kill(who);
      restart(who, length);
      break;
    case 1:
      w.freeze(who, length);
      break;
    case 2:
      w.cut(who, true);
      w.at(w.now() + length, [&w, who] { w.cut(who, false); });
      break;
    case 3:
      w.deny_store(who, true);
      w.at(w.now() + length, [&w, who] { w.deny_store(who, false); });
      break;
    case 4:
      w.stop(who);
      restart(who, 8s);
      break;
    case 5:
      w.restart_engine(engine);
      break;
    case 6:
      w.break_target(engine, true);
      w.at(w.now() + length, [&w, engine] {
        const auto still = w.engines();
        if (std::find(still.begin(), still.end(), engine) != still.end()) {
          w.break_target(engine, false);
        }
      });
      break;
    case 7:
      w.forget_history();
      break;
    case 8:
      for (const auto each : instances) {
        w.kill(each);
        restart(each, 300ms + draw(900) * 1ms);
      }
      break;
    case 9:
      w.publish_version(fmt::format("a{}", draw(10)),
                        2 + static_cast<std::uint32_t>(w.calls().size()));
      break;
    default:
      break;
  }
}

/** Eight drawn faults under load, then time to recover, then load again. */
void soak(gateway_world& w, std::mt19937_64& random, duration settled) {
  w.run_for(settled);
  send_load(w, 36s, 50ms, 25);
  for (int i = 0; i < 8; ++i) {
    strike(w, random);
    w.run_for(200ms + (random() % 4000) * 1ms);
  }
  w.run_for(22s);
  const auto after = w.now();
  send_load(w, 5s, 50ms, 25);
  w.run_for(16s);
  expect_rules_kept(w);
  const auto late = count(w, after);
  EXPECT_GT(late.served * 10, (late.served + late.refused + late.other) * 8);
  EXPECT_EQ(count(w).open, 0U);
}

class gateway_soak : public testing::TestWithParam<int> {};

TEST_P(gateway_soak, keeps_the_rules_under_drawn_faults_and_recovers) {
  gateway_world_options options;
  options.seed = static_cast<std::uint64_t>(GetParam());
  options.adapter_slots = 3;
  options.fenced = GetParam() % 4 != 3;
  gateway_world w(options);
  std::mt19937_64 random(options.seed * 77);
  soak(w, random, kSettled);
}

class large_fleet_soak : public testing::TestWithParam<int> {};

TEST_P(large_fleet_soak, keeps_the_rules_under_drawn_faults_and_recovers) {
  gateway_world_options options;
  options.seed = static_cast<std::uint64_t>(GetParam());
  options.instances = 20;
  options.engines = 10;
  options.adapter_slots = 3;
  gateway_world w(options);
  std::mt19937_64 random(options.seed * 131);
  soak(w, random, kLargeSettled);
}

INSTANTIATE_TEST_SUITE_P(seeds, gateway_soak, testing::Range(1, 61));
INSTANTIATE_TEST_SUITE_P(seeds, large_fleet_soak, testing::Range(1, 31));

}  // namespace
}  // namespace seamglade
