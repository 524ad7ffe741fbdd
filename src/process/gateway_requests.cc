// seamglade - the direct path: requests that come, and refusals
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <flatbuffers/util.h>

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/status_codes.h"
#include "request/request_fingerprint.h"

namespace seamglade::gateway {
namespace {

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
constexpr duration kComeBackLater = 1000ms;
/** Callers are asked back over this time, the more urgent ones first. */
constexpr duration kReturnSpread = 600ms;
constexpr std::uint32_t kMostRank = 3;
/** Why a request was given up: its own time was over, or a planned stop. */
constexpr std::string_view kTimeIsUp = "no_answer_in_time";
constexpr std::string_view kStopEnds = "stop_ends";
/** Bytes of a caller's text in a line of the log. */
constexpr std::size_t kMostLoggedText = 200;

std::string retry_after_text(duration wait) {
  const auto ms = wait / std::chrono::milliseconds(1);
  return std::to_string(ms / 1000) + "." +
         std::to_string(1000 + ms % 1000).substr(1);
}

/** Whether JSON can bear a text, as orders to targets must. */
bool is_utf8(const std::string& text) {
  const char* at = text.c_str();
  const char* const end = at + text.size();
  while (at < end) {
    if (flatbuffers::FromUTF8(&at) < 0) return false;
  }
  return true;
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

std::uint32_t gateway_view::version_of(const adapter_name& name) const {
  const auto found = versions_.find(name);
  return found == versions_.end() ? 0 : found->second;
}

void gateway_core::impl::on(event::request&& e) {
  ++counts_.requests;
  exchange fresh;
  fresh.caller = e.caller;
  fresh.message = std::move(e.message);
  fresh.relayed = e.relayed;
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

void gateway_core::impl::refuse_unrouted(exchange& x) {
  // Its headers are not read yet: the id alone is, for the log.
  if (auto facts = platform_.read_request(x.message.headers)) {
    x.facts.id = std::move(facts.value().id);
  }
  const auto path = x.message.target.substr(0, x.message.target.find('?'));
  log("no_route",
      {{"request", x.facts.id},
       {"host", x.message.host.substr(0, kMostLoggedText)},
       {"path", path.substr(0, kMostLoggedText)},
       {"version", static_cast<std::int64_t>(config_->version)},
       {"in_force_ms", to_ms(now_ - configuration_since_)},
       {"copy_age_ms", to_ms(copy_age())},
       {"revision", static_cast<std::int64_t>(mirror_.revision())}},
      true);
  refuse(x, kNotFound, {}, "no_route");
}

void gateway_core::impl::route(exchange& x) {
  x.config = config_;
  x.way = config_->find_route(x.message.host, x.message.target);
  if (x.way == nullptr) return refuse_unrouted(x);
  auto facts = platform_.read_request(x.message.headers);
  if (!facts) {
    refuse(x, kBadRequest, {}, "bad_header");
    return;
  }
  x.facts = std::move(facts.value());
  if (x.relayed) {
    x.runs = x.relayed->runs;
    if (!admit_relayed(x)) return;
  }
  if (!admit_key(x)) return;
  name_contents(x);
  if (refuse_quarantined(x)) return;
  auto allowed = x.way->timeout;
  if (x.facts.deadline) allowed = std::min(allowed, *x.facts.deadline);
  x.until = x.started + allowed;
  x.refuse_at = x.started + longest_wait(*x.way, allowed);
  if (refuse_late(x)) return;
  x.service = usual_service(x);
  if (x.service == nullptr) {
    refuse(x, kUnavailable, kComeBackLater, "no_service");
    return;
  }
  if (x.service->engine && !is_utf8(x.facts.adapter.str())) {
    refuse(x, kBadRequest, {}, "bad_model");
    return;
  }
  if (x.way->stream && x.way->resumable) return follow_stream(x);
  admit(x);
}

const service_profile* gateway_view::usual_service(const exchange& x) const {
  // A stream that is taken up goes where its first request went.
  const auto& id = x.facts.resumes.empty() ? x.facts.id : x.facts.resumes;
  return x.config->find_service(pick_share(*x.way, id).service);
}

void gateway_core::impl::admit(exchange& x) {
  auto [budget, is_new] = budgets_.try_emplace(x.service->name);
  const auto members =
      static_cast<double>(std::max<std::size_t>(roster_.size(), 1));
  budget->second.configure(options_.retry_ratio / 2,
                           options_.retry_extra / members,
                           options_.retry_window);
  if (x.relayed) {
    // The instance that it came to has counted it.
    place(x);
    return;
  }
  budget->second.request(now_);
  meter(x);
}

void gateway_core::impl::name_contents(exchange& x) {
  const auto workspace =
      x.owner == nullptr ? std::string_view() : x.owner->name;
  x.fingerprint = fingerprint_of(x.message, workspace);
  std::uint8_t place = 0;
  for (const auto& part : x.facts.prompt_parts) {
    x.parts.push_back(fingerprint_of_part(part, ++place, workspace));
  }
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
  origin_asks_.erase(found->second.tracing.request);
  admissions_.erase(found->second.admission.request);
  exchanges_.erase(found);
}

void gateway_core::impl::give_up(exchange& x) {
  const bool is_stopped = is_ended_by_stop(x);
  if (x.now == exchange::phase::calling && calls_.contains(x.call)) {
    if (!is_stopped) learn_run_time(x);
    do_act(action::cancel_call{x.call});
    end_call(x, false, false);
  }
  if (x.head_sent) {
    log("cut",
        {{"request", x.facts.id},
         {"target", x.target},
         {"reason", std::string(is_stopped ? kStopEnds : kTimeIsUp)},
         {"after_ms", to_ms(now_ - x.started)}},
        true);
    abort_answer(x);
    return;
  }
  if (x.way == nullptr) {
    note_missing_configuration();
    refuse(x, kUnavailable, kComeBackSoon, "no_configuration");
  } else if (x.runs > 0) {
    refuse(x, kGatewayTimeout, {}, is_stopped ? kStopEnds : kTimeIsUp);
  } else if (is_stopped) {
    refuse(x, kUnavailable, come_back_in_stop(), kStopEnds);
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
                 {"content", to_hex(x.fingerprint.content)},
                 {"after_ms", to_ms(now_ - x.started)}});
  action::reply_head head;
  head.caller = x.caller;
  head.status = status;
  head.length = 0;
  head.is_no_help = x.relayed && x.relayed->is_no_help;
  if (retry_after > 0ms) {
    head.headers.push_back({"Retry-After", retry_after_text(retry_after)});
  }
  do_act(std::move(head));
  do_act(action::reply_end{x.caller});
  finish(x.caller);
}

duration gateway_core::impl::return_spread(const exchange& x, duration apart) {
  const auto rank = std::min(x.rank(), kMostRank);
  const auto longest = std::max<duration>(kReturnSpread, apart);
  const auto chance = random_() % static_cast<std::uint64_t>(longest.count());
  return rank * kReturnSpread + duration(static_cast<std::int64_t>(chance));
}

void gateway_core::impl::expire_exchanges() {
  std::vector<caller_id> late;
  for (auto& [caller, x] : exchanges_) {
    const bool waits = x.now != exchange::phase::calling;
    const auto last = answer_by(x) - kAnswerMargin;
    const auto limit = waits ? std::min(x.refuse_at, last) : last;
    // A stream that goes on after its first call waits as long as it may.
    if (now_ >= (x.head_sent ? last : limit)) {
      late.push_back(caller);
    }
  }
  for (const auto caller : late) {
    const auto found = exchanges_.find(caller);
    if (found != exchanges_.end()) give_up(found->second);
  }
}

}  // namespace seamglade::gateway
