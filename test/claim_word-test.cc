// seamglade - what a process that starts again says of its former life's claims
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_checks.h"

namespace seamglade {
namespace {

constexpr duration kLoad = 30s;

class claim_word : public testing::TestWithParam<std::uint64_t> {
 protected:
  claim_word() : world_(options()) { world_.run_for(kSettled); }

  gateway::member_address instance(std::size_t number) {
    return world_.instances().at(number);
  }
  void after(duration time, const std::function<void()>& task) {
    world_.at(world_.now() + time, task);
  }
  void restart_after(duration time, std::size_t number, duration down) {
    after(time, [this, number] { world_.kill(instance(number)); });
    after(time + down, [this, number] { world_.start(instance(number)); });
  }
  /** More adapters than there are places, so that holders order all the time.
   */
  void load() {
    for (int i = 0; i * 20ms < kLoad; ++i) {
      after(i * 20ms, [this, i] {
        world_.call_engine(instance(3), fmt::format("a{}", i % 30), true);
      });
    }
  }

  gateway_world world_;

 private:
  static gateway_world_options options() {
    gateway_world_options out;
    out.instances = 4;
    out.engines = 6;
    out.adapter_slots = 3;
    out.seed = GetParam();
    return out;
  }
};

TEST_P(claim_word, a_holder_that_starts_again_hands_nothing_over) {
  load();
  // Others hold its targets when it comes back, and one after the other of
  // these starts again.
  restart_after(2s, 0, 6s);
  restart_after(10s, 1, 1s);
  restart_after(16s, 2, 1s);
  world_.run_for(kLoad + 5s);
  expect_rules_kept(world_);
}

INSTANTIATE_TEST_SUITE_P(seeds, claim_word,
                         testing::Range<std::uint64_t>(1, 4));

}  // namespace
}  // namespace seamglade
