// seamglade - the owner of one target: orders, reports and handover
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/target_owner.h"

namespace seamglade::detail {
namespace {

/** Longest wait for the answer to a report or a claim. */
constexpr duration kOrderTimeout = 1s;
/** Interval between reports of targets that take no claims. */
constexpr duration kPollInterval = 1s;
/** A report may describe the target as it was this much earlier. */
constexpr duration kReportLag = 5s;
/** Wait after the target said that an adapter is in use. */
constexpr duration kBusyWait = 1s;

}  // namespace

void target_owner::configure() {
  settings_path_ =
      entry_.base.empty() ? entry_.service : entry_.service + "/" + entry_.base;
  const auto& s = settings();
  const bool fenced = s.managed && s.checks_orders && !s.plain;
  on_change(
      ownership_.configure(fenced ? owner_mode::fenced : owner_mode::listed,
                           {s.lease, s.clock_margin, s.list_wait}));
}

void target_owner::update(const target_entry& entry, bool service_changed) {
  const bool left = entry_.state == member_state::live &&
                    entry.state == member_state::leaving;
  entry_ = entry;
  if (service_changed) {
    // The key's target may have been another one until now.
    if (const auto wall = shared_.wall()) keys_.complete_from(*wall);
  }
  configure();
  if (left && shared_.options.switches.refuse_leaving) {
    refuse_all(queue_.take_all(), outcome_kind::not_run,
               refusal_reason::target_leaving, 1s);
  }
}

void target_owner::set_first(bool first, bool list_changed) {
  on_change(ownership_.set_first(first, list_changed));
}

bool target_owner::may_order() const {
  return ownership_.may_dispatch() && settings().managed && !settings().plain;
}

bool target_owner::may_evict(const adapter_ref& adapter,
                             const adapter_slot& slot) const {
  if (slot.state != slot_state::loaded || slot.unsure || slot.scripted) {
    return false;
  }
  if (!slots_.idle(slot) || !may_order()) return false;
  if (shared_.tree->pinned(entry_.service, adapter)) return false;
  if (ownership_.mode() == owner_mode::fenced) return true;
  // Nothing keeps another owner's late request from a target that checks no
  // orders: only a long quiet makes it unlikely.
  return slot.last_used + settings().request_limit <= shared_.now &&
         ownership_.held_since() + settings().request_limit <= shared_.now;
}

void target_owner::send_order(target_order what, duration timeout) {
  const auto id = shared_.next_call();
  orders_.emplace(id, pending_order{what.kind, what.adapter, shared_.now,
                                    shared_.now + 2 * timeout});
  shared_.act(action::send_order{id, entry_.id, entry_.address, std::move(what),
                                 timeout});
}

void target_owner::order_load(const adapter_ref& adapter) {
  budget_.take(settings().weight_store);
  slots_.begin_load(adapter);
  ++shared_.counters.loads;
  shared_.log(action::decision_kind::load, entry_.id, adapter.str(),
              "requests_waiting");
  target_order order{order_kind::load, adapter, std::nullopt};
  if (ownership_.mode() == owner_mode::fenced) order.guard = ownership_.guard();
  send_order(std::move(order), settings().load_timeout);
}

void target_owner::order_unload(const adapter_ref& adapter) {
  slots_.begin_unload(adapter);
  ++shared_.counters.unloads;
  shared_.log(action::decision_kind::unload, entry_.id, adapter.str(),
              "slot_needed");
  target_order order{order_kind::unload, adapter, std::nullopt};
  if (ownership_.mode() == owner_mode::fenced) order.guard = ownership_.guard();
  send_order(std::move(order), kOrderTimeout);
}

bool target_owner::on_order_reply(const event::order_reply& reply) {
  const auto it = orders_.find(reply.order);
  if (it == orders_.end()) return false;
  const auto order = it->second;
  orders_.erase(it);
  switch (order.kind) {
    case order_kind::load:
      budget_.ended(settings().weight_store);
      finish_load(*order.adapter, reply.status);
      break;
    case order_kind::unload:
      slots_.finish_unload(*order.adapter, reply.status, kBusyWait);
      break;
    case order_kind::report:
    case order_kind::claim:
      report_pending_ = false;
      if (reply.report) {
        // The slots first, so that a gained target is known when it is.
        apply_report(*reply.report, order.sent);
      }
      on_change(ownership_.on_reply(order.kind, order.sent, reply.status,
                                    reply.report));
      break;
  }
  if (reply.status == order_status::stale &&
      (order.kind == order_kind::load || order.kind == order_kind::unload)) {
    on_change(ownership_.on_reply(order.kind, order.sent, reply.status,
                                  reply.report));
  }
  // on_time() sends what is due next, so that no order waits for a tick.
  on_time();
  return true;
}

void target_owner::finish_load(const adapter_ref& adapter,
                               order_status status) {
  slots_.finish_load(adapter, status);
  if (status == order_status::done) {
    backoffs_.erase(adapter);
    return;
  }
  if (status == order_status::stale) return;
  auto& backoff = backoffs_[adapter];
  backoff.wait = backoff.wait == duration::zero()
                     ? settings().load_backoff
                     : std::min(backoff.wait * 2, settings().load_backoff_max);
  backoff.until = shared_.now + backoff.wait + shared_.jitter(backoff.wait / 4);
  std::vector<job> hopeless;
  for (auto& waiting : queue_.take_group(adapter)) {
    if (waiting.start_by <= backoff.until) {
      hopeless.push_back(std::move(waiting));
    } else {
      queue_.push(std::move(waiting));
    }
  }
  refuse_all(hopeless, outcome_kind::not_run, refusal_reason::load_failed,
             backoff.until - shared_.now);
}

void target_owner::apply_report(const target_report& report, time_point asked) {
  if (incarnation_ != 0 && report.incarnation != incarnation_) slots_.clear();
  incarnation_ = report.incarnation;
  slot_table::report_context context;
  context.asked = asked;
  context.in_use_until = shared_.now + settings().lease +
                         settings().clock_margin + settings().request_limit;
  context.after_quiet =
      ownership_.held() && asked > ownership_.quiet_from() + kReportLag;
  // What no tree declares, or stands on an unmanaged branch, is scripts'.
  context.is_scripted = [this](const adapter_ref& adapter) {
    return !settings().managed ||
           !shared_.tree->declares(entry_.service, adapter);
  };
  slots_.apply(report, context);
}

void target_owner::on_change(owner_change change) {
  if (change == owner_change::none) return;
  if (change == owner_change::lost) {
    refuse_all(queue_.take_all(), outcome_kind::not_run,
               refusal_reason::not_owner, {});
    withdraw_want();
    slots_.erase_idle();
    return;
  }
  const auto& s = settings();
  slots_.inherit_all(shared_.now + s.lease + s.clock_margin + s.request_limit);
  if (received_ && ownership_.handed_over()) {
    slots_.end_inherited_except(
        {received_->in_use.begin(), received_->in_use.end()});
  }
  if (const auto wall = shared_.wall()) {
    const auto until_quiet =
        std::max(duration::zero(), ownership_.quiet_from() - shared_.now);
    keys_.complete_from(*wall +
                        std::chrono::duration_cast<unix_time>(until_quiet));
  }
}

std::optional<handover> target_owner::hand_over() {
  if (!ownership_.held()) return std::nullopt;
  handover message;
  message.target = entry_.id;
  message.last = ownership_.guard();
  for (const auto& [adapter, slot] : slots_.slots()) {
    if (!slots_.idle(slot)) message.in_use.push_back(adapter.str());
  }
  owes_done_ = message.last;
  on_change(ownership_.release());
  return message;
}

void target_owner::on_handover(const handover& from) {
  if (ownership_.held()) return;
  received_ = from;
  ownership_.on_handover(from.last);
}

void target_owner::on_handover_done(const handover_done& from) {
  // A late word about an earlier handover says nothing of this one.
  if (!received_ || received_->last != from.last) return;
  received_->in_use.clear();
  if (ownership_.held() && ownership_.handed_over()) {
    slots_.end_inherited_except({});
  }
}

std::optional<handover_done> target_owner::take_handover_done() {
  if (!owes_done_ || !running_.empty()) return std::nullopt;
  handover_done done{entry_.id, *owes_done_};
  owes_done_.reset();
  return done;
}

void target_owner::send_due_orders() {
  if (auto order = ownership_.due_order()) {
    send_order(std::move(*order),
               std::min(kOrderTimeout, settings().lease / 2));
  }
  const bool polls = ownership_.mode() == owner_mode::listed &&
                     ownership_.held() && !settings().plain;
  if (polls && !report_pending_ && shared_.now >= next_poll_) {
    report_pending_ = true;
    next_poll_ = shared_.now + kPollInterval;
    send_order({order_kind::report, std::nullopt, std::nullopt}, kOrderTimeout);
  }
}

void target_owner::expire_orders() {
  std::vector<call_id> lost;
  for (const auto& [id, order] : orders_) {
    if (order.times_out <= shared_.now) lost.push_back(id);
  }
  for (const auto id : lost) {
    on_order_reply({id, order_status::unreachable, std::nullopt});
  }
}

}  // namespace seamglade::detail
