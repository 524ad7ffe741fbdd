// seamglade - the direct path: requests in a planned stop
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** Where a request stood, for the log. */
std::string_view phase_of(const exchange& x) {
  if (x.head_sent) return "answering";
  return x.now == exchange::phase::calling ? "calling" : "waiting";
}

}  // namespace

void gateway_core::impl::on(event::stop_over&&) {
  for (const auto& [caller, x] : exchanges_) {
    const bool runs = x.now == exchange::phase::calling;
    log("stop_cut",
        {{"request", x.facts.id},
         {"target", x.target},
         {"phase", std::string(phase_of(x))},
         {"runs", x.runs},
         {"run_ms", runs ? to_ms(now_ - x.called_at) : 0},
         {"after_ms", to_ms(now_ - x.started)},
         {"left_ms", to_ms(x.until - now_)},
         {"taken_in_stop_ms", to_ms(x.started - drain_started_)},
         {"stop_ms", to_ms(now_ - drain_started_)}},
        true);
  }
}

}  // namespace seamglade::gateway
