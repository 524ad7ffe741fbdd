// seamglade - a target that starts again with other software while the only
// instance stands still
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "version_play.h"

namespace seamglade {
namespace {

constexpr duration kLoad = 8s;

class unseen_restart : public testing::TestWithParam<std::uint64_t> {
 protected:
  unseen_restart() : play_(options()) {}

  gateway_world& world() { return play_.world(); }
  void after(duration time, const std::function<void()>& task) {
    world().at(world().now() + time, task);
  }
  void reset_callers() { play_.reset_callers(world().instances().front()); }

  version_play play_;

 private:
  static gateway_world_options options() {
    auto out = version_play::options(GetParam());
    out.instances = 1;
    out.engines = 3;
    out.software = {"v1", "v1", "v2"};
    return out;
  }
};

TEST_P(unseen_restart, a_break_read_after_a_standstill_joins_no_versions) {
  play_.load(kLoad);
  after(1900ms, [this] {
    world().freeze(world().instances().front(), 1s);
    world().silence_store(true);
  });
  after(2s, [this] {
    world().upgrade_in_place(world().engines().front(), "v2", 400ms, 1400ms);
  });
  after(5900ms, [this] { world().silence_store(false); });
  for (auto since = 3000ms; since < 6s; since += 200ms) {
    after(since, [this] { reset_callers(); });
  }
  world().run_for(kLoad + 9s);
  const auto got = play_.counts();
  EXPECT_GE(got.taken_up, 40U);
  EXPECT_TRUE(got.joined.empty()) << all(got.joined);
  EXPECT_TRUE(got.broken_order.empty()) << all(got.broken_order);
  expect_rules_kept(world());
}

INSTANTIATE_TEST_SUITE_P(seeds, unseen_restart,
                         testing::Range<std::uint64_t>(1, 4));

}  // namespace
}  // namespace seamglade
