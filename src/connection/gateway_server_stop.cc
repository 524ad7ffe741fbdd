// seamglade - the callers' side of the direct path: the end of a process
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/gateway_server.h"

namespace seamglade::detail {

void gateway_server::stop_listening() {
  event_del(rest_timer_.get());
  listener_.reset();
}

void gateway_server::close_idle() {
  const auto latest = boot_now() - kLeastIdle;
  std::vector<connection*> idle;
  for (const auto& [number, c] : connections_) {
    const bool is_between = c->now == phase::reading && !c->reader->started();
    const bool is_old = c->since <= latest;
    if (is_between && is_old && is_idle(*c)) idle.push_back(c.get());
  }
  for (auto* c : idle) erase(*c);
}

void gateway_server::hand_over_unsent() {
  for (const auto& [number, c] : connections_) {
    auto* out = bufferevent_get_output(c->io.get());
    if (evbuffer_get_length(out) == 0) continue;
    const bool is_done = write_at_once(out, bufferevent_getfd(c->io.get()));
    if (is_done && c->now == phase::closing) end_output(*c);
  }
}

void gateway_server::refuse_unread() {
  std::vector<connection*> unread;
  for (const auto& [number, c] : connections_) {
    if (c->now == phase::reading && c->reader->started()) {
      unread.push_back(c.get());
    }
  }
  for (auto* c : unread) refuse(*c, kUnavailable, kRetryAfter);
}

}  // namespace seamglade::detail
