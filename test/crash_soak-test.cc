// seamglade - a request that ends its targets, amid drawn faults
//
// The number is the seed: it draws the fleet, when and where the request comes,
// and what else goes wrong. CI plays 12; SEAMGLADE_SOAK_SEEDS names more.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "drawn_play.h"

namespace seamglade {
namespace {

const std::string kDeadly = "a body that ends what runs it";
/**
 * Two in a fleet that hears itself; two more for each that is cut off, or
 * starts anew, and has them run before it hears.
 */
constexpr std::size_t kMostEnds = 6;

class deadly_play final : public drawn_play {
 public:
  using drawn_play::drawn_play;

  void play() {
    settle();
    world().end_targets_with(kDeadly);
    send_innocents();
    send_returns();
    draw_moments(3s, [this] { draw_fault(); });
    world().run_for(kTime + 10s);
  }

 private:
  void send_returns() {
    const auto gap = static_cast<std::int64_t>(100 + draw(900)) * 1ms;
    const bool repeatable = draw(2) == 0;
    for (auto t = duration(2s); t < kTime; t += gap) {
      world().at(world().now() + t, [this, repeatable] {
        world().call_engine_with(any_instance(), fmt::format("a{}", draw(3)),
                                 {kDeadly, 2}, repeatable);
      });
    }
  }
};

class crash_soak : public testing::TestWithParam<std::uint64_t> {};

TEST_P(crash_soak, ends_few_targets_and_refuses_no_other) {
  deadly_play run(GetParam());
  run.play();
  auto& w = run.world();
  EXPECT_LE(w.crashes_of(kDeadly).ended, kMostEnds);
  for (const auto who : w.instances()) {
    EXPECT_LE(w.status(who).quarantined, 1U);
  }
  for (const auto& line : w.violations()) {
    EXPECT_EQ(line.find("a body that ended"), std::string::npos) << line;
  }
  expect_runs_kept(w);
}

INSTANTIATE_TEST_SUITE_P(seeds, crash_soak,
                         testing::Range<std::uint64_t>(1, soak_seeds() + 1));

}  // namespace
}  // namespace seamglade
