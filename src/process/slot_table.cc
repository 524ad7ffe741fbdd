// seamglade - the adapter slots of a target and what uses them
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/slot_table.h"

#include <algorithm>
#include <cmath>

namespace seamglade::detail {
namespace {

/** Time in which an arrival's weight falls to 1/e. */
constexpr double kDemandSeconds = 60;

/** A report may be this much older than what it is checked against. */
constexpr auto kReportLag = 5s;

double decay(time_point from, time_point to) {
  const double seconds = std::chrono::duration<double>(to - from).count();
  return std::exp(-seconds / kDemandSeconds);
}

}  // namespace

void demand_counter::add(time_point now) {
  value_ = (at_ == kLongAgo ? 0 : value_ * decay(at_, now)) + 1;
  at_ = now;
}

double demand_counter::rate(time_point now) const {
  if (at_ == kLongAgo) return 0;
  return value_ * decay(at_, now) / kDemandSeconds;
}

adapter_slot* slot_table::find(const adapter_ref& adapter) {
  const auto it = slots_.find(adapter);
  return it == slots_.end() ? nullptr : &it->second;
}

const adapter_slot* slot_table::find(const adapter_ref& adapter) const {
  const auto it = slots_.find(adapter);
  return it == slots_.end() ? nullptr : &it->second;
}

bool slot_table::loaded(const adapter_ref& adapter) const {
  const auto it = slots_.find(adapter);
  return it != slots_.end() && it->second.state == slot_state::loaded;
}

bool slot_table::loading(const adapter_ref& adapter) const {
  const auto it = slots_.find(adapter);
  return it != slots_.end() && it->second.state == slot_state::loading;
}

void slot_table::begin_load(const adapter_ref& adapter) {
  auto& slot = slots_[adapter];
  slot.state = slot_state::loading;
  slot.changed = shared_.now;
  slot.unsure = false;
}

void slot_table::begin_unload(const adapter_ref& adapter) {
  if (auto* slot = find(adapter)) {
    slot->state = slot_state::unloading;
    slot->changed = shared_.now;
  }
}

void slot_table::finish_load(const adapter_ref& adapter, order_status status) {
  auto* slot = find(adapter);
  if (slot == nullptr) return;
  slot->changed = shared_.now;
  if (status == order_status::done) {
    slot->state = slot_state::loaded;
    slot->last_used = shared_.now;
  } else if (status == order_status::unreachable) {
    slot->unsure = true;
  } else {
    slots_.erase(adapter);
  }
}

void slot_table::finish_unload(const adapter_ref& adapter, order_status status,
                               duration busy_wait) {
  auto* slot = find(adapter);
  if (slot == nullptr) return;
  slot->changed = shared_.now;
  if (status == order_status::done) {
    slots_.erase(adapter);
    return;
  }
  if (status == order_status::unreachable) {
    slot->unsure = true;
    return;
  }
  slot->state = slot_state::loaded;
  if (status == order_status::busy) {
    slot->inherited_until = shared_.now + busy_wait;
  }
}

void slot_table::erase_if_idle(const adapter_ref& adapter) {
  const auto* slot = find(adapter);
  if (slot != nullptr && slot->running == 0) slots_.erase(adapter);
}

void slot_table::erase_idle() {
  std::erase_if(slots_, [](const auto& s) { return s.second.running == 0; });
}

void slot_table::pin(const adapter_ref& adapter) {
  if (auto* slot = find(adapter)) {
    ++slot->running;
    slot->last_used = shared_.now;
  }
}

void slot_table::unpin(const adapter_ref& adapter) {
  auto* slot = find(adapter);
  if (slot == nullptr || slot->running == 0) return;
  --slot->running;
  slot->last_used = shared_.now;
}

bool slot_table::idle(const adapter_slot& slot) const {
  const auto& switches = shared_.options.switches;
  if (switches.pin_running && slot.running > 0) return false;
  return !switches.inherit_pins || slot.inherited_until <= shared_.now;
}

bool slot_table::apply(const target_report& report,
                       const report_context& context) {
  bool changed = false;
  std::set<adapter_ref> seen;
  for (const auto& held : report.loaded) {
    const auto adapter = parse_adapter_ref(held.name);
    if (!adapter) continue;  // not named by a version: not ours to touch
    seen.insert(adapter.value());
    auto* slot = find(adapter.value());
    if (slot == nullptr) {
      adapter_slot found;
      found.changed = shared_.now;
      found.last_used = shared_.now;
      found.inherited_until = context.in_use_until;
      slot = &slots_.emplace(adapter.value(), found).first->second;
      changed = true;
    }
    slot->scripted =
        context.is_scripted && context.is_scripted(adapter.value());
    if (slot->unsure && slot->changed < context.asked) {
      slot->unsure = false;
      slot->state = slot_state::loaded;
      changed = true;
    }
    if (held.running == 0 && context.after_quiet) {
      slot->inherited_until = std::min(slot->inherited_until, shared_.now);
    }
  }
  // Reports lag: only what has long been settled is taken as gone.
  for (auto it = slots_.begin(); it != slots_.end();) {
    const auto& slot = it->second;
    const bool gone = !seen.contains(it->first) && slot.running == 0 &&
                      ((slot.unsure && slot.changed < context.asked) ||
                       (slot.state == slot_state::loaded &&
                        slot.changed + kReportLag < context.asked));
    changed = changed || gone;
    it = gone ? slots_.erase(it) : std::next(it);
  }
  return changed;
}

void slot_table::inherit_all(time_point until) {
  for (auto& [adapter, slot] : slots_) {
    slot.inherited_until = std::max(slot.inherited_until, until);
  }
}

void slot_table::end_inherited_except(const std::set<std::string>& in_use) {
  for (auto& [adapter, slot] : slots_) {
    if (!in_use.contains(adapter.str())) slot.inherited_until = kLongAgo;
  }
}

void slot_table::clear() {
  for (auto it = slots_.begin(); it != slots_.end();) {
    const bool ours = it->second.state == slot_state::loading;
    it = ours ? std::next(it) : slots_.erase(it);
  }
}

}  // namespace seamglade::detail
