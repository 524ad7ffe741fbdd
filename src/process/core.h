// seamglade - what the modules of the decisions share while handling one event
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_CORE_H_
#define SEAMGLADE_SRC_PROCESS_CORE_H_

#include <random>
#include <utility>

#include "seamglade/controller.h"

namespace seamglade::detail {

/** State of the process that every module reads, and the actions so far. */
struct core {
  explicit core(controller_options o) : options(std::move(o)) {}

  controller_options options;
  time_point now;
  std::vector<any_action> out;
  std::shared_ptr<const settings_tree> tree;
  /** Index of the newest accepted document; part of every fence. */
  std::uint64_t config_index = 0;
  /** Unix time less boot time, once the driver has told it. */
  std::optional<std::chrono::milliseconds> wall_offset;
  std::mt19937_64 random;
  call_id last_call = 0;
  std::size_t live_instances = 1;
  bool draining = false;
  controller_status counters;

  template <typename Action>
  void act(Action action) {
    out.emplace_back(std::move(action));
  }

  call_id next_call() { return ++last_call; }

  /** Returns a duration drawn evenly from [0, most). */
  duration jitter(duration most) {
    if (most <= duration::zero()) return duration::zero();
    return duration(static_cast<std::int64_t>(
        random() % static_cast<std::uint64_t>(most.count())));
  }

  /** Returns the Unix time, if the driver has told it. */
  std::optional<std::chrono::milliseconds> wall() const {
    if (!wall_offset) return std::nullopt;
    return *wall_offset + std::chrono::duration_cast<std::chrono::milliseconds>(
                              now.time_since_epoch());
  }

  void log(action::decision_kind kind, const target_id& target,
           std::string adapter, std::string reason, request_id request = {},
           std::vector<std::string> candidates = {}) {
    act(action::log_decision{kind, request, target, std::move(adapter),
                             std::move(reason), std::move(candidates)});
  }
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_CORE_H_
