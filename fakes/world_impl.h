// seamglade - state of the fake instances and targets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_FAKES_WORLD_IMPL_H_
#define SEAMGLADE_FAKES_WORLD_IMPL_H_

#include "world.h"

namespace seamglade::fakes {

/** Of a message between instances, and of an answer of the service. */
inline constexpr duration kLatency = 1ms;

/** Returns a number from 0 up to but not including 1. */
inline double draw(std::mt19937_64& random) {
  return static_cast<double>(random() >> 11) / 9007199254740992.0;
}

/** The wall clock of a fleet whose clocks all agree. */
inline std::int64_t wall_ms(time_point now) {
  constexpr std::int64_t kEpochMs = 1'790'000'000'000;
  return kEpochMs + std::chrono::duration_cast<std::chrono::milliseconds>(
                        now.time_since_epoch())
                        .count();
}

struct world::instance {
  instance_id id;
  std::string zone;
  member_state listed = member_state::live;
  std::unique_ptr<controller> decisions;
  std::uint64_t incarnation = 0;
  time_point frozen_until = time_point::min();
  std::deque<any_event> held_events;
  std::vector<any_action> held_actions;
  bool finished = false;
  std::set<instance_id> wanted;
  time_point armed_for = time_point::max();
  bool reading = false;
  std::uint64_t read_call = 0;
  bool stale = false;
  std::map<std::string, published_entry> stale_entries;
  std::uint64_t stale_index = 0;
  std::int64_t wall_skew_ms = 0;
};

struct world::target {
  struct adapter {
    bool ready = false;
    std::uint32_t running = 0;
  };
  target_id id;
  target_options options;
  member_state listed = member_state::live;
  bool down = false;
  std::uint64_t incarnation = 1;
  std::map<std::string, adapter> adapters;
  fence highest;
  instance_id claimed_by;
  time_point renewed;
  /** When the present holder made its first claim. */
  time_point holder_since;
  std::uint32_t fail_loads = 0;
  std::uint32_t running = 0;
  time_point batch_since;
  batch_use batch;
  int slowness = 1;
  std::optional<target_report> frozen_report;
};

struct world::run {
  std::uint64_t number = 0;
  instance_id owner;
  std::uint64_t owner_incarnation = 0;
  call_id call = 0;
  target_id target;
  std::uint64_t target_incarnation = 0;
  std::string model;
  std::string tag;
  std::uint32_t sent = 0;
};

}  // namespace seamglade::fakes

#endif  // SEAMGLADE_FAKES_WORLD_IMPL_H_
