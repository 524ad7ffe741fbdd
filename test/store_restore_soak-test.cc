// seamglade - a store that is restored again and again, amid drawn faults
//
// The number is the seed: it draws the fleet, what is lost and when it is
// written again, and what else goes wrong. CI plays 12; SEAMGLADE_SOAK_SEEDS
// names more.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "drawn_play.h"

namespace seamglade {
namespace {

constexpr int kRounds = 6;
/** What is acknowledged is in force after this time. */
constexpr duration kInForce = 2s;
constexpr duration kPoll = 50ms;

class restore_play final : public drawn_play {
 public:
  using drawn_play::drawn_play;

  void play() {
    settle();
    world().publish_configuration(version_, "/llm/");
    world().run_for(kInForce);
    for (int round = 0; round < kRounds; ++round) {
      send_load(world(), 9s, 25ms, 20);
      lose_some_changes();
      come_back(round);
    }
    world().run_for(10s);
  }

  /** Configurations that went back while an instance ran. */
  std::size_t regressions() const { return regressions_; }
  /** Instances without a configuration that was to be in force. */
  std::size_t late() const { return late_; }

 private:
  duration drawn(std::uint64_t least_ms, std::uint64_t most_ms) {
    return static_cast<std::int64_t>(least_ms + draw(most_ms - least_ms)) * 1ms;
  }

  void publish() { world().publish_configuration(++version_, "/llm/"); }

  /** After a copy was made, some write; the store falls silent. */
  void lose_some_changes() {
    world().copy_store();
    for (auto left = draw(5); left > 0; --left) {
      if (draw(2) == 0) publish();
      world().relist_target(any_engine());
      watch_for(drawn(20, 800));
    }
    world().silence_store(true);
    watch_for(drawn(100, 3000));
  }

  void come_back(int round) {
    world().slow_store(drawn(1, 120));
    world().restore_store(drawn(1, 2000));
    if (draw(3) == 0) world().misname_epochs({draw(9), draw(1ULL << 50)});
    // What others write first makes up for the lost revisions, at times.
    for (auto i = draw(40); i > 0; --i) world().relist_target(any_engine());
    if (round % 2 == 0) restart(any_instance());
    world().silence_store(false);
    if (draw(2) == 0) deny_store_to_some();
    watch_for(drawn(0, 1500));
    publish();
    if (round % 2 == 0) world().drain_target(fmt::format("llm-{}", round));
    watch_for(kInForce);
    for (const auto who : world().instances()) {
      if (world().status(who).configuration != version_) ++late_;
    }
    world().slow_store(4ms);
    watch_for(2s);
  }

  void deny_store_to_some() {
    for (const auto who : world().instances()) {
      if (draw(3) != 0) continue;
      world().deny_store(who, true);
      world().at(world().now() + drawn(500, 4000),
                 [this, who] { world().deny_store(who, false); });
    }
  }

  void restart(gateway::member_address who) {
    world().kill(who);
    world().start(who);
    seen_.erase(who);
  }

  void watch_for(duration time) {
    for (auto left = time; left > duration{}; left -= kPoll) {
      world().run_for(std::min(left, kPoll));
      for (const auto who : world().instances()) {
        const auto now = world().status(who).configuration;
        auto& before = seen_[who];
        if (now < before) ++regressions_;
        before = now;
      }
    }
  }

  std::uint64_t version_ = 2;
  std::map<gateway::member_address, std::uint64_t> seen_;
  std::size_t regressions_ = 0;
  std::size_t late_ = 0;
};

class store_restore_soak : public testing::TestWithParam<std::uint64_t> {};

TEST_P(store_restore_soak, what_is_acknowledged_is_in_force_and_stays) {
  restore_play run(GetParam());
  run.play();
  auto& w = run.world();
  EXPECT_EQ(run.regressions(), 0U);
  EXPECT_EQ(run.late(), 0U);
  expect_rules_kept(w);
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).store_epoch, w.epoch());
  }
  const auto from = w.now();
  send_load(w, 2s, 50ms, 10);
  w.run_for(12s);
  EXPECT_EQ(count(w, from).open, 0U);
  EXPECT_GE(count(w, from).served, 36U);
}

INSTANTIATE_TEST_SUITE_P(seeds, store_restore_soak,
                         testing::Range<std::uint64_t>(1, soak_seeds() + 1));

}  // namespace
}  // namespace seamglade
