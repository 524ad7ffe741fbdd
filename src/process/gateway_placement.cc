// seamglade - the direct path: which target a request runs on, and when
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <tuple>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** In requests: what a target in another failure domain is worse. */
constexpr double kFarPenalty = 1.5;
/** What is told to targets as rank: the most urgent is 0, the default 5. */
constexpr std::uint32_t kLowestRank = 9;
/** A copy more is wanted where the least busy holder's load is beyond this. */
constexpr double kCopyAbove = 1.3;
constexpr double kCopyBeyond = 3;
constexpr double kCopyLeast = 14;
constexpr double kCopyFullness = 0.6;
/** ... and where so many of its requests are on the adapter itself. */
constexpr std::uint32_t kCopyOwnWork = 3;
/** An adapter's second target loads it where the first is busier than this. */
constexpr double kHomeBeyond = 6;
/** In requests: the work of a load under way. */
constexpr double kLoadWork = 2;
/** How long the wish for a copy stands. */
constexpr duration kCopyWanted = 1s;
/** Word of how busy a target is is good for this long. */
constexpr duration kFreshWord = 150ms;
/** A request waits for such word this long at most. */
constexpr duration kAskWait = 15ms;
/** Part of a service's slots beyond which a request waits here. */
constexpr double kFullPart = 1.0;

}  // namespace

void gateway_core::impl::place(exchange& x) {
  const auto targets = targets_.usable(now_, x.service->name);
  if (targets.empty()) {
    wait_for(x, nullptr, "no_target");
    return;
  }
  if (x.service->engine && !x.facts.adapter.model.empty()) {
    place_on_engine(x, targets);
    return;
  }
  auto* target = least_busy(candidates(targets, x), x);
  if (target == nullptr) target = least_busy(targets, x);
  if (target == nullptr) {
    wait_for(x, nullptr, "all_tried");
    return;
  }
  dispatch(x, *target);
}

target_state* gateway_core::impl::least_busy(
    const std::vector<target_state*>& targets, const exchange& x) const {
  if (targets.empty()) return nullptr;
  target_state* best = nullptr;
  double least = 0;
  const auto& mine = options_.failure_domain;
  for (auto* target : targets) {
    if (x.tried.contains(target->entry.id)) continue;
    double load = target->total_running(now_);
    if (target->entry.failure_domain != mine) load += kFarPenalty;
    // Equal ones are told apart by the request, so that instances spread.
    const auto tie = hash_of(x.facts.id + target->entry.id) % 1000;
    load += static_cast<double>(tie) / 2000.0;
    if (best == nullptr || load < least) {
      best = target;
      least = load;
    }
  }
  return best;
}

std::vector<target_state*> gateway_core::impl::candidates(
    const std::vector<target_state*>& targets, const exchange& x) const {
  // What a large fleet's instances know of loads is old: if all took the least
  // busy one, they would take the same. Each request looks at two.
  if (!roster_.is_large() || targets.size() <= 2) return targets;
  const auto first = hash_of(x.facts.id) % targets.size();
  const auto step = 1 + hash_of(x.facts.id + "/") % (targets.size() - 1);
  return {targets[first], targets[(first + step) % targets.size()]};
}

bool gateway_core::impl::asks_for_loads(
    exchange& x, const std::vector<target_state*>& targets) {
  if (!roster_.is_large() || targets.size() < 2) return false;
  if (x.asked_until) {
    const bool answered = std::all_of(
        targets.begin(), targets.end(), [&](const target_state* target) {
          return now_ - target->residency_heard < kFreshWord;
        });
    return !answered && now_ < *x.asked_until;
  }
  bool asked = false;
  for (const auto* target : targets) {
    if (now_ - target->residency_heard < kFreshWord) continue;
    if (!has_live_holder(target->hash)) continue;
    if (keepers_.contains(target->entry.id)) continue;
    const auto holder = claims_[target->hash].holder;
    do_act(action::send_datagram{
        holder, interest_message{target->hash, interest_in(*target)}});
    asked = true;
  }
  if (asked) x.asked_until = now_ + kAskWait;
  return asked;
}

target_state* gateway_core::impl::home_of(
    const std::vector<target_state*>& targets, const exchange& x) const {
  target_state* best = nullptr;
  target_state* next = nullptr;
  std::uint64_t best_weight = 0;
  std::uint64_t next_weight = 0;
  double total = 0;
  for (auto* target : targets) {
    total += work_at(*target);
    if (!has_live_holder(target->hash)) continue;
    // A request that waits goes on waiting where its load is under way.
    if (target->entry.id == x.home) return target;
    const auto weight = hash_of(x.facts.adapter.str() + target->entry.id);
    if (best == nullptr || weight > best_weight) {
      next = best;
      next_weight = best_weight;
      best = target;
      best_weight = weight;
    } else if (next == nullptr || weight > next_weight) {
      next = target;
      next_weight = weight;
    }
  }
  if (best == nullptr || next == nullptr) return best;
  const auto mean = total / static_cast<double>(targets.size());
  const bool too_busy = work_at(*best) > kCopyAbove * mean + kHomeBeyond &&
                        work_at(*next) < mean + 1;
  return too_busy ? next : best;
}

double gateway_core::impl::work_at(const target_state& target) const {
  const auto loading = std::count_if(
      target.residency.places.begin(), target.residency.places.end(),
      [](const adapter_place& place) { return !place.ready; });
  return target.total_running(now_) + kLoadWork * static_cast<double>(loading);
}

void gateway_core::impl::place_on_engine(
    exchange& x, const std::vector<target_state*>& targets) {
  const auto version = version_of(x.facts.adapter);
  std::vector<target_state*> holding;
  for (auto* target : targets) {
    if (target->holds(now_, x.facts.adapter, version)) {
      holding.push_back(target);
    }
  }
  const auto looked_at = candidates(holding, x);
  if (asks_for_loads(x, looked_at)) return;
  auto* target = least_busy(looked_at, x);
  if (target == nullptr) target = least_busy(holding, x);
  if (target != nullptr) {
    want_copy(x, *target, targets, holding);
    const auto slots = std::max(1U, x.service->engine->slots);
    if (target->total_running(now_) < slots * kFullPart) {
      dispatch(x, *target);
      return;
    }
  }
  wait_for(x, home_of(targets, x), "adapter");
}

void gateway_core::impl::want_copy(const exchange& x, const target_state& best,
                                   const std::vector<target_state*>& targets,
                                   const std::vector<target_state*>& holding) {
  std::uint32_t total = 0;
  for (const auto* target : targets) total += target->total_running(now_);
  const auto mean =
      static_cast<double>(total) / static_cast<double>(targets.size());
  const auto load = static_cast<double>(best.total_running(now_));
  const auto slots = static_cast<double>(x.service->engine->slots);
  const auto least = std::min(kCopyLeast, kCopyFullness * slots);
  if (load < std::max(least, kCopyAbove * mean + kCopyBeyond)) return;
  // A target that is busy with others is no reason to load this one again.
  if (best.running_on(x.facts.adapter) < kCopyOwnWork) return;
  const auto idle = roster_.is_large() ? kCopyFullness * slots : mean + 1;
  std::vector<target_state*> others;
  for (auto* target : targets) {
    const bool holds =
        std::find(holding.begin(), holding.end(), target) != holding.end();
    if (!holds && target->total_running(now_) < idle) {
      others.push_back(target);
    }
  }
  auto* home = home_of(others, x);
  if (home == nullptr) return;
  copies_wanted_[{home->entry.id, x.facts.adapter}] = now_ + kCopyWanted;
  interest_dirty_.insert(home->entry.id);
}

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
                 {"target", home_id}});
  }
  if (home != nullptr) interest_dirty_.insert(home_id);
}

void gateway_core::impl::dispatch(exchange& x, target_state& target) {
  if (!x.home.empty()) interest_dirty_.insert(x.home);
  x.home.clear();
  x.asked_until.reset();
  x.now = exchange::phase::calling;
  x.call = next_call_++;
  x.target = target.entry.id;
  x.called_at = now_;
  x.tried.insert(x.target);
  ++x.runs;
  x.status = 0;
  x.headers.clear();
  x.body.clear();
  x.answer = {};
  calls_[x.call] = x.caller;
  ++target.running;
  if (!x.facts.adapter.model.empty()) interest_dirty_.insert(x.target);
  call_facts facts;
  facts.target = x.target;
  facts.remaining = x.until - now_;
  const auto version = version_of(x.facts.adapter);
  if (version > 0) facts.adapter_version = version;
  if (x.service->engine) facts.priority = std::min(kLowestRank, x.way->rank);
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
  const bool heard = target.residency_heard != time_point{};
  const auto load_age_ms = heard ? to_ms(now_ - target.residency_heard) : -1;
  log("dispatch", {{"request", x.facts.id},
                   {"target", x.target},
                   {"adapter", x.facts.adapter.str()},
                   {"version", static_cast<std::int64_t>(version)},
                   {"waited_ms", to_ms(now_ - x.started)},
                   {"load", target.total_running(now_)},
                   {"load_age_ms", load_age_ms},
                   {"left_ms", to_ms(facts.remaining)}});
  do_act(std::move(call));
}

void gateway_core::impl::place_waiting() {
  waiting_dirty_ = false;
  std::erase_if(copies_wanted_,
                [&](const auto& pair) { return now_ > pair.second; });
  std::vector<exchange*> waiting;
  for (auto& [caller, x] : exchanges_) {
    if (x.now == exchange::phase::waiting) waiting.push_back(&x);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const exchange* a, const exchange* b) {
              return std::tie(a->way->rank, a->started) <
                     std::tie(b->way->rank, b->started);
            });
  for (auto* x : waiting) place(*x);
}

}  // namespace seamglade::gateway
