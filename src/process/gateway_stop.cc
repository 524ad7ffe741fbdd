// seamglade - the direct path: requests in a planned stop
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/status_codes.h"

namespace seamglade::gateway {
namespace {

/** Another instance takes what this one can't serve. */
constexpr duration kComeBackAtOnce = 50ms;
/** All stop: one that is started again takes requests by then as a rule. */
constexpr duration kComeBackAfterStart = 1s;

/** Where a request stood, for the log. */
std::string_view phase_of(const exchange& x) {
  if (x.head_sent) return "answering";
  return x.now == exchange::phase::calling ? "calling" : "waiting";
}

/** How long a stream that goes on has lasted. */
duration has_run(const exchange& x, time_point now) {
  return x.head_sent ? now - x.started : duration{};
}

}  // namespace

void gateway_core::impl::on(event::drain&& e) {
  const bool is_first = !stop_.has_begun();
  stop_.begin(e.times);
  log(is_first ? "drain_started" : "drain_changed",
      {{"requests", static_cast<std::int64_t>(exchanges_.size())},
       {"answer_by_ms", to_ms(e.times.answer_by - e.times.began)},
       {"end_ms", to_ms(e.times.end - e.times.began)}},
      true);
  if (!is_first) return;
  roster_.leave();
  next_beat_ = now_;
  close_accounts();
  close_grants();
  hand_origins_over();
}

time_point gateway_view::answer_by(const exchange& x) const {
  return stop_.answer_by(x.until);
}

duration gateway_view::time_left(const exchange& x) const {
  return answer_by(x) - now_;
}

bool gateway_view::ends_before_stop(const exchange& x) const {
  return stop_.may_begin(now_, *x.way, x.until - now_, has_run(x, now_));
}

bool gateway_view::is_ended_by_stop(const exchange& x) const {
  if (x.way != nullptr && !ends_before_stop(x)) return true;
  const auto last = answer_by(x);
  return last < x.until && now_ >= last - kAnswerMargin;
}

duration gateway_view::come_back_in_stop() const {
  const bool is_alone =
      std::all_of(staying_.begin(), staying_.end(),
                  [&](member_address who) { return who == options_.self; });
  return is_alone ? kComeBackAfterStart : kComeBackAtOnce;
}

bool gateway_core::impl::refuse_late(exchange& x) {
  if (ends_before_stop(x)) return false;
  log("too_late_in_stop",
      {{"request", x.facts.id},
       {"route", x.way->host + x.way->prefix},
       {"runs", x.runs},
       {"expected_ms", to_ms(stop_.expected(*x.way, x.until - now_))},
       {"has_run_ms", to_ms(has_run(x, now_))},
       {"left_ms", to_ms(x.until - now_)},
       {"stop_left_ms", to_ms(stop_.times().answer_by - now_)}});
  if (x.relayed) {
    refuse_relayed(x, "draining");
  } else if (x.runs > 0 || x.head_sent) {
    give_up(x);
  } else {
    refuse(x, kUnavailable, come_back_in_stop(), "draining");
  }
  return true;
}

void gateway_core::impl::learn_run_time(const exchange& x) {
  // Of a request that ran before, the last call may be a part alone.
  if (x.runs == 1) stop_.learn(*x.way, now_ - x.called_at);
}

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
         {"taken_in_stop_ms", to_ms(x.started - stop_.times().began)},
         {"stop_ms", to_ms(now_ - stop_.times().began)}},
        true);
  }
}

}  // namespace seamglade::gateway
