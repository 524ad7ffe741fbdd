// seamglade - the shell of the direct path: the course of a planned stop
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/gateway_shell.h"

namespace seamglade::detail {

namespace event = gateway::event;

void gateway_shell::begin_drain() {
  if (stop_) return;
  stop_ = make_stop_schedule(boot_now(), config_.grace);
  addresses_.stop();
  if (!has_joined_) {
    say_stopped();
    event_base_loopbreak(base_.get());
    return;
  }
  callers_.drain();
  post(event::drain{*stop_});
  arm_timer();
}

void gateway_shell::change_drain() {
  if (!stop_ || !has_joined_) return;
  const auto changed = make_stop_schedule(stop_->began, config_.grace);
  if (changed == *stop_) return;
  stop_ = changed;
  post(event::drain{changed});
}

void gateway_shell::tick_drain() {
  if (!stop_) return;
  const auto now = boot_now();
  if (now < stop_->close_idle_from) return;
  callers_.close_idle();
  if (now >= stop_->answer_by) {
    // Whoever connects from now on is refused, not closed unread.
    callers_.stop_listening();
    callers_.refuse_unread();
    peers_.refuse_unread();
  }
  const bool is_busy = callers_.connection_count() > 0 || !relayed_.empty();
  if (is_busy && now < stop_->end) return;
  post(event::stop_over{});
  callers_.hand_over_unsent();
  peers_.hand_over_unsent();
  say_stopped();
  event_base_loopbreak(base_.get());
}

void gateway_shell::say_stopped() {
  log_.write(
      boot_now(),
      {"stopped",
       {{"connections", static_cast<std::int64_t>(callers_.connection_count())},
        {"stop_ms", (boot_now() - stop_->began) / 1ms},
        {"grace_ms", config_.grace / 1ms}},
       true});
}

}  // namespace seamglade::detail
