// seamglade - the direct path: a request's answers, and its retries
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

#include "process/gateway_impl.h"
#include "process/status_codes.h"
#include "request/request_fingerprint.h"

namespace seamglade::gateway {
namespace {

/** Targets that are tried where no connection comes up. */
constexpr std::uint32_t kUnsentTries = 3;
/** An event, and a body that is passed on whole, may be this large. */
constexpr std::size_t kMostEvent = 1UL << 20U;
constexpr std::size_t kMostBody = 8UL << 20U;
constexpr std::size_t kSmallBody = 1UL << 20U;
/** Of what all bodies may have, so much is for one, and so much is small. */
constexpr std::size_t kBodyPart = 4;
constexpr std::size_t kSmallPart = 32;
/** Beyond twice what all may have, only those up to this size grow. */
constexpr std::size_t kLeastBody = 64UL << 10U;

bool promises_not_run(int status) {
  return status == kTimeout || status == kMisdirected || status == kTooMany ||
         status == kUnavailable;
}

/** Whether an answer names a media type other than that of event streams. */
bool names_other_type(const exchange& x) {
  for (const auto& header : x.headers) {
    if (!boost::algorithm::iequals(header.name, "Content-Type")) continue;
    return !is_event_stream_type(header.value);
  }
  return false;
}

/** Whether an answer's body is passed on event by event. */
bool is_event_stream(const exchange& x) {
  return x.way->stream && is_success(x.status) && x.answer.is_signed &&
         !names_other_type(x);
}

/** Returns how an answer ended; the connection or the framing says `end`. */
call_end end_of_answer(const exchange& x, call_end end) {
  if (end != call_end::complete) return end;
  if (is_event_stream(x)) return end_of_stream(x.events, x.framing);
  // A resumed stream goes on with events only.
  const bool is_other_body = x.head_sent && is_success(x.status);
  return is_other_body ? call_end::malformed : end;
}

/** Returns the hashes of parts, for the log. */
std::string names_of(const std::vector<request_fingerprint>& parts) {
  std::string out;
  for (const auto& part : parts) {
    if (!out.empty()) out += ',';
    out += to_hex(part.content);
  }
  return out;
}

/** Whether an answer is one that a caller may get. */
bool is_valid(const exchange& x) {
  return is_success(x.status) ? x.answer.is_signed : x.status >= kOk;
}

}  // namespace

void gateway_core::impl::end_call(exchange& x, bool success, bool severe) {
  calls_.erase(x.call);
  watch_.dropped(x.call);
  reach_.ended(x.call);
  end_admission(x, success);
  auto* target = target_of(x);
  if (target == nullptr) return;
  if (std::exchange(x.is_after_rest, false)) target->own_word.end_trial();
  work_ended(x, *target);
  waiting_dirty_ = true;
  if (success) return;
  const bool was_ejected = target->is_ejected(now_);
  targets_.failed(now_, *target, severe);
  if (!was_ejected && target->is_ejected(now_)) {
    log("target_ejected",
        {{"target", x.target}, {"for_ms", to_ms(target->ejection)}}, true);
  }
}

void gateway_core::impl::on(event::answer_head&& e) {
  auto* x = by_call(e.call);
  if (x == nullptr) return;
  x->status = e.status;
  x->reason = std::move(e.reason);
  x->headers = std::move(e.headers);
  x->framing = e.framing;
  x->carrier = e.carrier;
  if (x->relay == 0 && e.carrier.calls_before == 0) note_connected();
  x->answer = platform_.read_answer(x->status, x->headers);
  if (x->relay != 0) {
    // An instance promises what it promises to callers.
    x->answer.not_run = promises_not_run(x->status);
    x->is_no_help = e.is_no_help;
    x->told_origin = e.origin;
  }
  note_answer(*x);
  hear_answer(*x);
}

void gateway_core::impl::on(event::answer_data&& e) {
  auto* x = by_call(e.call);
  if (x == nullptr) return;
  note_answer(*x);
  if (is_event_stream(*x)) {
    // Before any of it counts as an event that the caller has.
    if (!x->first_event && !is_of_origin(*x)) return leave_doubtful_call(*x);
    x->events.add(*e.data);
    if (x->events.unfinished() > kMostEvent) return end_too_large(*x);
    send_events(*x);
    return;
  }
  x->body += *e.data;
  if (is_too_large(*x)) end_too_large(*x);
}

bool gateway_core::impl::is_too_large(const exchange& x) const {
  const auto most = options_.answer_bytes;
  if (x.body.size() <= kLeastBody) return false;
  if (x.body.size() > std::min(kMostBody, most / kBodyPart)) return true;
  std::size_t total = 0;
  for (const auto& [caller, other] : exchanges_) total += other.body.size();
  const bool is_small =
      x.body.size() <= std::min(kSmallBody, most / kSmallPart);
  return total > (is_small ? 2 * most : most);
}

void gateway_core::impl::end_too_large(exchange& x) {
  do_act(action::cancel_call{x.call});
  x.body = {};
  call_ended(x, call_end::too_large);
}

void gateway_core::impl::send_stream_head(exchange& x) {
  if (x.head_sent) return;
  x.head_sent = true;
  action::reply_head head{x.caller, x.status, x.reason, x.headers,
                          std::nullopt};
  head.origin = x.origin;
  do_act(std::move(head));
  log("first_event", {{"request", x.facts.id},
                      {"target", x.target},
                      {"software", x.software},
                      {"after_ms", to_ms(now_ - x.started)}});
}

void gateway_core::impl::send_events(exchange& x) {
  auto events = x.events.take_events();
  if (events.empty()) return;
  reading_ended(x);
  if (!x.first_event) x.first_event = now_;
  note_origin(x);
  send_stream_head(x);
  do_act(action::reply_data{
      x.caller, std::make_shared<const std::string>(std::move(events))});
}

bool gateway_core::impl::is_of_origin(const exchange& x) {
  if (!x.origin || x.relay != 0) return true;
  const auto* target = target_of(x);
  return target != nullptr && is_version_certain(x, *target);
}

void gateway_core::impl::leave_doubtful_call(exchange& x) {
  log("stream_left",
      {{"request", x.facts.id}, {"target", x.target}, {"software", x.software}},
      true);
  do_act(action::cancel_call{x.call});
  end_call(x, true, false);
  x.status = 0;
  x.events.restart();
  if (may_retry(x, true)) return retry(x, "other_version");
  if (x.head_sent) return abort_answer(x);
  refuse(x, kBadGateway, {}, "stream_version_unknown");
}

void gateway_core::impl::on(event::answer_end&& e) {
  auto* x = by_call(e.call);
  if (x == nullptr) return;
  x->defect = std::move(e.defect);
  call_ended(*x, e.end);
}

void gateway_core::impl::call_ended(exchange& x, call_end how) {
  if (how == call_end::no_room) return leave_unsent(x);
  const auto end = end_of_answer(x, how);
  if (is_end_in_doubt(x, end)) return doubt_end(x);
  settle_call(x, end);
}

void gateway_core::impl::settle_call(exchange& x, call_end end) {
  const bool whole = end == call_end::complete;
  note_end(x, whole);
  const bool has_sent_bytes = x.defect.fault != answer_fault::none;
  if (end == call_end::malformed || has_sent_bytes) {
    note_life_of(x.target);
  } else if (!whole && x.status == 0) {
    note_unreached(x.target, end);
  }
  if (!whole) doubt_life(x, end);
  if (x.status != 0) ++counts_.answer_ends[{x.framing, end}];
  if (end == call_end::not_sent) {
    end_call(x, false, true);
    --x.runs;
    ++x.unsent_tries;
    retry_unsent(x);
    return;
  }
  if (!whole || !is_valid(x)) {
    broken_call(x, end);
    return;
  }
  if (is_success(x.status)) {
    whole_answer(x);
  } else if (x.relay != 0) {
    relay_failed(x);
  } else {
    failed_answer(x);
  }
}

void gateway_core::impl::leave_unsent(exchange& x) {
  // Its target did nothing: the lack is this instance's own.
  end_call(x, true, false);
  --x.runs;
  log("call_without_room", {{"request", x.facts.id},
                            {"target", x.target},
                            {"relay", static_cast<std::int64_t>(x.relay)},
                            {"runs", static_cast<std::int64_t>(x.runs)}});
  if (x.head_sent) return abort_answer(x);
  constexpr std::string_view kReason = "no_connection_room";
  if (x.runs > 0) return refuse(x, kBadGateway, {}, kReason);
  refuse(x, kUnavailable, kComeBackSoon, kReason);
}

void gateway_core::impl::retry_unsent(exchange& x) {
  if (x.unsent_tries < kUnsentTries && time_left(x) > kAnswerMargin) {
    retry(x, "not_sent");
  } else if (!relay(x)) {
    give_up(x);
  }
}

void gateway_core::impl::whole_answer(exchange& x) {
  learn_run_time(x);
  clear_blame(x);
  if (x.relay == 0) clear_parts(x, x.first_event.value_or(now_));
  if (auto* target = target_of(x)) targets_.succeeded(*target);
  end_call(x, true, false);
  ++counts_.answered;
  log("answered", {{"request", x.facts.id},
                   {"target", x.target},
                   {"relay", static_cast<std::int64_t>(x.relay)},
                   {"status", x.status},
                   {"framing", std::string(to_string(x.framing))},
                   {"connection", connection_of(x.carrier)},
                   {"calls_before", x.carrier.calls_before},
                   {"after_ms", to_ms(now_ - x.started)}});
  if (is_event_stream(x)) {
    send_stream_head(x);
    do_act(action::reply_end{x.caller});
    finish(x.caller);
    return;
  }
  pass_on(x);
}

void gateway_core::impl::pass_on(exchange& x) {
  do_act(action::reply_head{x.caller, x.status, x.reason, x.headers,
                            x.body.size()});
  if (!x.body.empty()) {
    do_act(action::reply_data{
        x.caller, std::make_shared<const std::string>(std::move(x.body))});
  }
  do_act(action::reply_end{x.caller});
  finish(x.caller);
}

void gateway_core::impl::failed_answer(exchange& x) {
  const bool not_run = x.answer.not_run;
  const bool misplaced = x.status == kMisdirected;
  // Being full is no fault; neither is an adapter that is not there.
  end_call(x, not_run || x.status < kServerError, false);
  log("target_failed", {{"request", x.facts.id},
                        {"target", x.target},
                        {"status", x.status},
                        {"not_run", static_cast<std::int64_t>(not_run)},
                        {"connection", connection_of(x.carrier)},
                        {"calls_before", x.carrier.calls_before}});
  if (not_run) {
    --x.runs;
  } else {
    clear_blame(x);
  }
  if (misplaced) {
    if (auto* target = target_of(x)) {
      // What was believed of its adapters is wrong until its holder speaks.
      target->forget_place(x.facts.adapter);
      // It may run there yet, once the adapter is loaded.
      x.tried.erase(x.target);
    }
  }
  const bool worth_it = not_run || x.status >= kServerError;
  if (worth_it && may_retry(x, !not_run)) {
    retry(x, not_run ? "not_run" : "failed");
    return;
  }
  if (x.head_sent) return abort_answer(x);
  if (not_run && x.runs == 0) {
    refuse(x, kUnavailable, kComeBackSoon, "target_refused");
    return;
  }
  if (promises_not_run(x.status)) {
    // Only a target's own word counts, and there is none that it did not run.
    refuse(x, kBadGateway, {}, "target_failed");
    return;
  }
  ++counts_.failed;
  pass_on(x);
}

void gateway_core::impl::abort_answer(exchange& x) {
  ++counts_.cut;
  do_act(action::reply_abort{x.caller});
  finish(x.caller);
}

void gateway_core::impl::broken_call(exchange& x, call_end end) {
  end_call(x, false, false);
  // How many targets the other instance sent it to is not told.
  if (x.relay != 0) x.runs = std::max(x.runs, x.way->attempts);
  // No longer among the runs that a quarantine stops.
  x.now = exchange::phase::waiting;
  // One that came before and was at an end may have ended this target too.
  const bool was_blamed = is_near_verdict(x);
  suspect_request(x);
  log("call_broken",
      {{"request", x.facts.id},
       {"target", x.target},
       {"status", x.status},
       {"framing", std::string(to_string(x.framing))},
       {"end", std::string(to_string(end))},
       {"fault", std::string(to_string(x.defect.fault))},
       {"excerpt", x.defect.excerpt},
       {"connection", connection_of(x.carrier)},
       {"calls_before", x.carrier.calls_before},
       {"unfinished", static_cast<std::int64_t>(x.events.unfinished())},
       {"from", static_cast<std::int64_t>(x.message.caller_address)},
       {"content", to_hex(x.fingerprint.content)},
       {"parts", names_of(x.parts)},
       {"after_ms", to_ms(now_ - x.called_at)}},
      true);
  if (x.head_sent) {
    x.events.restart();
    const bool resumes = x.way->resumable && !x.events.last_id().empty();
    if (resumes && !was_blamed && may_retry(x, true)) {
      retry(x, "resume");
      return;
    }
    abort_answer(x);
    return;
  }
  x.events.restart();
  if (!was_blamed && may_retry(x, true)) {
    retry(x, "broken");
    return;
  }
  refuse(x, kBadGateway, {}, "call_broken");
}

bool gateway_core::impl::may_retry(exchange& x, bool ran) {
  if (time_left(x) <= kAnswerMargin) return false;
  if (ran && !x.way->repeatable) return false;
  if (x.runs >= x.way->attempts) return false;
  if (refused_content(x)) return false;
  if (!ends_before_stop(x)) return false;
  return budgets_[x.service->name].take(now_);
}

void gateway_core::impl::retry(exchange& x, std::string_view reason) {
  ++counts_.retries;
  x.defect = {};
  log("retry", {{"request", x.facts.id}, {"reason", std::string(reason)}});
  place_again(x);
}

}  // namespace seamglade::gateway
