// seamglade - running a loop until a test has what it waits for
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_LOOP_PATIENCE_H_
#define SEAMGLADE_TEST_LOOP_PATIENCE_H_

#include "connection/event_handles.h"

namespace seamglade::detail {

/**
 * Runs a loop until it is broken, for `most` at the longest. Unlike
 * event_base_loopexit(), nothing of it is left to end a later run.
 */
inline void run_loop(event_base* base, duration most) {
  const auto end = [](evutil_socket_t, short, void* loop) {
    event_base_loopbreak(static_cast<event_base*>(loop));
  };
  const event_handle timer(event_new(base, -1, 0, end, base));
  const auto wait = to_timeval(most);
  event_add(timer.get(), &wait);
  event_base_dispatch(base);
}

}  // namespace seamglade::detail

#endif  // SEAMGLADE_TEST_LOOP_PATIENCE_H_
