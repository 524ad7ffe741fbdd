// seamglade - the direct path: places at plain targets
//
// Each plain target has an admitter, the first in its rendezvous order among
// the living, which knows all that the fleet has sent there. An entry instance
// asks it for a place before it sends a request; one that no target would serve
// in time is refused at once. Without an answer the request goes as it would
// without admitters: they are there to serve more, not to be relied on.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <tuple>

#include "process/gateway_impl.h"
#include "process/member_order.h"
#include "process/status_codes.h"
#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

/** An admitter that has not answered in this time is done without. */
constexpr duration kAdmitterPatience = 25ms;
/** Members that take the place of one that is silent, in this order. */
constexpr std::size_t kAdmitters = 4;
/** What an admitter said of a target is good for the choice for so long. */
constexpr duration kFreshWord = 250ms;
/** There and back: to another failure domain, and to another region. */
constexpr duration kRegionWay = 3ms;
constexpr duration kOtherRegionWay = 17ms;
/** Limits of when a request that found no place is asked back. */
constexpr duration kLeastComeBack = 200ms;
constexpr std::int64_t kComeBackSpreadMs = 600;

}  // namespace

void gateway_core::impl::place_on_plain(
    exchange& x, const std::vector<target_state*>& targets) {
  if (x.admission.answer_until) {
    // No word: as if there were no admitter.
    x.admission.answer_until.reset();
    auto* target = targets_.find(x.admission.target);
    const bool may_go =
        std::find(targets.begin(), targets.end(), target) != targets.end();
    if (may_go) return dispatch(x, *target);
  }
  auto* target = next_to_ask(x, targets);
  if (target != nullptr) return ask_admitter(x, *target);
  if (wait_for_grant(x, targets)) return;
  const bool is_rejected = x.admission.full_for || !x.tried.empty();
  if (is_rejected && x.runs == 0) {
    const auto spread =
        static_cast<std::int64_t>(random_() % kComeBackSpreadMs) * 1ms;
    ++counts_.overloaded;
    refuse(
        x, kUnavailable,
        std::max(kLeastComeBack, x.admission.full_for.value_or(0ms)) + spread,
        "targets_full");
    return;
  }
  wait_for(x, nullptr, "all_tried");
}

bool gateway_view::is_word_fresh(const target_state& target) const {
  return now_ - target.admission_heard < kFreshWord;
}

bool gateway_view::may_be_asked(const exchange& x, const target_state& target) {
  return !x.tried.contains(target.entry.id) &&
         !x.admission.full.contains(target.hash);
}

duration gateway_view::least_expected(
    const exchange& x, const std::vector<target_state*>& targets) const {
  std::optional<duration> least;
  for (const auto* target : targets) {
    if (!may_be_asked(x, *target) || !is_word_fresh(*target)) continue;
    least = std::min(least.value_or(target->admission_expected),
                     target->admission_expected);
  }
  return least.value_or(duration{});
}

target_state* gateway_view::next_to_ask(
    const exchange& x, const std::vector<target_state*>& targets) const {
  const auto usual = least_expected(x, targets);
  target_state* best = nullptr;
  std::tuple<duration, proximity, std::uint64_t> least;
  for (auto* target : targets) {
    if (!may_be_asked(x, *target)) continue;
    if (is_spent(*target)) continue;
    const auto distance = distance_to(*target);
    // One in another region is not tried just since nothing is known of it.
    const auto unknown =
        distance == proximity::other_region ? usual : duration{};
    const auto told =
        is_word_fresh(*target) ? target->admission_expected : unknown;
    const auto expected = is_cold(*target) ? told + kColdCost : told;
    // Unknown ones and equals are taken by chance, so that instances spread.
    const std::tuple cost{
        expected + by_distance(distance, kRegionWay, kOtherRegionWay), distance,
        mix(target->hash ^ hash_of(x.facts.id))};
    if (best != nullptr && least <= cost) continue;
    best = target;
    least = cost;
  }
  return best;
}

void gateway_core::impl::ask_admitter(exchange& x, target_state& target) {
  x.now = exchange::phase::waiting;
  x.admission.target = target.entry.id;
  x.admission.request = next_admission_++;
  admissions_[x.admission.request] = x.caller;
  const auto objective =
      x.way->objective > duration{} ? x.way->objective : x.way->timeout;
  const admission_request request{x.admission.request, target.hash,
                                  x.started + objective - now_, x.rank(),
                                  time_left(x)};
  const auto admitter = admitter_of(target);
  x.admission.admitter = admitter;
  if (admitter == options_.self) {
    const auto answer =
        ledger_.ask(now_, options_.self, request, target.entry.slots);
    take_admission(x, target, answer);
    return;
  }
  x.admission.answer_until = now_ + kAdmitterPatience;
  doubts_.asked(now_, admitter, kAdmitterPatience);
  do_act(action::send_datagram{admitter, request});
}

std::vector<member_address> gateway_view::members_near(
    const target_state& target) const {
  if (!roster_.has_several_regions()) return staying_;
  const auto region =
      roster_.region_of_domain(domain_hash(target.entry.failure_domain));
  std::vector<member_address> near;
  std::copy_if(
      staying_.begin(), staying_.end(), std::back_inserter(near),
      [&](member_address who) { return roster_.region_of(who) == region; });
  return near.empty() ? staying_ : near;
}

member_address gateway_view::admitter_of(const target_state& target) const {
  // Requests run near as a rule. With an admitter anywhere, two questions of
  // three went to another region and back: 16 of the 25 ms that it has.
  const auto near = members_near(target);
  const auto first = first_members(target.hash, near, kAdmitters);
  const auto heard =
      std::find_if(first.begin(), first.end(),
                   [&](member_address who) { return !is_passed_over(who); });
  if (heard != first.end()) return *heard;
  return first.empty() ? options_.self : first.front();
}

void gateway_core::impl::take_admission(exchange& x, target_state& target,
                                        const admission_answer& answer) {
  x.admission.answer_until.reset();
  target.admission_expected = answer.expected;
  target.admission_heard = now_;
  if (answer.is_granted) {
    x.admission.is_held = true;
    dispatch(x, target);
    return;
  }
  x.admission.full.insert(target.hash);
  const auto full_for = x.admission.full_for.value_or(answer.full_for);
  x.admission.full_for = std::min(full_for, answer.full_for);
  place(x);
}

void gateway_core::impl::end_admission(exchange& x, bool success) {
  admissions_.erase(x.admission.request);
  if (!std::exchange(x.admission.is_held, false)) return;
  admission_end message{x.admission.request, hash_of(x.admission.target)};
  message.took = now_ - x.called_at;
  const bool is_whole = is_success(x.status);
  if (x.answer.not_run) {
    message.outcome = admission_outcome::rejected;
  } else if (success && is_whole) {
    message.outcome = admission_outcome::served;
  }
  tell_admitter(x, message);
}

void gateway_core::impl::release_place(exchange& x) {
  if (!std::exchange(x.admission.is_held, false)) return;
  tell_admitter(x, {x.admission.request, hash_of(x.admission.target)});
}

void gateway_core::impl::tell_admitter(const exchange& x,
                                       const admission_end& message) {
  if (x.admission.admitter == options_.self) {
    ledger_.end(now_, options_.self, message);
  } else {
    do_act(action::send_datagram{x.admission.admitter, message});
  }
}

void gateway_core::impl::take(member_address from,
                              const admission_request& message) {
  const auto* target = targets_.find(message.target);
  const auto slots = target == nullptr ? 0U : target->entry.slots;
  do_act(action::send_datagram{from, ledger_.ask(now_, from, message, slots)});
}

void gateway_core::impl::take(member_address from,
                              const admission_answer& message) {
  const auto found = admissions_.find(message.request);
  const auto x = found == admissions_.end() ? exchanges_.end()
                                            : exchanges_.find(found->second);
  auto* target = targets_.find(message.target);
  const bool is_awaited = x != exchanges_.end() && target != nullptr &&
                          x->second.admission.answer_until &&
                          x->second.admission.request == message.request &&
                          may_be_sent_to(x->second, *target);
  if (is_awaited) {
    take_admission(x->second, *target, message);
  } else if (message.is_granted) {
    // Too late: the place goes back.
    do_act(action::send_datagram{
        from, admission_end{message.request, message.target}});
  }
}

void gateway_core::impl::take(member_address from,
                              const admission_end& message) {
  ledger_.end(now_, from, message);
}

}  // namespace seamglade::gateway
