// seamglade - the direct path: a request's answers, retries and refusals
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/status_codes.h"
#include "request/request_fingerprint.h"

namespace seamglade::gateway {
namespace {

/** An answer is given this long before the time is up. */
constexpr duration kAnswerMargin = 30ms;
/** Targets that are tried where no connection comes up. */
constexpr std::uint32_t kUnsentTries = 3;
/** A request waits for a place at most this part of its time. */
constexpr int kWaitPart = 4;
constexpr duration kLongestWait = 2500ms;
/** ... and this many halves of its objective: callers leave after four. */
constexpr int kWaitHalfObjectives = 6;
/**
 * A request that comes before the first configuration waits this long for it:
 * a peer's copy or the store's answer takes 0.3 s after a start.
 */
constexpr duration kAwaitConfiguration = 800ms;
/** When a request that was not run is worth another try. */
constexpr duration kComeBackAtOnce = 50ms;
constexpr duration kComeBackSoon = 300ms;
constexpr duration kComeBackLater = 1000ms;
/** In a planned stop, later requests might not be finished in time. */
constexpr duration kTakeStreamsWhileDraining = 2500ms;
constexpr duration kTakeWhileDraining = 6000ms;

bool promises_not_run(int status) {
  return status == kTimeout || status == kMisdirected || status == kTooMany ||
         status == kUnavailable;
}

std::string retry_after_text(duration wait) {
  const auto ms = wait / std::chrono::milliseconds(1);
  return std::to_string(ms / 1000) + "." +
         std::to_string(1000 + ms % 1000).substr(1);
}

/** Returns how long a request may wait for a place. */
duration longest_wait(const route& way, duration allowed) {
  const auto wait = std::min(kLongestWait, allowed / kWaitPart);
  if (way.objective <= duration{}) return wait;
  return std::min(wait, way.objective * kWaitHalfObjectives / 2);
}

/** Picks a service by weight; the same request id picks the same one. */
const service_share& pick_share(const route& way, std::string_view id) {
  std::uint64_t total = 0;
  for (const auto& share : way.shares) total += share.weight;
  if (total == 0) return way.shares.front();
  auto at = hash_of(target_id(id)) % total;
  for (const auto& share : way.shares) {
    if (at < share.weight) return share;
    at -= share.weight;
  }
  return way.shares.back();
}

}  // namespace

exchange* gateway_core::impl::by_call(call_id call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return nullptr;
  const auto x = exchanges_.find(found->second);
  return x == exchanges_.end() ? nullptr : &x->second;
}

target_state* gateway_core::impl::target_of(const exchange& x) {
  return targets_.find(x.target);
}

std::uint32_t gateway_core::impl::version_of(const adapter_name& name) const {
  const auto found = versions_.find(name);
  return found == versions_.end() ? 0 : found->second;
}

void gateway_core::impl::on(event::request&& e) {
  ++counts_.requests;
  exchange fresh;
  fresh.caller = e.caller;
  fresh.message = std::move(e.message);
  fresh.started = now_;
  auto& x = exchanges_.emplace(e.caller, std::move(fresh)).first->second;
  if (config_ && !awaits_keys()) {
    route(x);
    return;
  }
  // A process that has just started knows its configuration in a moment.
  has_unrouted_ = true;
  x.until = now_ + kAwaitConfiguration;
  x.refuse_at = x.until;
}

void gateway_core::impl::route_unrouted() {
  has_unrouted_ = false;
  std::vector<caller_id> unrouted;
  for (const auto& [caller, x] : exchanges_) {
    if (x.way == nullptr) unrouted.push_back(caller);
  }
  for (const auto caller : unrouted) route(exchanges_.at(caller));
}

void gateway_core::impl::route(exchange& x) {
  x.config = config_;
  x.way = config_->find_route(x.message.host, x.message.target);
  if (x.way == nullptr) {
    refuse(x, kNotFound, {}, "no_route");
    return;
  }
  const auto take_until =
      x.way->stream ? kTakeStreamsWhileDraining : kTakeWhileDraining;
  if (draining_ && now_ - drain_started_ > take_until) {
    refuse(x, kUnavailable, kComeBackAtOnce, "draining");
    return;
  }
  auto facts = platform_.read_request(x.message.headers);
  if (!facts) {
    refuse(x, kBadRequest, {}, "bad_header");
    return;
  }
  x.facts = std::move(facts.value());
  if (!admit_key(x)) return;
  x.fingerprint = fingerprint_of(
      x.message, x.owner == nullptr ? std::string_view() : x.owner->name);
  if (refuse_quarantined(x)) return;
  auto allowed = x.way->timeout;
  if (x.facts.deadline) allowed = std::min(allowed, *x.facts.deadline);
  x.until = x.started + allowed;
  x.refuse_at = x.started + longest_wait(*x.way, allowed);
  const auto& share = pick_share(*x.way, x.facts.id);
  x.service = config_->find_service(share.service);
  if (x.service == nullptr) {
    refuse(x, kUnavailable, kComeBackLater, "no_service");
    return;
  }
  auto [budget, is_new] = budgets_.try_emplace(x.service->name);
  const auto members =
      static_cast<double>(std::max<std::size_t>(roster_.size(), 1));
  budget->second.configure(options_.retry_ratio / 2,
                           options_.retry_extra / members,
                           options_.retry_window);
  budget->second.request(now_);
  meter(x);
}

void gateway_core::impl::on(event::caller_gone&& e) {
  const auto found = exchanges_.find(e.caller);
  if (found == exchanges_.end()) return;
  auto& x = found->second;
  log("caller_gone", {{"request", x.facts.id}, {"target", x.target}});
  if (x.now == exchange::phase::calling) {
    do_act(action::cancel_call{x.call});
    end_call(x, true, false);
  }
  finish(e.caller);
}

void gateway_core::impl::finish(caller_id caller) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) return;
  if (!found->second.home.empty()) interest_dirty_.insert(found->second.home);
  quota_requests_.erase(found->second.quota.request);
  admissions_.erase(found->second.admission.request);
  exchanges_.erase(found);
}

void gateway_core::impl::end_call(exchange& x, bool success, bool severe) {
  calls_.erase(x.call);
  watch_.dropped(x.call);
  end_admission(x, success);
  auto* target = target_of(x);
  if (target == nullptr) return;
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
  x->answer = platform_.read_answer(x->status, x->headers);
  note_answer(*x);
}

void gateway_core::impl::on(event::answer_data&& e) {
  auto* x = by_call(e.call);
  if (x == nullptr) return;
  note_answer(*x);
  const bool good = x->status >= kOk && x->status < kMultipleChoices;
  if (x->way->stream && good && x->answer.is_signed) {
    x->events.add(*e.data);
    send_stream_data(*x, false);
    return;
  }
  x->body += *e.data;
}

void gateway_core::impl::send_stream_data(exchange& x, bool flush) {
  auto events = x.events.take_events();
  if (flush) events += x.events.take_rest();
  if (!events.empty()) {
    reading_ended(x);
    if (!x.first_event) x.first_event = now_;
  }
  if (!x.head_sent && (!events.empty() || flush)) {
    x.head_sent = true;
    do_act(action::reply_head{x.caller, x.status, x.reason, x.headers,
                              std::nullopt});
    log("first_event", {{"request", x.facts.id},
                        {"target", x.target},
                        {"after_ms", to_ms(now_ - x.started)}});
  }
  if (events.empty()) return;
  do_act(action::reply_data{
      x.caller, std::make_shared<const std::string>(std::move(events))});
}

void gateway_core::impl::on(event::answer_end&& e) {
  auto* x = by_call(e.call);
  if (x == nullptr) return;
  using how = event::answer_end::how;
  note_end(*x, e.end == how::complete);
  if (e.end == how::not_sent) {
    end_call(*x, false, true);
    --x->runs;
    ++x->unsent_tries;
    if (x->unsent_tries < kUnsentTries && x->until - now_ > kAnswerMargin) {
      retry(*x, "not_sent");
    } else {
      give_up(*x);
    }
    return;
  }
  const bool whole = e.end == how::complete;
  const bool good = x->status >= kOk && x->status < kMultipleChoices;
  if (!whole || (good && !x->answer.is_signed) || x->status < kOk) {
    broken_call(*x);
    return;
  }
  if (good) {
    whole_answer(*x);
  } else {
    failed_answer(*x);
  }
}

void gateway_core::impl::whole_answer(exchange& x) {
  clear_blame(x);
  if (auto* target = target_of(x)) targets_.succeeded(*target);
  end_call(x, true, false);
  ++counts_.answered;
  log("answered", {{"request", x.facts.id},
                   {"target", x.target},
                   {"status", x.status},
                   {"after_ms", to_ms(now_ - x.started)}});
  if (x.way->stream) {
    send_stream_data(x, true);
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
                        {"not_run", static_cast<std::int64_t>(not_run)}});
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
  if (x.head_sent) {
    ++counts_.cut;
    do_act(action::reply_abort{x.caller});
    finish(x.caller);
    return;
  }
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

void gateway_core::impl::broken_call(exchange& x) {
  end_call(x, false, false);
  // No longer among the runs that a quarantine stops.
  x.now = exchange::phase::waiting;
  suspect_request(x);
  log("call_broken",
      {{"request", x.facts.id},
       {"target", x.target},
       {"status", x.status},
       {"from", static_cast<std::int64_t>(x.message.caller_address)},
       {"content", to_hex(x.fingerprint.content)},
       {"after_ms", to_ms(now_ - x.called_at)}},
      true);
  if (x.head_sent) {
    x.events.drop_rest();
    const bool resumes = x.way->resumable && !x.events.last_id().empty();
    if (resumes && may_retry(x, true)) {
      retry(x, "resume");
      return;
    }
    ++counts_.cut;
    do_act(action::reply_abort{x.caller});
    finish(x.caller);
    return;
  }
  x.events.drop_rest();
  if (may_retry(x, true)) {
    retry(x, "broken");
    return;
  }
  refuse(x, kBadGateway, {}, "call_broken");
}

bool gateway_core::impl::may_retry(exchange& x, bool ran) {
  if (x.until - now_ <= kAnswerMargin) return false;
  if (ran && !x.way->repeatable) return false;
  if (x.runs >= x.way->attempts) return false;
  if (quarantine_.refused_for(now_, x.fingerprint)) return false;
  return budgets_[x.service->name].take(now_);
}

void gateway_core::impl::retry(exchange& x, std::string_view reason) {
  ++counts_.retries;
  log("retry", {{"request", x.facts.id}, {"reason", std::string(reason)}});
  x.now = exchange::phase::waiting;
  x.call = 0;
  place(x);
}

void gateway_core::impl::give_up(exchange& x) {
  if (x.now == exchange::phase::calling && calls_.contains(x.call)) {
    do_act(action::cancel_call{x.call});
    end_call(x, false, false);
  }
  if (x.head_sent) {
    ++counts_.cut;
    log("cut", {{"request", x.facts.id}, {"target", x.target}}, true);
    do_act(action::reply_abort{x.caller});
    finish(x.caller);
    return;
  }
  if (x.way == nullptr) {
    refuse(x, kUnavailable, kComeBackSoon, "no_configuration");
  } else if (x.runs > 0) {
    refuse(x, kGatewayTimeout, {}, "no_answer_in_time");
  } else {
    refuse(x, kUnavailable, come_back(x, kComeBackSoon), "no_place_in_time");
  }
}

void gateway_core::impl::refuse(exchange& x, int status, duration retry_after,
                                std::string_view reason) {
  ++counts_.refused;
  log("refuse", {{"request", x.facts.id},
                 {"status", status},
                 {"reason", std::string(reason)},
                 {"adapter", x.facts.adapter.str()},
                 {"target", x.target},
                 {"after_ms", to_ms(now_ - x.started)}});
  action::reply_head head;
  head.caller = x.caller;
  head.status = status;
  head.length = 0;
  if (retry_after > 0ms) {
    head.headers.push_back({"Retry-After", retry_after_text(retry_after)});
  }
  do_act(std::move(head));
  do_act(action::reply_end{x.caller});
  finish(x.caller);
}

void gateway_core::impl::expire_exchanges() {
  std::vector<caller_id> late;
  for (auto& [caller, x] : exchanges_) {
    const bool waits = x.now != exchange::phase::calling;
    const auto limit = waits ? std::min(x.refuse_at, x.until - kAnswerMargin)
                             : x.until - kAnswerMargin;
    // A stream that goes on after its first call waits as long as it may.
    if (now_ >= (x.head_sent ? x.until - kAnswerMargin : limit)) {
      late.push_back(caller);
    }
  }
  for (const auto caller : late) {
    const auto found = exchanges_.find(caller);
    if (found != exchanges_.end()) give_up(found->second);
  }
}

}  // namespace seamglade::gateway
