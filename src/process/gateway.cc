// seamglade - the decisions of the direct path: one event at a time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** The decisions are looked at this often at least. */
constexpr duration kTick = 50ms;
/** Looks for the sake of one load or report are this far apart at least. */
constexpr duration kLeastPause = 5ms;
/** Targets that are long gone are dropped this often. */
constexpr duration kExpiryPeriod = 1s;
/** A pause of the process longer than this makes what it believes doubtful. */
constexpr duration kSuspended = 700ms;
/** After such a pause, what others say is heard before orders are given. */
constexpr duration kHearFirst = 700ms;
/** A new process waits this long for a peer's copy of the store. */
constexpr duration kAwaitCopy = 120ms;

}  // namespace

gateway_core::impl::impl(gateway_options options, const dialect& platform)
    : gateway_view(std::move(options), platform) {}

std::vector<any_action> gateway_core::impl::handle(time_point now,
                                                   any_event event) {
  if (is_started_ && now - now_ > kSuspended) {
    log("process_resumed",
        {{"after_ms", (now - now_) / std::chrono::milliseconds(1)}}, true);
    orders_suspended_until_ = now + kHearFirst;
    resumed_ = now;
    ends_.reset();
    // Others have taken them over meanwhile.
    now_ = now;
    close_accounts();
    watch_.reset();
    doubts_ = {};
    reach_.reset();
    close_grants();
  }
  now_ = now;
  if (!is_started_) start();
  refresh_staying();
  std::visit(
      [this](auto&& e) {
        using type = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<type, event::tick>) {
          tick();
        } else {
          on(std::forward<decltype(e)>(e));
        }
      },
      std::move(event));
  stop_refused_runs();
  if (config_ && has_unrouted_ && !awaits_keys()) route_unrouted();
  if (waiting_dirty_) place_waiting();
  tell_blame();
  tell_words();
  send_loads();
  send_interests();
  tick_keepers();
  send_residencies();
  return std::exchange(actions_, {});
}

void gateway_core::impl::start() {
  is_started_ = true;
  started_ = now_;
  next_beat_ = now_;
  next_read_ = now_;
  operator_watch_.next = now_;
  const bool has_peers =
      std::any_of(options_.seeds.begin(), options_.seeds.end(),
                  [&](member_address s) { return s != options_.self; });
  // A peer's copy costs the store nothing.
  range_not_before_ = has_peers ? now_ + kAwaitCopy : now_;
  next_claim_check_ = now_;
  close_accounts();
  close_grants();
  log("started",
      {{"id", options_.id},
       {"seeds", static_cast<std::int64_t>(options_.seeds.size())}},
      true);
}

void gateway_core::impl::tick() {
  check_probes();
  if (now_ >= next_beat_) send_heartbeats();
  announce_claims();
  tick_store();
  settle_contradictions();
  if (now_ >= next_claim_check_) tick_claims();
  tick_workspaces();
  tick_tracing();
  watch_domains();
  watch_reach();
  check_lives();
  tick_grants();
  expire_exchanges();
  clear_proven_parts();
  note_new_verdicts();
  ledger_.expire(now_);
  if (now_ >= next_expiry_) {
    next_expiry_ = now_ + kExpiryPeriod;
    targets_.expire(now_);
    ends_.expire(now_);
    reach_.expire(now_);
    expire_origins();
    quarantine_.expire(now_);
  }
  waiting_dirty_ = true;
}

time_point gateway_core::impl::next_wakeup() const {
  auto next = now_ + kTick;
  if (const auto due = lives_.next_due()) next = std::min(next, *due);
  for (const auto& [caller, x] : exchanges_) {
    if (x.now == exchange::phase::metered && x.way != nullptr) {
      next = std::min(next, std::max(x.quota.answer_until, now_ + kLeastPause));
    }
    if (x.now == exchange::phase::tracing) {
      const auto due = x.tracing.again_at.value_or(x.tracing.until);
      next = std::min(next, std::max(due, now_ + 1ms));
    }
    if (x.now != exchange::phase::waiting) continue;
    if (waiting_dirty_) next = std::min(next, now_ + kLeastPause);
    const bool asks = x.asked_until.has_value();
    if (x.admission.answer_until) {
      next = std::min(next, std::max(*x.admission.answer_until, now_ + 1ms));
    }
    if (x.grant.answer_until) {
      next = std::min(next, std::max(*x.grant.answer_until, now_ + 1ms));
    }
    if (x.grant.again_at > now_) next = std::min(next, x.grant.again_at);
    if (asks && *x.asked_until > now_) next = std::min(next, *x.asked_until);
  }
  if (stop_.has_begun()) {
    const auto last = stop_.times().answer_by - kAnswerMargin;
    if (last > now_) next = std::min(next, last);
  }
  if (!may_give_orders()) return next;
  for (const auto& [id, keeper] : keepers_) {
    if (resting_.contains(id)) continue;
    next = std::min(next, std::max(keeper->next_wakeup(), now_ + kLeastPause));
  }
  return next;
}

void gateway_core::impl::log(std::string_view event,
                             std::vector<log_field> fields, bool important) {
  do_act(action::log_line{event, std::move(fields), important});
}

bool gateway_view::is_ready() const {
  return !stop_.has_begun() && config_ != nullptr && targets_.size() > 0;
}

gateway_status gateway_core::impl::status(time_point now) const {
  auto out = counts_;
  out.ready = is_ready();
  out.draining = stop_.has_begun();
  out.configuration = config_ ? config_->version : 0;
  out.store_revision = mirror_.revision();
  out.store_epoch = mirror_.epoch();
  out.members_alive = roster_.alive(now).size();
  out.targets = targets_.size();
  out.held = keepers_.size();
  for (const auto& [caller, x] : exchanges_) {
    ++(x.now == exchange::phase::calling ? out.calling : out.waiting);
  }
  out.suspect_domains = watch_.suspects();
  out.is_cut_off = reach_.is_cut_off();
  out.out_of_reach = reach_.out_of_reach();
  out.key_age = key_age();
  out.accounts = accounts_.size();
  out.evacuated_domains = domains_.evacuated();
  out.quarantined = quarantine_.refused(now);
  out.blamed = quarantine_.size();
  out.origins = origins_.size();
  out.mixed_services = history_.mixed_services();
  for (const auto* target : targets_.listed()) {
    const auto life = target->entry.started_ms;
    out.said_leaving += target->own_word.is_leaving(life) ? 1 : 0;
    out.at_rest += target->own_word.is_at_rest(now, life) ? 1 : 0;
    out.limited += target->limit.rate(life) ? 1 : 0;
  }
  for (const auto& [id, keeper] : keepers_) {
    out.loads += keeper->loads();
    out.unloads += keeper->unloads();
  }
  return out;
}

gateway_core::gateway_core(gateway_options options, const dialect& platform)
    : impl_(std::make_unique<impl>(std::move(options), platform)) {}
gateway_core::~gateway_core() = default;

std::vector<any_action> gateway_core::handle(time_point now, any_event event) {
  return impl_->handle(now, std::move(event));
}

time_point gateway_core::next_wakeup() const { return impl_->next_wakeup(); }

gateway_status gateway_core::status(time_point now) const {
  return impl_->status(now);
}

proximity gateway_core::distance_to(member_address member) const {
  return impl_->distance_to(member);
}

store_changes gateway_core::changes_after(copy_extent known) const {
  return impl_->changes_after(known);
}

}  // namespace seamglade::gateway
