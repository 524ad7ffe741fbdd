// seamglade - the times of a planned stop, from how long the platform waits
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STOP_SCHEDULE_H_
#define SEAMGLADE_STOP_SCHEDULE_H_

#include "seamglade/types.h"

namespace seamglade {

/** When a process that was told to stop does what, in this order. */
struct stop_schedule {
  time_point began;
  /** Connections without a request are closed from then on. */
  time_point close_idle_from;
  /** Each request that was taken has its answer, or a last one of its own. */
  time_point answer_by;
  /** The process ends, whatever still runs. */
  time_point end;

  friend bool operator==(const stop_schedule&, const stop_schedule&) = default;
};

/** `grace`: time from the signal until the platform kills the process. */
stop_schedule make_stop_schedule(time_point began, duration grace);

}  // namespace seamglade

#endif  // SEAMGLADE_STOP_SCHEDULE_H_
