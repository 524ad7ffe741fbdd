// seamglade - what may still begin in a planned stop, and until when
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_PLANNED_STOP_H_
#define SEAMGLADE_SRC_PROCESS_PLANNED_STOP_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "process/run_times.h"
#include "seamglade/gateway_types.h"
#include "seamglade/stop_schedule.h"

namespace seamglade::gateway {

/**
 * Decides what an instance may begin while it stops: what ends before the stop
 * does, by the times that were observed on its route. Before a stop, everything
 * may begin.
 */
class planned_stop {
 public:
  /** Begins the stop, or changes its times while it lasts. */
  void begin(const stop_schedule& times) { times_ = times; }
  bool has_begun() const { return times_.has_value(); }
  /** Of a stop that has begun. */
  const stop_schedule& times() const { return *times_; }

  /** Takes in how long a run took, or had lasted when it was given up. */
  void learn(const route& way, duration took);
  /** Forgets the routes that a configuration no longer has. */
  void keep_routes_of(const configuration& config);

  /** Returns by when a request has its answer that has time `until` then. */
  time_point answer_by(time_point until) const;
  /**
   * Returns whether a run that begins now ends before the stop. `left`: the
   * request's own time, which counts where too few runs of its route were seen.
   * `has_run`: how long a stream that goes on has lasted.
   */
  bool may_begin(time_point now, const route& way, duration left,
                 duration has_run = {}) const;
  /** Returns how long a run of a route may take; as may_begin() counts. */
  duration expected(const route& way, duration left) const;

 private:
  /** A route's host and prefix, which no other route of a configuration has. */
  using route_key = std::pair<std::string, std::string>;

  static route_key key_of(const route& way) { return {way.host, way.prefix}; }

  std::optional<stop_schedule> times_;
  /** Of routes of the configuration in force. */
  std::map<route_key, run_times> runs_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_PLANNED_STOP_H_
