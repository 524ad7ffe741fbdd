// seamglade - the direct path: who gives orders to a target, and which
//
// A target has one holder: the instance that claimed it under the highest
// fence. Nobody claims a target whose holder is alive; of the others, the
// first in rendezvous order does, once the holder has been silent for a lease.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/member_order.h"

namespace seamglade::gateway {
namespace {

constexpr std::string_view kDrainingReason = "draining";
constexpr std::string_view kCutOffReason = "cut_off";
constexpr duration kClaimCheck = 100ms;
/** Added to the lease: clocks and messages of the last holder may lag. */
constexpr duration kLeaseMargin = 400ms;
/**
 * From a claim to its first order, a rival's claim may still be heard: it is
 * told to all living members, in a large fleet twice, 250 ms apart.
 */
constexpr duration kClaimHeard = 600ms;
/** After a time out of touch, what others say is heard before orders. */
constexpr duration kHearFirst = 700ms;
/**
 * A new process hears its peers' claims in this time: with the greetings of
 * all, in a large fleet with those of the first that it meets.
 */
constexpr duration kSettle = 700ms;
/** After a holder's word that it has given its last order. */
constexpr duration kHandoverWait = 100ms;
/** Bits of a fence that tell holders apart; the rest rises. */
constexpr unsigned kAddressBits = 24;
/** Revisions that the store loses at once, at most. */
constexpr std::uint64_t kRevisionsLost = 1ULL << 20;
/** Epochs beyond this do not raise a fence: it has 63 bits. */
constexpr std::uint64_t kMostEpochs = 1ULL << 17;
constexpr std::uint64_t kAddressMask = (1ULL << kAddressBits) - 1;
/** After a refusal, how much further up the next fence is. */
constexpr std::uint64_t kFenceStep = 64;

}  // namespace

bool gateway_view::may_give_orders() const {
  return !stop_.has_begun() && now_ >= orders_suspended_until_ &&
         !was_isolated_ && !reach_.is_cut_off();
}

bool gateway_view::has_live_holder(target_hash target) const {
  const auto found = claims_.find(target);
  if (found == claims_.end() || found->second.holder == 0) return false;
  const auto holder = found->second.holder;
  return holder == options_.self || is_staying(holder);
}

bool gateway_view::precedes_me(member_address member,
                               target_hash target) const {
  return member_weight(target, member) > member_weight(target, options_.self);
}

bool gateway_view::is_my_turn(const target_state& target) const {
  return std::none_of(
      staying_.begin(), staying_.end(), [&](member_address member) {
        return !roster_.is_cut_off(member) && precedes_me(member, target.hash);
      });
}

bool gateway_view::is_handed_over(target_hash target) const {
  if (!options_.fenced || stepped_back_.contains(target)) return false;
  const auto found = claims_.find(target);
  if (found == claims_.end()) return false;
  const auto& known = found->second;
  return known.holder == 0 && known.handed_over &&
         now_ - known.heard > kHandoverWait;
}

duration gateway_view::takeover_wait() const {
  // The first order of the new holder comes some time after its claim.
  const auto wait = options_.lease + kLeaseMargin - kClaimHeard;
  // A holder that is cut off notices within its patience and then stops. In a
  // large fleet the silence is counted from when others failed to reach it, and
  // where fences are checked, a late order of its is refused.
  const bool counted_late = roster_.is_large() && options_.fenced;
  return counted_late ? wait : wait + roster_.patience();
}

std::optional<time_point> gateway_view::quiet_since(target_hash target) const {
  // Where targets check fences, a new process need not wait for a lease that
  // nobody alive claims: whoever held it before can no longer be obeyed.
  auto since = started_;
  if (options_.fenced && !roster_.is_large()) {
    // Every member greets a newcomer with its claims.
    since = std::max(since, roster_.last_met().value_or(since));
    since += kSettle - takeover_wait();
  } else if (options_.fenced) {
    // The first members met tell all the claims they know: to wait from the
    // last one would let each that starts hold up all claims of the fleet.
    since = std::max(since, roster_.first_met().value_or(since));
    since += kSettle - takeover_wait();
  }
  // Of those that were out of reach with it, a large fleet brings back one at a
  // time: their silence until then is this instance's own.
  if (roster_.is_large()) since = std::max(since, back_since_);
  if (const auto found = claims_.find(target); found != claims_.end()) {
    since = std::max(since, found->second.heard);
    const auto silent = roster_.silent_since(now_, found->second.holder);
    if (silent) since = std::max(since, *silent);
  }
  // Whoever fell silent may have claimed the target unheard, and given orders
  // until it noticed that it was out of touch. Where fences are checked, only
  // those would have that come before this one in the target's order: with the
  // silence of any member, half of 78 targets got no holder among 195 members.
  for (const auto& member : roster_.silent(now_)) {
    if (options_.fenced && !precedes_me(member.who, target)) continue;
    since = std::max(since, member.since);
  }
  if (const auto found = stepped_back_.find(target);
      found != stepped_back_.end()) {
    since = std::max(since, found->second);
  }
  return since;
}

std::uint64_t gateway_core::impl::next_fence(target_hash target) {
  const auto [epoch, revision] = mirror_.position();
  // Rises where the store is restored, though its revision falls.
  auto count = std::min(epoch, kMostEpochs) * kRevisionsLost + revision;
  if (const auto found = claims_.find(target); found != claims_.end()) {
    count = std::max(count, (found->second.fence >> kAddressBits) + 1);
  }
  return (count << kAddressBits) | (options_.self & kAddressMask);
}

void gateway_core::impl::note_isolation() {
  const bool isolated = roster_.is_isolated(now_);
  if (isolated != was_isolated_) {
    log(isolated ? "isolated" : "in_contact",
        {{"members", static_cast<std::int64_t>(roster_.size())}}, true);
    // What others did meanwhile is heard before the next order. Where fences
    // are not checked, whoever held a target meanwhile may have given its last
    // order only when it heard of this instance's claim.
    const auto pause =
        options_.fenced ? duration(kHearFirst) : options_.lease + kLeaseMargin;
    if (isolated) {
      isolated_since_ = now_;
    } else {
      orders_suspended_until_ = now_ + pause;
      const bool was_cut_off =
          isolated_since_ && now_ - *isolated_since_ > kHearFirst;
      if (was_cut_off) back_since_ = now_;
    }
  }
  was_isolated_ = isolated;
}

void gateway_core::impl::tick_claims() {
  next_claim_check_ = now_ + kClaimCheck;
  if (!config_) return;
  std::vector<target_id> lost;
  for (const auto& [id, keeper] : keepers_) {
    const auto* target = targets_.find(id);
    if (target == nullptr || target->has_left(now_)) {
      lost.push_back(id);
    }
  }
  for (const auto& id : lost) release(id, "target_left");
  if (stop_.has_begun()) {
    while (!keepers_.empty()) release(keepers_.begin()->first, kDrainingReason);
    return;
  }
  if (reach_.is_cut_off()) {
    release_in_cut();
    return;
  }
  claim_unheld();
}

void gateway_core::impl::release_in_cut() {
  // The next holder may give orders as soon as it hears of the release.
  if (now_ - *reach_.cut_since() < options_.lease + kLeaseMargin) return;
  while (!keepers_.empty()) release(keepers_.begin()->first, kCutOffReason);
}

void gateway_core::impl::claim_unheld() {
  const bool may_order = may_give_orders();
  for (const auto* target : targets_.staying(now_)) {
    const auto* service = config_->find_service(target->entry.service);
    if (service == nullptr || !service->engine) continue;
    const auto found = claims_.find(target->hash);
    const bool held = keepers_.contains(target->entry.id);
    if (held) {
      const bool outdone = found != claims_.end() &&
                           found->second.holder != options_.self &&
                           found->second.holder != 0;
      if (outdone) release(target->entry.id, "outdone");
      continue;
    }
    if (!may_order || has_live_holder(target->hash)) continue;
    if (!is_my_turn(*target)) continue;
    const auto since = quiet_since(target->hash);
    if (now_ - *since < takeover_wait() && !is_handed_over(target->hash)) {
      continue;
    }
    claim(*target);
  }
}

void gateway_core::impl::claim(const target_state& target) {
  const auto& id = target.entry.id;
  const auto* service = config_->find_service(target.entry.service);
  const auto fence = next_fence(target.hash);
  const auto check = options_.fenced ? takeover_check::fence_order
                                     : takeover_check::agreeing_reports;
  keepers_[id] =
      std::make_unique<target_keeper>(id, *service->engine, fence, check);
  orders_from_[id] = now_ + kClaimHeard;
  interest_dirty_.insert(id);
  // Noted last: the log tells how long the target was without a holder.
  log("target_claimed",
      {{"target", id},
       {"fence", static_cast<std::int64_t>(fence)},
       {"quiet_ms", (now_ - *quiet_since(target.hash)) / 1ms}},
      true);
  claims_[target.hash] = {options_.self, fence, now_};
  announce(target.hash);
}

void gateway_core::impl::release(const target_id& target,
                                 std::string_view reason) {
  const auto found = keepers_.find(target);
  if (found == keepers_.end()) return;
  log("target_released",
      {{"target", target},
       {"fence", static_cast<std::int64_t>(found->second->fence())},
       {"reason", std::string(reason)}},
      true);
  const auto hash = hash_of(target);
  auto& known = claims_[hash];
  if (known.holder == options_.self) {
    known = {0, known.fence, now_, reason == kDrainingReason};
  }
  counts_.loads += found->second->loads();
  counts_.unloads += found->second->unloads();
  // `target` may be the key itself: it lives as long as the extracted node.
  const auto node = keepers_.extract(found);
  orders_from_.erase(target);
  resting_.erase(target);
  sent_editions_.erase(target);
  residency_logs_.erase(target);
  announce(hash);
}

void gateway_core::impl::tick_keepers() {
  note_isolation();
  if (!may_give_orders()) return;
  for (auto& [id, keeper] : keepers_) {
    keeper->expire_interest(now_);
    if (is_at_rest(*keeper)) continue;
    run_keeper(*keeper, now_ >= orders_from_[id]);
  }
}

void gateway_core::impl::run_keeper(target_keeper& keeper, bool may_order) {
  const auto step = keeper.next_step(now_, may_order);
  if (step.what == keeper_step::kind::none) return;
  const auto* target = targets_.find(keeper.id());
  if (target == nullptr) return;
  const auto call = next_engine_call_++;
  engine_calls_[call] = {keeper.id(), keeper.fence(), now_,
                         target->entry.started_ms};
  if (step.what == keeper_step::kind::report) {
    do_act(action::read_report{call, target->entry.address, keeper.id()});
    return;
  }
  claims_[target->hash].heard = now_;
  engine_order order;
  order.kind = step.order;
  order.what = step.name;
  order.version = step.version;
  order.holder = options_.id;
  order.fence = keeper.fence();
  log("order",
      {{"target", keeper.id()},
       {"op", step.repeated                           ? "load_again"
              : step.order == engine_order_kind::load ? "load"
                                                      : "unload"},
       {"adapter", step.name.str()},
       {"version", static_cast<std::int64_t>(step.version.value_or(0))},
       {"fence", static_cast<std::int64_t>(order.fence)}});
  if (!step.repeated) keeper.note_order(step.name, call);
  const auto series = step.repeated ? keeper.order_about(step.name) : call;
  do_act(action::send_order{call, target->entry.address, keeper.id(),
                            std::move(order), series});
}

void gateway_core::impl::on(event::order_answer&& e) {
  const auto found = engine_calls_.find(e.call);
  if (found == engine_calls_.end()) return;
  const auto call = found->second;
  engine_calls_.erase(found);
  if (e.status != engine_order_status::unanswered) note_life_of(call.target);
  if (auto* target = targets_.find(call.target)) {
    hear_word(*target, {call.life, e.word, call.asked, "order"});
  }
  const auto keeper = keepers_.find(call.target);
  if (keeper == keepers_.end() || keeper->second->fence() != call.fence) return;
  const bool taken = e.status == engine_order_status::started ||
                     e.status == engine_order_status::done;
  log(taken ? "order_taken" : "order_refused",
      {{"target", call.target},
       {"status", std::string(to_string(e.status))},
       {"connection", connection_of(e.carrier)},
       {"calls_before", e.carrier.calls_before}},
      !taken);
  if (e.status == engine_order_status::fenced) {
    ++counts_.step_backs;
    const auto hash = hash_of(call.target);
    stepped_back_[hash] = now_;
    // The fence that beat this one is not told: go well beyond it.
    claims_[hash].fence += kFenceStep << kAddressBits;
    release(call.target, "fenced");
    return;
  }
  keeper->second->order_answered(now_, e.status);
  // The order that asks for the fence changes nothing, however late.
  const bool may_come_late =
      e.status == engine_order_status::unanswered && keeper->second->is_known();
  if (may_come_late && options_.fenced) renew_fence(*keeper->second);
}

void gateway_core::impl::renew_fence(target_keeper& keeper) {
  const auto hash = hash_of(keeper.id());
  const auto fence = next_fence(hash);
  log("fence_renewed",
      {{"target", keeper.id()}, {"fence", static_cast<std::int64_t>(fence)}},
      true);
  keeper.renew_fence(now_, fence);
  claims_[hash] = {options_.self, fence, now_};
  announce(hash);
}

void gateway_core::impl::on(event::report_answer&& e) {
  const auto found = engine_calls_.find(e.call);
  if (found == engine_calls_.end()) return;
  const auto call = found->second;
  engine_calls_.erase(found);
  if (e.report) note_life_of(call.target);
  if (call.is_witness) hear_witness(call.target, e.report || e.is_answered);
  if (auto* target = targets_.find(call.target)) {
    hear_word(*target, {call.life, e.word, call.asked, "report"});
  }
  const auto keeper = keepers_.find(call.target);
  if (keeper == keepers_.end() || keeper->second->fence() != call.fence) return;
  keeper->second->report_read(now_, call.asked, e.report);
  for (const auto& name : keeper->second->take_dropped()) {
    log("place_dropped", {{"target", call.target}, {"adapter", name.str()}},
        true);
  }
}

}  // namespace seamglade::gateway
