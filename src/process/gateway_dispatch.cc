// seamglade - the direct path: a request waits, or goes to its target
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "request/request_fingerprint.h"

namespace seamglade::gateway {
namespace {

/** What is told to targets as rank: the most urgent is 0, the default 5. */
constexpr std::uint32_t kLowestRank = 9;
/** Requests that wait are looked at anew so far apart. */
constexpr duration kPlacePause = 5ms;
constexpr duration kLargePlacePause = 15ms;
/** Of a target's connections all instances together keep so much idle. */
constexpr std::size_t kIdlePart = 2;
constexpr std::size_t kMostIdleShare = 32;

}  // namespace

void gateway_core::impl::wait_for(exchange& x, target_state* home,
                                  std::string_view reason) {
  if (x.head_sent && home == nullptr) {
    give_up(x);
    return;
  }
  const auto home_id = home == nullptr ? target_id() : home->entry.id;
  const bool first =
      x.now != exchange::phase::waiting || x.home != home_id || x.call == 0;
  x.now = exchange::phase::waiting;
  if (!first) return;
  if (x.home != home_id) {
    if (!x.home.empty()) interest_dirty_.insert(x.home);
    x.home = home_id;
    log("wait", {{"request", x.facts.id},
                 {"reason", std::string(reason)},
                 {"adapter", x.facts.adapter.str()},
                 {"target", home_id},
                 {"prompt", x.facts.prompt_tokens},
                 {"objective_ms", to_ms(x.way->objective)}});
  }
  if (home != nullptr) interest_dirty_.insert(home_id);
}

void gateway_core::impl::begin_call(exchange& x) {
  if (!x.home.empty()) interest_dirty_.insert(x.home);
  x.home.clear();
  x.asked_until.reset();
  // A place that is granted later is given back.
  x.admission.answer_until.reset();
  x.now = exchange::phase::calling;
  x.call = next_call_++;
  x.relay = 0;
  x.called_at = now_;
  x.closed_at.reset();
  x.first_event.reset();
  ++x.runs;
  x.status = 0;
  x.framing = body_framing::length;
  x.carrier = {};
  x.headers.clear();
  x.body.clear();
  x.answer = {};
  x.is_no_help = false;
  x.told_origin.reset();
  x.is_proven = false;
  calls_[x.call] = x.caller;
}

void gateway_core::impl::dispatch(exchange& x, target_state& target) {
  // All that is sent to a target comes through here.
  // A limit binds all instances together, so each needs leave for each request.
  // A grant is for this moment, also where it turns out not to be needed.
  const bool is_granted = use_grant(x, target);
  if (needs_grant(target) && !is_granted) return ask_grantor(x, target);
  begin_call(x);
  x.target = target.entry.id;
  x.target_life = target.entry.started_ms;
  x.software = target.entry.software;
  x.is_after_rest = target.own_word.begin_trial(now_, x.target_life);
  x.tried.insert(x.target);
  work_began(x, target);
  watch_call(x, target);
  call_facts facts;
  facts.target = x.target;
  facts.is_keyed = x.config->is_keyed();
  if (x.owner != nullptr) facts.workspace = x.owner->name;
  facts.remaining = time_left(x);
  const auto version = version_of(x.facts.adapter);
  if (version > 0) facts.adapter_version = version;
  if (x.service->engine) facts.priority = std::min(kLowestRank, x.rank());
  facts.last_event = x.head_sent ? x.events.last_id() : x.facts.last_event;
  action::call_target call;
  call.call = x.call;
  call.address = target.entry.address;
  call.method = x.message.method;
  call.target = x.message.target;
  call.host = x.message.host;
  call.headers = platform_.call_headers(x.message.headers, facts);
  call.body = x.message.body;
  call.request_id = x.facts.id;
  call.most_idle = idle_share(*x.service);
  const bool heard = target.residency_heard != time_point{};
  const auto load_age_ms = heard ? to_ms(now_ - target.residency_heard) : -1;
  log("dispatch",
      {{"request", x.facts.id},
       {"target", x.target},
       {"software", x.software},
       {"resumes", x.facts.resumes},
       {"last_event", facts.last_event},
       {"distance", std::string(to_string(distance_to(target)))},
       {"adapter", x.facts.adapter.str()},
       {"version", static_cast<std::int64_t>(version)},
       {"waited_ms", to_ms(now_ - x.started)},
       {"load", target.work(now_).running},
       {"reading_ms",
        static_cast<std::int64_t>(x.tokens_ahead *
                                  target.pace.us_per_token(kFirstPace) / 1000)},
       {"load_age_ms", load_age_ms},
       {"left_ms", to_ms(facts.remaining)},
       {"workspace", facts.workspace},
       {"key_age_ms", x.owner == nullptr ? -1 : to_ms(key_age())},
       {"prompt", x.facts.prompt_tokens},
       {"from", static_cast<std::int64_t>(x.message.caller_address)},
       {"content", to_hex(x.fingerprint.content)},
       {"objective_ms", to_ms(x.way->objective)}});
  do_act(std::move(call));
}

std::size_t gateway_view::idle_share(const service_profile& service) const {
  if (service.max_connections == 0) return 0;
  const auto members = std::max<std::size_t>(1, staying_.size());
  const auto share = service.max_connections / kIdlePart / members;
  return std::clamp<std::size_t>(share, 1, kMostIdleShare);
}

void gateway_core::impl::place_waiting() {
  const auto pause = roster_.is_large() ? kLargePlacePause : kPlacePause;
  if (now_ - placed_at_ < pause) return;
  placed_at_ = now_;
  waiting_dirty_ = false;
  std::erase_if(copies_wanted_,
                [&](const auto& pair) { return now_ > pair.second; });
  std::vector<exchange*> waiting;
  for (auto& [caller, x] : exchanges_) {
    const bool is_routed = x.way != nullptr;
    if (is_routed && x.now == exchange::phase::waiting) waiting.push_back(&x);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const exchange* a, const exchange* b) {
              return std::pair(a->rank(), a->started) <
                     std::pair(b->rank(), b->started);
            });
  for (auto* x : waiting) place(*x);
}

}  // namespace seamglade::gateway
