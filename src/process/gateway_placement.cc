// seamglade - the direct path: which target a request runs on, and when
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <tuple>

#include "process/gateway_impl.h"
#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

/** In requests: what a target in another failure domain is worse ... */
constexpr double kFarPenalty = 1.5;
/** ... and in another region: as much more as engine_choice.cc counts for it.
 */
constexpr double kOtherRegionPenalty = 2.7;
/** In requests: what a cold target is worse, which is slow. */
constexpr double kColdPenalty = 6;
/** A copy more is wanted where the best holder runs so many requests ... */
constexpr double kCopyLeast = 14;
/** ... or so large a part of its slots ... */
constexpr double kCopyFullness = 0.6;
/** ... while it is so far above the mean of all ... */
constexpr double kCopyAbove = 1.3;
constexpr double kCopyBeyond = 3;
/** ... or reads so large a part of the objective before the request. */
constexpr double kCopyBehind = 0.8;
/** The copy goes where at most this part of the holder's requests run. */
constexpr double kCopyIdler = 0.7;
/** ... and where so many of its requests are on the adapter itself. */
constexpr std::uint32_t kCopyOwnWork = 2;
/** Of the targets without it, the first in rendezvous order may load it. */
constexpr std::size_t kHomes = 4;
/** Targets from there that may have it on its way or in memory. */
constexpr std::size_t kLookedAt = 12;
/** How long the wish for a copy stands. */
constexpr duration kCopyWanted = 1s;
/** Word of how busy a target is is good for this long. */
constexpr duration kFreshWord = 150ms;
/** A request waits for such word this long at most. */
constexpr duration kAskWait = 15ms;

}  // namespace

void gateway_core::impl::place(exchange& x) {
  if (refuse_quarantined(x) || refuse_late(x)) return;
  if (takes_up(x) && !x.origin) return hand_on_unknown(x);
  const auto& answer_until = x.admission.answer_until;
  if (answer_until && now_ < *answer_until) return;
  if (awaits_grant(x)) return;
  const auto targets = targets_for(x);
  if (targets.empty()) {
    if (refuse_unservable(x) || wait_for_rest(x)) return;
    wait_for(x, nullptr, "no_target");
    return;
  }
  if (!is_any_in_reach(targets) && !tries_way(x)) {
    if (x.relayed) return refuse_relayed(x, "targets_out_of_reach");
    if (relay(x)) return;
  }
  if (x.service->engine && !x.facts.adapter.model.empty()) {
    place_on_engine(x, targets);
    return;
  }
  if (x.service->engine || !options_.admission) {
    place_on_least_busy(x, targets);
  } else {
    place_on_plain(x, targets);
  }
}

bool gateway_core::impl::tries_way(exchange& x) {
  const bool may_fail =
      x.way->repeatable && x.way->attempts > 1 && x.runs == 0 && !x.relayed;
  if (may_fail && reach_.take_trial(now_)) x.is_way_trial = true;
  return x.is_way_trial && x.runs == 0;
}

void gateway_core::impl::place_on_least_busy(
    exchange& x, const std::vector<target_state*>& targets) {
  auto* target = least_busy(candidates(targets, x), x);
  if (target == nullptr) target = least_busy(targets, x);
  if (target != nullptr) return dispatch(x, *target);
  if (!wait_for_grant(x, targets)) wait_for(x, nullptr, "all_tried");
}

target_state* gateway_core::impl::least_busy(
    const std::vector<target_state*>& targets, const exchange& x) const {
  if (targets.empty()) return nullptr;
  target_state* best = nullptr;
  double least = 0;
  for (auto* target : targets) {
    if (x.tried.contains(target->entry.id) || is_spent(*target)) continue;
    double load = target->work(now_).running;
    load += by_distance(distance_to(*target), kFarPenalty, kOtherRegionPenalty);
    if (is_cold(*target)) load += kColdPenalty;
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
    if (!has_reachable_holder(target->hash)) continue;
    if (keepers_.contains(target->entry.id)) continue;
    const auto holder = claims_[target->hash].holder;
    doubts_.asked(now_, holder, doubt_table::kHolderPatience);
    do_act(action::send_datagram{
        holder, interest_of(*target, interest_in(*target), true)});
    asked = true;
  }
  if (asked) x.asked_until = now_ + kAskWait;
  return asked;
}

engine_option gateway_core::impl::option_of(const exchange& x,
                                            const target_state& target) const {
  using residence = engine_option::residence;
  engine_option out;
  const auto& name = x.facts.adapter;
  std::uint32_t in_use = 0;
  if (target.is_residency_fresh(now_)) {
    for (const auto& place : target.residency.places) {
      if (!place.ready || place.running > 0) ++in_use;
      if (!place.ready) ++out.loads;
    }
    if (const auto load = target.loading.find(hash_of(name));
        load != target.loading.end()) {
      out.adapter = residence::loading;
      out.loading_for = now_ - load->second;
    }
  }
  if (target.holds(now_, name, version_of(name))) {
    out.adapter = residence::ready;
  } else if (out.adapter != residence::loading &&
             target.held_lately.contains(hash_of(name))) {
    out.adapter = residence::recent;
  }
  const auto& engine = *x.service->engine;
  out.has_room = in_use < engine.adapter_slots;
  out.has_holder = has_reachable_holder(target.hash);
  out.distance = distance_to(target);
  out.is_home = target.entry.id == x.home;
  out.is_cold = is_cold(target);
  out.grant_wait = grant_wait(target);
  out.grant_gap = grant_gap(target);
  out.work = target.work(now_);
  out.read_for = now_ - target.reading_known;
  out.slots = std::max(1U, engine.slots);
  const auto habits = habits_.find(x.service->name);
  const auto usual = habits == habits_.end()
                         ? kFirstPace
                         : habits->second.pace.us_per_token(kFirstPace);
  out.us_per_token = target.pace.us_per_token(usual);
  return out;
}

choice_facts gateway_core::impl::facts_of(const exchange& x) const {
  choice_facts out;
  out.prompt_tokens = x.facts.prompt_tokens;
  out.is_urgent = x.rank() == 0;
  out.load_time = load_time();
  const auto habits = habits_.find(x.service->name);
  if (habits != habits_.end()) {
    out.usual_prompt = static_cast<std::uint32_t>(habits->second.prompt_tokens);
  }
  return out;
}

std::vector<gateway_core::impl::valued_target> gateway_core::impl::value(
    const exchange& x, const std::vector<target_state*>& targets) const {
  std::vector<valued_target> out;
  const auto facts = facts_of(x);
  for (auto* target : targets) {
    if (x.tried.contains(target->entry.id)) continue;
    const auto option = option_of(x, *target);
    const auto cost = cost_of(option, facts);
    if (cost) out.push_back({target, option, *cost});
  }
  return out;
}

std::vector<target_state*> gateway_core::impl::in_order_of(
    const adapter_name& name, const std::vector<target_state*>& targets,
    std::size_t most) {
  struct ranked {
    std::uint64_t weight;
    target_state* target;
  };
  std::vector<ranked> order;
  const auto adapter = static_cast<std::uint64_t>(hash_of(name));
  for (auto* target : targets) {
    order.push_back({mix(adapter ^ target->hash), target});
  }
  const auto count = std::min(order.size(), most);
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
      order.end(),
      [](const ranked& a, const ranked& b) { return a.weight > b.weight; });
  std::vector<target_state*> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back(order[i].target);
  return out;
}

std::vector<target_state*> gateway_core::impl::first_homes(
    const exchange& x, const std::vector<target_state*>& targets) const {
  return in_order_of(x.facts.adapter, targets, kHomes);
}

std::vector<gateway_core::impl::valued_target> gateway_core::impl::homes(
    const exchange& x, const std::vector<target_state*>& targets) const {
  const auto version = version_of(x.facts.adapter);
  std::vector<target_state*> lacking;
  for (auto* target : targets) {
    if (!target->holds(now_, x.facts.adapter, version)) {
      lacking.push_back(target);
    }
  }
  auto order = in_order_of(x.facts.adapter, lacking, kLookedAt);
  // All regions agree on the first place. A copy serves the one that asks: a
  // step down the order counts more than any distance.
  if (lacking.size() < targets.size()) {
    std::stable_partition(
        order.begin(), order.end(), [this](const target_state* target) {
          return distance_to(*target) != proximity::other_region;
        });
  }
  auto out = homes_among(x, order, false);
  // Where nobody else could load it, a doubtful holder may yet.
  return out.empty() ? homes_among(x, order, true) : out;
}

std::vector<gateway_core::impl::valued_target> gateway_core::impl::homes_among(
    const exchange& x, const std::vector<target_state*>& order,
    bool with_doubtful) const {
  using residence = engine_option::residence;
  const auto facts = facts_of(x);
  std::vector<valued_target> out;
  std::size_t place = 0;
  for (auto* target : order) {
    const bool has_holder = has_live_holder(target->hash);
    auto option = option_of(x, *target);
    if (with_doubtful) option.has_holder = has_holder;
    option.order = place;
    // The next takes the place of one whose holder may not answer.
    if (option.has_holder || !has_holder) ++place;
    if (x.tried.contains(target->entry.id)) continue;
    const bool is_absent = option.adapter == residence::absent;
    if (is_absent && option.order >= kHomes) continue;
    const auto cost = cost_of(option, facts);
    if (cost) out.push_back({target, option, *cost});
  }
  return out;
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
  const auto looked_at = candidates(without_spent(holding), x);
  // An adapter that nobody is known to hold may be there or on its way: what
  // the store tells of targets is seconds old in a large fleet, and it would be
  // loaded a second time.
  if (asks_for_loads(x,
                     holding.empty() ? first_homes(x, targets) : looked_at)) {
    return;
  }
  auto ready = value(x, looked_at);
  if (ready.empty()) ready = value(x, holding);
  const auto elsewhere = homes(x, targets);
  const auto cheaper = [](const valued_target& a, const valued_target& b) {
    return std::pair(a.cost, a.option.distance) <
           std::pair(b.cost, b.option.distance);
  };
  const auto best = std::min_element(ready.begin(), ready.end(), cheaper);
  const auto home =
      std::min_element(elsewhere.begin(), elsewhere.end(), cheaper);
  const bool has_home = home != elsewhere.end();
  if (best != ready.end() && (!has_home || best->cost <= home->cost)) {
    if (best->option.work.running < best->option.slots) {
      if (wait_for_grant(x, {best->target})) return;
      want_copy(x, *best, elsewhere);
      dispatch(x, *best->target);
      return;
    }
    // A copy is asked for only where the adapter itself keeps it busy.
    want_copy(x, *best, elsewhere);
    wait_for(x, best->target, "slots");
    return;
  }
  wait_for(x, has_home ? home->target : nullptr, "adapter");
}

double gateway_core::impl::mean_running(const exchange& x) {
  const auto targets = targets_for(x);
  std::uint32_t total = 0;
  for (const auto* target : targets) total += target->work(now_).running;
  return static_cast<double>(total) /
         static_cast<double>(std::max<std::size_t>(1, targets.size()));
}

void gateway_core::impl::want_copy(const exchange& x, const valued_target& best,
                                   const std::vector<valued_target>& homes) {
  // A target that is busy with others is no reason to load this one again.
  if (best.target->running_on(x.facts.adapter) < kCopyOwnWork) return;
  const auto facts = facts_of(x);
  const auto running = static_cast<double>(best.option.work.running);
  const auto least = std::min(kCopyLeast, kCopyFullness * best.option.slots);
  const bool is_full = running >= least;
  const bool is_behind =
      reading_ahead(best.option, facts) > kCopyBehind * x.way->objective;
  if (!is_full && !is_behind) return;
  if (!is_behind && running < kCopyAbove * mean_running(x) + kCopyBeyond) {
    return;
  }
  const valued_target* home = nullptr;
  for (const auto& other : homes) {
    const bool idle = other.option.has_room &&
                      other.option.work.running < running * kCopyIdler;
    if (idle && (home == nullptr || other.cost < home->cost)) home = &other;
  }
  if (home == nullptr) return;
  const auto& id = home->target->entry.id;
  copies_wanted_[{id, x.facts.adapter}] = now_ + kCopyWanted;
  interest_dirty_.insert(id);
}

}  // namespace seamglade::gateway
