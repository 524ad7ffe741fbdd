// seamglade - service after all instances were killed, amid drawn trouble
//
// The number is the seed: it draws the fleet, how it is killed and started
// again, and what the store, the targets and the network do meanwhile. CI
// plays 12; SEAMGLADE_SOAK_SEEDS names more.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "drawn_play.h"

namespace seamglade {
namespace {

/** All is well again so long after the last instance is back ... */
constexpr duration kBackWithin = 12s;
/** ... and is watched for so long. */
constexpr duration kWatched = 4s;
constexpr duration kGap = 10ms;
constexpr duration kSending = 40s;

class recover_play final : public drawn_play {
 public:
  using drawn_play::drawn_play;

  /** Returns the share served of what is sent late enough. */
  double play() {
    auto& w = world();
    settle();
    if (draw(4) == 0) w.publish_configuration(2, "/llm/", 2000);
    send();
    w.run_for(drawn(1000, 4000));
    w.copy_store();
    if (draw(2) == 0) w.relist_target(any_engine());
    w.run_for(drawn(10, 1000));
    const auto rounds = 1 + draw(3);
    trouble_store();
    for (auto left = rounds; left > 0; --left) kill_and_start();
    trouble_targets();
    const auto back = w.now() + latest_;
    w.run_for(latest_ + kBackWithin + kWatched + 6s);
    const auto from = count(w, back + kBackWithin);
    const auto later = count(w, back + kBackWithin + kWatched);
    const auto served = from.served - later.served;
    const auto sent = static_cast<std::size_t>(kWatched / kGap);
    return static_cast<double>(served) / static_cast<double>(sent);
  }

  const std::string& course() const { return course_; }

 private:
  duration drawn(std::uint64_t least_ms, std::uint64_t most_ms) {
    return static_cast<std::int64_t>(least_ms + draw(most_ms - least_ms)) * 1ms;
  }

  /** No two requests are alike. */
  void send() {
    auto& w = world();
    const auto entries = w.instances();
    for (int i = 0; i * kGap < kSending; ++i) {
      const auto entry = entries[static_cast<std::size_t>(i) % entries.size()];
      w.at(w.now() + i * kGap, [&w, entry, i] {
        const auto body = fmt::format("body {}", i);
        if (i % 5 == 3) {
          w.call_plain_with(entry, {body, 1}, i % 2 == 0);
        } else {
          w.call_engine_with(entry, fmt::format("a{}", i * 7 % 20), {body, 1},
                             i % 3 == 0);
        }
      });
    }
  }

  void trouble_store() {
    auto& w = world();
    const auto away = drawn(1000, 6000);
    switch (draw(5)) {
      case 0:
        course_ += "silent ";
        w.silence_store(true);
        w.at(w.now() + away, [&w] { w.silence_store(false); });
        break;
      case 1:
        course_ += "restored ";
        w.restore_store(drawn(100, 2000));
        break;
      case 2:
        course_ += "slow ";
        w.slow_store(drawn(100, 900));
        break;
      case 3:
        course_ += "denied ";
        for (const auto who : w.instances()) {
          w.deny_store(who, true);
          w.at(w.now() + drawn(1000, 6000),
               [&w, who] { w.deny_store(who, false); });
        }
        break;
      default:
        break;
    }
  }

  /** All at once, or in turn; started again after drawn times. */
  void kill_and_start() {
    auto& w = world();
    const bool in_turn = draw(3) == 0;
    for (const auto who : w.instances()) {
      w.kill(who);
      const auto start = drawn(100, draw(4) == 0 ? 3000 : 800);
      if (in_turn) {
        w.run_for(drawn(5, 100));
        w.start(who);
        continue;
      }
      latest_ = std::max(latest_, start);
      w.at(w.now() + start, [&w, who] { w.start(who); });
    }
    if (!in_turn) w.run_for(std::exchange(latest_, {}) + 1ms);
    w.run_for(drawn(10, 900));
  }

  void trouble_targets() {
    auto& w = world();
    if (draw(2) == 0) {
      course_ += "targets ";
      for (const auto& id : w.engines()) w.crash_target(id, drawn(300, 3000));
    }
    if (draw(3) == 0) {
      course_ += "lossy ";
      w.lose_datagrams(0.2);
    }
    if (draw(4) == 0) {
      course_ += "lapse ";
      for (const auto& id : w.engines()) {
        w.lapse_target(id);
        w.at(w.now() + drawn(300, 3000), [&w, id] {
          // Who started again meanwhile has another name.
          const auto known = w.engines();
          const bool is_there =
              std::find(known.begin(), known.end(), id) != known.end();
          if (is_there) w.relist_target(id);
        });
      }
    }
  }

  duration latest_{};
  std::string course_;
};

class recover_soak : public testing::TestWithParam<std::uint64_t> {};

TEST_P(recover_soak, service_is_back_after_kills_of_all) {
  recover_play run(GetParam());
  const auto share = run.play();
  RecordProperty("share", fmt::format("{:.3f}", share));
  EXPECT_GE(share, 0.75) << run.course();
  expect_runs_kept(run.world());
}

INSTANTIATE_TEST_SUITE_P(seeds, recover_soak,
                         testing::Range<std::uint64_t>(1, soak_seeds() + 1));

}  // namespace
}  // namespace seamglade
