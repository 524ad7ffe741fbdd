// seamglade - who owns a target: claims, leases and stepping back
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/ownership.h"

#include <fmt/format.h>

#include <algorithm>

namespace seamglade::detail {
namespace {

/** Renewals a lease; two may be lost before it lapses. */
constexpr int kRenewalsPerLease = 3;

}  // namespace

ownership::ownership(core& shared, target_id target)
    : shared_(shared),
      target_(std::move(target)),
      holder_name_(fmt::format("{}#{:x}", shared.options.self,
                               shared.options.incarnation)) {}

owner_change ownership::configure(owner_mode mode, const owner_times& times) {
  times_ = times;
  if (mode == mode_) return owner_change::none;
  const bool was_held = held();
  mode_ = mode;
  role_ = owner_role::none;
  claim_next_ = false;
  next_look_ = shared_.now;
  listed_from_ = first_ ? shared_.now + times_.list_wait : kNever;
  return was_held ? owner_change::lost : owner_change::none;
}

owner_change ownership::set_first(bool first, bool list_changed) {
  const bool same = first == first_ && !(acting_ && list_changed);
  if (same) return owner_change::none;
  first_ = first;
  acting_ = false;
  if (mode_ == owner_mode::fenced) {
    // A holder goes on until it hands over: only the target's word counts.
    next_look_ = shared_.now;
    return owner_change::none;
  }
  if (first && held()) return owner_change::none;
  listed_from_ = first ? shared_.now + times_.list_wait : kNever;
  return first ? owner_change::none : release();
}

std::optional<target_order> ownership::due_order() {
  if (mode_ != owner_mode::fenced || order_pending_) return std::nullopt;
  if (shared_.now < next_look_) return std::nullopt;
  if (!held() && (!first_ || shared_.draining)) return std::nullopt;
  last_sent_ = shared_.now;
  order_pending_ = true;
  if (held()) {
    look_again(times_.lease / kRenewalsPerLease);
    fence_.config = std::max(fence_.config, shared_.config_index);
    return target_order{order_kind::claim, std::nullopt, fence_};
  }
  look_again(times_.lease / 2 + shared_.jitter(times_.lease / 2));
  if (!claim_next_) {
    return target_order{order_kind::report, std::nullopt, std::nullopt};
  }
  claim_next_ = false;
  role_ = owner_role::claiming;
  // The configuration is our own: a target that has seen orders under a newer
  // one refuses this claim until this instance has that one too.
  fence_ = {shared_.config_index, highest_.count + 1, holder_name_};
  ++shared_.counters.claims;
  shared_.log(action::decision_kind::claim, target_, {},
              handover_ ? "handed_over" : "lease_lapsed");
  return target_order{order_kind::claim, std::nullopt, fence_};
}

owner_change ownership::on_reply(order_kind kind, time_point sent,
                                 order_status status,
                                 const std::optional<target_report>& report) {
  order_pending_ = false;
  if (mode_ != owner_mode::fenced) return owner_change::none;
  if (status == order_status::stale) return on_stale(report);
  if (status != order_status::done) {
    if (role_ == owner_role::claiming) role_ = owner_role::none;
    look_again(times_.lease / (2 * kRenewalsPerLease));
    return owner_change::none;
  }
  if (kind == order_kind::claim) return on_claimed(sent);
  return report ? on_report(*report) : owner_change::none;
}

owner_change ownership::on_report(const target_report& report) {
  if (held()) return owner_change::none;
  highest_ = report.highest;
  const bool free = report.highest.holder.empty() ||
                    report.holder_age > times_.lease + times_.clock_margin ||
                    (handover_ && *handover_ == report.highest);
  if (!free || !first_) return owner_change::none;
  claim_next_ = true;
  next_look_ = shared_.now;
  return owner_change::none;
}

owner_change ownership::on_claimed(time_point sent) {
  lease_end_ = sent + times_.lease - times_.clock_margin;
  if (held()) return owner_change::none;
  role_ = owner_role::held;
  held_since_ = shared_.now;
  claimed_after_handover_ = handover_.has_value();
  const bool first_claim = highest_.holder.empty();
  quiet_from_ = claimed_after_handover_ || first_claim
                    ? sent
                    : sent + times_.lease + times_.clock_margin;
  handover_.reset();
  return owner_change::gained;
}

owner_change ownership::on_stale(const std::optional<target_report>& report) {
  if (report) highest_ = report->highest;
  if (!shared_.options.switches.fence_orders) {
    return on_claimed(last_sent_);
  }
  const bool was_held = held();
  role_ = owner_role::none;
  handover_.reset();
  look_again(times_.lease / 2 + shared_.jitter(times_.lease));
  if (!was_held) return owner_change::none;
  return step_back("fence_refused");
}

owner_change ownership::step_back(std::string reason) {
  role_ = owner_role::none;
  lease_end_ = kLongAgo;
  ++shared_.counters.step_backs;
  shared_.log(action::decision_kind::step_back, target_, {}, std::move(reason));
  return owner_change::lost;
}

void ownership::on_handover(const fence& last) {
  if (held()) return;
  if (mode_ == owner_mode::listed) {
    // The owner itself says that it sends nothing more: no wait is needed.
    acting_ = true;
    claimed_after_handover_ = true;
    listed_from_ = shared_.now;
    return;
  }
  handover_ = last;
  next_look_ = shared_.now;
}

owner_change ownership::release() {
  listed_from_ = kNever;
  if (!held()) return owner_change::none;
  look_again(times_.lease + shared_.jitter(times_.lease));
  return step_back("handed_over");
}

owner_change ownership::on_time() {
  if (mode_ != owner_mode::listed || held() || shared_.draining ||
      shared_.now < listed_from_) {
    return owner_change::none;
  }
  role_ = owner_role::held;
  held_since_ = shared_.now;
  quiet_from_ = shared_.now;
  claimed_after_handover_ = acting_;
  listed_from_ = kNever;
  return owner_change::gained;
}

bool ownership::may_dispatch() const {
  if (!held()) return false;
  if (!shared_.options.switches.lease_gate) return true;
  return shared_.now < lease_end();
}

time_point ownership::lease_end() const {
  const bool gated = shared_.options.switches.lease_gate;
  return mode_ == owner_mode::listed || !gated ? kNever : lease_end_;
}

time_point ownership::wakeup() const {
  if (mode_ == owner_mode::listed) return held() ? kNever : listed_from_;
  if (order_pending_) return kNever;
  if (held() || (first_ && !shared_.draining)) return next_look_;
  return kNever;
}

}  // namespace seamglade::detail
