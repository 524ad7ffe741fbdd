// seamglade - a request that ends its targets, amid drawn faults
//
// The number is the seed: it draws the fleet, when and where the request comes,
// and what else goes wrong. CI plays 12; SEAMGLADE_SOAK_SEEDS names more.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <cstdlib>

#include "gateway_checks.h"

namespace seamglade {
namespace {

const std::string kDeadly = "a body that ends what runs it";
constexpr duration kTime = 30s;
/**
 * Two in a fleet that hears itself; two more for each that is cut off, or
 * starts anew, and has them run before it hears.
 */
constexpr std::size_t kMostEnds = 6;

class drawn_faults {
 public:
  explicit drawn_faults(std::uint64_t seed)
      : random_(seed), world_(options(seed)) {}

  void play() {
    const bool is_large = world_.instances().size() > 13;
    world_.run_for(is_large ? kLargeSettled : kSettled);
    world_.lose_datagrams(static_cast<double>(draw(4)) * 0.02);
    world_.end_targets_with(kDeadly);
    send_innocents();
    send_returns();
    for (auto t = duration(1s); t < kTime; t += duration(draw(3000) * 1ms)) {
      world_.at(world_.now() + t, [this] { draw_fault(); });
    }
    world_.run_for(kTime + 10s);
  }
  gateway_world& world() { return world_; }

 private:
  gateway_world_options options(std::uint64_t seed) {
    gateway_world_options out;
    out.seed = seed;
    out.instances = draw(3) == 0 ? 20 : 6;
    out.engines = 12;
    out.plain_targets = 4;
    out.adapter_slots = 8;
    return out;
  }
  std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }
  gateway::member_address any_instance() {
    const auto all = world_.instances();
    return all[draw(all.size())];
  }
  std::string any_engine() {
    const auto all = world_.engines();
    return all[draw(all.size())];
  }

  void send_innocents() {
    for (int i = 0; i * 15ms < kTime; ++i) {
      world_.at(world_.now() + i * 15ms, [this, i] {
        const auto body =
            i % 4 == 0 ? std::string("poll") : fmt::format("body {}", i);
        if (i % 5 == 3) {
          world_.call_plain_with(any_instance(), {body, 1}, i % 2 == 0);
        } else {
          world_.call_engine_with(any_instance(), fmt::format("a{}", draw(20)),
                                  {body, 1}, i % 3 == 0);
        }
      });
    }
  }

  void send_returns() {
    const auto gap = static_cast<std::int64_t>(100 + draw(900)) * 1ms;
    const bool repeatable = draw(2) == 0;
    for (auto t = duration(2s); t < kTime; t += gap) {
      world_.at(world_.now() + t, [this, repeatable] {
        world_.call_engine_with(any_instance(), fmt::format("a{}", draw(3)),
                                {kDeadly, 2}, repeatable);
      });
    }
  }

  void draw_fault() {
    const auto who = any_instance();
    switch (draw(5)) {
      case 0:
        world_.kill(who);
        world_.at(world_.now() + 1s, [this, who] { world_.start(who); });
        break;
      case 1:
        world_.freeze(who, static_cast<std::int64_t>(500 + draw(4000)) * 1ms);
        break;
      case 2:
        world_.cut(who, true);
        world_.at(world_.now() + 3s, [this, who] { world_.cut(who, false); });
        break;
      case 3:
        world_.crash_target(any_engine(), 700ms);
        break;
      default:
        world_.reset_connections(any_engine());
        break;
    }
  }

  std::mt19937_64 random_;
  gateway_world world_;
};

class crash_soak : public testing::TestWithParam<std::uint64_t> {};

TEST_P(crash_soak, ends_few_targets_and_refuses_no_other) {
  drawn_faults run(GetParam());
  run.play();
  auto& w = run.world();
  EXPECT_LE(w.crashes_of(kDeadly).ended, kMostEnds);
  for (const auto who : w.instances()) {
    EXPECT_LE(w.status(who).quarantined, 1U);
  }
  for (const auto& line : w.violations()) {
    EXPECT_EQ(line.find("a body that ended"), std::string::npos) << line;
  }
  for (const auto& call : w.calls()) {
    const auto runs = w.runs_of(call->id);
    if (!call->repeatable) {
      EXPECT_LE(runs, 1U) << call->id;
    }
    const bool is_refused = call->complete && call->status == kUnavailable;
    if (is_refused) {
      EXPECT_EQ(runs, 0U) << call->id;
    }
  }
}

/** Seeds to play: 12 where the environment names no number. */
std::uint64_t seeds() {
  const char* text = std::getenv("SEAMGLADE_SOAK_SEEDS");
  return text == nullptr ? 12 : std::strtoull(text, nullptr, 10);
}

INSTANTIATE_TEST_SUITE_P(seeds, crash_soak,
                         testing::Range<std::uint64_t>(1, seeds() + 1));

}  // namespace
}  // namespace seamglade
