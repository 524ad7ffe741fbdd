// seamglade - the direct path: requests to targets that bear few
//
// A cold target bears few requests a second, and one in need names a limit. The
// bound on what it gets holds for all instances together. So each request to
// one needs a grant of the target's grantor, the first in a rendezvous order
// among the living. Without one nothing is sent there, whatever is lost by it:
// the request goes elsewhere or waits. Where both bind, a grant needs both.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/status_codes.h"

namespace seamglade::gateway {
namespace {

/**
 * A grantor that has not answered in this time is done without; a grant that
 * comes later is lost, so that none is used in another second than it was for.
 */
constexpr duration kGrantorPatience = 25ms;
/** ... and its target is passed over for so long. */
constexpr duration kUnansweredPause = 250ms;
/** Targets are taken over and given up so far apart. */
constexpr duration kLedgerPeriod = 250ms;
/** Others are heard before targets are taken over, as with accounts. */
constexpr duration kHearMembers = 400ms;
/**
 * How long the views of two instances may differ of who lives. Where all hear
 * all: a heartbeat's period (0.25 s), once more for word that came through
 * others, and the looks at both ends.
 */
constexpr duration kSettling = 1s;
/**
 * In a large fleet: from the first to miss a dead member until all do, and as
 * much again for a cut, in which many are probed.
 */
constexpr duration kLargeSettling = 3s;

}  // namespace

bool gateway_view::is_cold(const target_state& target) const {
  const auto& domain = target.entry.failure_domain;
  if (!target.is_cold(now_) && !domains_.is_returning(now_, domain)) {
    return false;
  }
  const auto* service = config_->find_service(target.entry.service);
  return service != nullptr && service->cold_rate > 0;
}

bool gateway_view::needs_grant(const target_state& target) const {
  return is_cold(target) || limit_of(target).has_value();
}

bool gateway_view::is_spent(const target_state& target) const {
  if (!needs_grant(target)) return false;
  if (now_ < target.grants_refused_until) return true;
  // One question at a time: where little is left, each refused one is told
  // another time, and several of one instance would take others' turns.
  return std::any_of(
      grant_asks_.begin(), grant_asks_.end(), [&](const auto& pair) {
        return pair.second.target == target.hash && now_ < pair.second.until;
      });
}

std::vector<target_state*> gateway_view::without_spent(
    const std::vector<target_state*>& targets) const {
  auto out = targets;
  std::erase_if(
      out, [this](const target_state* target) { return is_spent(*target); });
  return out.empty() ? targets : out;
}

duration gateway_view::grant_wait(const target_state& target) const {
  if (!needs_grant(target)) return {};
  return std::max(duration{}, target.grants_refused_until - now_);
}

duration gateway_view::grant_gap(const target_state& target) const {
  const auto limit = limit_of(target);
  return limit ? grant_gap_of(*limit) : duration{};
}

bool gateway_core::impl::awaits_grant(exchange& x) {
  if (!x.grant.answer_until) return false;
  if (now_ < *x.grant.answer_until) return true;
  ++counts_.grant_unanswered;
  auto* target = targets_.find(x.grant.target);
  if (target == nullptr) {
    x.grant.answer_until.reset();
    release_place(x);
    return false;
  }
  log("grant_unanswered",
      {{"request", x.facts.id},
       {"target", target->entry.id},
       {"grantor", static_cast<std::int64_t>(x.grant.who)}});
  pass_over(x, *target, kUnansweredPause);
  return false;
}

void gateway_core::impl::ask_grantor(exchange& x, target_state& target) {
  x.now = exchange::phase::waiting;
  x.grant.target = target.hash;
  x.grant.request = next_grant_request_++;
  const grant_request request{x.grant.request, target.hash, is_cold(target),
                              limit_row_of(target)};
  // One that is alone in leaving may be asked by nobody.
  x.grant.who = grantor_of(target.hash, staying_).value_or(options_.self);
  if (x.grant.who == options_.self) {
    take_grant(x, target, answer_grant(request));
    return;
  }
  x.grant.answer_until = now_ + kGrantorPatience;
  grant_asks_[request.request] = {x.caller, target.hash, *x.grant.answer_until};
  do_act(action::send_datagram{x.grant.who, request});
}

void gateway_core::impl::pass_over(exchange& x, target_state& target,
                                   duration span) {
  x.grant.answer_until.reset();
  target.grants_refused_until =
      std::max(target.grants_refused_until, now_ + span);
  release_place(x);
}

void gateway_core::impl::take_grant(exchange& x, target_state& target,
                                    const grant_answer& answer) {
  log("grant", {{"request", x.facts.id},
                {"target", target.entry.id},
                {"granted", static_cast<std::int64_t>(answer.is_granted)},
                {"entry_age_ms", to_ms(now_ - target.entry_heard)},
                {"left_ms", to_ms(target.cold_until - now_)},
                {"limit_milli", to_milli(limit_of(target).value_or(0))},
                {"spent_for_ms", to_ms(answer.spent_for)}});
  if (!answer.is_granted) {
    pass_over(x, target, std::max<duration>(answer.spent_for, 1ms));
    place(x);
    return;
  }
  x.grant.answer_until.reset();
  x.grant.granted = target.hash;
  dispatch(x, target);
}

bool gateway_core::impl::use_grant(exchange& x, const target_state& target) {
  return std::exchange(x.grant.granted, 0) == target.hash;
}

bool gateway_core::impl::wait_for_grant(
    exchange& x, const std::vector<target_state*>& targets) {
  target_state* next = nullptr;
  for (auto* target : targets) {
    const bool is_out = x.tried.contains(target->entry.id) ||
                        x.admission.full.contains(target->hash);
    if (is_out || !is_spent(*target)) continue;
    if (next == nullptr ||
        target->grants_refused_until < next->grants_refused_until) {
      next = target;
    }
  }
  if (next == nullptr) return false;
  const auto at = std::max(next->grants_refused_until, now_ + 1ms);
  if (at >= x.refuse_at && x.runs == 0 && !x.head_sent) {
    // All that are refused until then would come back for the same grant.
    const auto gap = grant_gap(*next);
    const auto later = gap > duration{} ? return_spread(x, gap) : duration{};
    refuse(x, kUnavailable, at - now_ + later, "no_grant_in_time");
    return true;
  }
  x.grant.again_at = at;
  // A stream that goes on, or an adapter that is there, is to wait at a target.
  const bool has_home = x.head_sent || !x.facts.adapter.model.empty();
  wait_for(x, has_home ? next : nullptr, "grant");
  return true;
}

duration gateway_view::come_back(const exchange& x, duration usual) const {
  return std::max(usual, x.grant.again_at - now_);
}

grant_answer gateway_core::impl::answer_grant(const grant_request& request) {
  // Who may be cut off knows too little of what others give.
  if (was_isolated_ || stop_.has_begun()) close_grants();
  metered_target which{request.target, 0, request.is_cold};
  if (auto* target = targets_.find(request.target)) {
    if (request.limit.rate > 0) take_limit(*target, request.limit);
    which.limit = limit_of(*target);
  }
  const auto answer = grants_.take(now_, request.request, which);
  ++(answer.is_granted ? counts_.grants_given : counts_.grants_refused);
  return answer;
}

void gateway_core::impl::close_grants() {
  grants_.close();
  next_grant_update_ = now_ + kHearMembers;
}

void gateway_core::impl::tick_grants() {
  std::erase_if(grant_asks_,
                [&](const auto& pair) { return now_ >= pair.second.until; });
  if (!config_) return;
  if (was_isolated_ || stop_.has_begun()) return close_grants();
  if (now_ < next_grant_update_) return;
  next_grant_update_ = now_ + kLedgerPeriod;
  std::vector<metered_target> candidates;
  for (const auto* target : targets_.staying(now_)) {
    const auto* service = config_->find_service(target->entry.service);
    const auto cold_rate = service == nullptr ? 0 : service->cold_rate;
    const auto limit = limit_of(*target);
    if (cold_rate <= 0 && !limit) continue;
    candidates.push_back({target->hash, cold_rate, is_cold(*target), limit});
  }
  grants_.update(now_, view_of_fleet(), candidates,
                 roster_.is_large() ? kLargeSettling : kSettling);
}

void gateway_core::impl::take(member_address from,
                              const grant_request& message) {
  do_act(action::send_datagram{from, answer_grant(message)});
}

void gateway_core::impl::take(member_address, const grant_answer& message) {
  const auto ask = grant_asks_.extract(message.request);
  auto* target = targets_.find(message.target);
  if (ask.empty() || target == nullptr) return;
  const auto found = exchanges_.find(ask.mapped().caller);
  auto* x = found == exchanges_.end() ? nullptr : &found->second;
  // A grant that comes late might be used in a second that has its own.
  const bool is_awaited = x != nullptr && x->grant.answer_until &&
                          x->grant.request == message.request &&
                          now_ < *x->grant.answer_until;
  waiting_dirty_ = true;
  if (!is_awaited) return;
  if (may_be_sent_to(*x, *target)) return take_grant(*x, *target, message);
  x->grant.answer_until.reset();
  release_place(*x);
  place(*x);
}

}  // namespace seamglade::gateway
