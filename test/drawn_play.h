// seamglade - a fleet, its callers and faults, drawn from one seed
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_DRAWN_PLAY_H_
#define SEAMGLADE_TEST_DRAWN_PLAY_H_

#include "gateway_checks.h"
#include "soak_seeds.h"

namespace seamglade {

/** What soaks share; each adds what it is about. */
class drawn_play {
 public:
  static constexpr duration kTime = 30s;

  explicit drawn_play(std::uint64_t seed)
      : random_(seed), world_(options(seed)) {}

  gateway_world& world() { return world_; }

 protected:
  ~drawn_play() = default;

  std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }
  gateway::member_address any_instance() {
    const auto all = world_.instances();
    return all[draw(all.size())];
  }
  std::string any_engine() {
    const auto all = world_.engines();
    return all[draw(all.size())];
  }

  void settle() {
    const bool is_large = world_.instances().size() > 13;
    world_.run_for(is_large ? kLargeSettled : kSettled);
    world_.lose_datagrams(static_cast<double>(draw(4)) * 0.02);
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

  /** Has something happen at drawn moments, so far apart at most. */
  void draw_moments(duration longest, const std::function<void()>& task) {
    const auto most = static_cast<std::uint64_t>(longest / 1ms);
    for (auto t = duration(1s); t < kTime; t += duration(draw(most) * 1ms)) {
      world_.at(world_.now() + t, task);
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

  std::mt19937_64 random_;
  gateway_world world_;
};

/** No request ran twice that may not, or was refused and ran. */
inline void expect_runs_kept(gateway_world& w) {
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

}  // namespace seamglade

#endif  // SEAMGLADE_TEST_DRAWN_PLAY_H_
