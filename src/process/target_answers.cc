// seamglade - what a keeper learns from the answers of its target
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/target_keeper.h"

namespace seamglade::gateway {
namespace {

/**
 * First look at a target by report after a load was ordered, and the pause
 * after. Reports lag by 100 ms and cost five orders, so this is for loads whose
 * repeated order brought no word.
 */
constexpr duration kFirstLook = 600ms;
constexpr duration kNextLook = 50ms;
/** Looks without any known change. */
constexpr duration kIdleLook = 4s;
constexpr duration kLookAfterFailure = 300ms;
/** So many refusals of the fence order, and reports alone must do. */
constexpr std::uint32_t kFenceRejections = 2;
/** Pause after an order that the target could not take. */
constexpr duration kBusyPause = 60ms;

}  // namespace

void target_keeper::note_order(const adapter_name& name, std::uint64_t call) {
  const auto found = places_.find(name);
  if (found != places_.end()) found->second.order = call;
}

std::uint64_t target_keeper::order_about(const adapter_name& name) const {
  const auto found = places_.find(name);
  return found == places_.end() ? 0 : found->second.order;
}

void target_keeper::order_answered(time_point now, engine_order_status status) {
  const auto step = std::exchange(under_way_, {});
  const auto look = [&](duration wait) {
    next_report_ = std::min(next_report_, now + wait);
  };
  if (step.name.adapter.empty()) {
    model_order_answered(now, step.name, status);
    return;
  }
  const auto found = places_.find(step.name);
  if (found == places_.end()) return;
  auto& held = found->second;
  const bool load = step.order == engine_order_kind::load;
  const bool goes_on = status == engine_order_status::started ||
                       status == engine_order_status::busy;
  if (step.repeated && goes_on) return;
  switch (status) {
    case engine_order_status::started:
      // The order may have been long on its way: reports show it from now on.
      held.since = now;
      look(kFirstLook);
      break;
    case engine_order_status::done:
      if (load) {
        load_ended(now, held);
        if (!is_unsettled()) next_report_ = now + kIdleLook;
      } else {
        note_unloaded(now, step.name);
        places_.erase(found);
      }
      break;
    case engine_order_status::busy:
    case engine_order_status::rejected:
      // Not taken: a load leaves no trace but the version it was to replace,
      // an unload leaves the adapter there.
      if (load && !held.replaces) {
        places_.erase(found);
      } else {
        held.now = phase::ready;
        held.version = held.replaces.value_or(held.version);
        held.replaces.reset();
      }
      not_before_ = now + kBusyPause;
      look(kBusyPause);
      break;
    case engine_order_status::fenced:
    case engine_order_status::misplaced:
    case engine_order_status::unanswered:
      held.uncertain = true;
      not_before_ = now + kReportLag;
      look(kLookAfterFailure);
      break;
  }
  changed();
}

void target_keeper::model_order_answered(time_point now,
                                         const adapter_name& name,
                                         engine_order_status status) {
  const bool taken = status == engine_order_status::started ||
                     status == engine_order_status::done;
  if (status == engine_order_status::done) models_.try_emplace(name.model, 0U);
  if (status != engine_order_status::started) model_loading_ = false;
  if (!taken) not_before_ = now + kBusyPause;
  const bool is_fence_order = !known_ && !fence_in_force_;
  if (is_fence_order && taken) {
    fence_in_force_ = now;
    next_report_ = now + kFenceSettled;
    return;
  }
  if (is_fence_order && status == engine_order_status::rejected &&
      ++fence_rejections_ >= kFenceRejections) {
    check_ = takeover_check::agreeing_reports;
  }
  next_report_ = std::min(
      next_report_,
      now + (status == engine_order_status::started ? kFirstLook : kBusyPause));
}

void target_keeper::report_read(time_point now, time_point asked,
                                const std::optional<engine_report>& report) {
  under_way_ = {};
  if (!report) {
    next_report_ = now + kLookAfterFailure;
    return;
  }
  if (!known_) {
    take_models(now, *report);
    known_ = confirms_content(now, asked, *report);
    const bool by_fence = check_ == takeover_check::fence_order;
    next_report_ = now + (by_fence ? kIdleLook : kConfirmPause);
    if (!known_) return;
    start_places(now, asked, *report);
  }
  take_places(now, asked, *report);
  next_report_ = now + (is_unsettled() ? kNextLook : kIdleLook);
}

}  // namespace seamglade::gateway
