// seamglade - the naive placement policy, kept as the baseline
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "seamglade/policy.h"

namespace seamglade {
namespace {

const slot_view* least_recently_used(const engine_view& view) {
  const slot_view* victim = nullptr;
  for (const auto& slot : view.held) {
    if (!slot.evictable) continue;
    if (victim == nullptr || slot.last_used < victim->last_used) {
      victim = &slot;
    }
  }
  return victim;
}

const waiting_view* oldest_miss(const engine_view& view) {
  for (const auto& group : view.waiting) {
    if (!group.loaded && !group.loading && !group.backing_off) return &group;
  }
  return nullptr;
}

class naive_policy final : public placement_policy {
 public:
  std::vector<placement_step> next(const engine_view& view) const override {
    std::vector<placement_step> steps;
    auto free = view.max_running - std::min(view.max_running, view.running);
    for (const auto& group : view.waiting) {
      if (!group.loaded || free == 0) continue;
      const auto count = std::min(free, group.urgent + group.deferred);
      steps.push_back({step_kind::start, *group.adapter, count});
      free -= count;
    }
    const auto* miss = oldest_miss(view);
    // A slot that is being emptied will take the load.
    if (miss == nullptr || view.load_permits <= view.unloading) return steps;
    if (view.held.size() < view.slots) {
      steps.push_back({step_kind::load, *miss->adapter, 1});
    } else if (const auto* victim = least_recently_used(view)) {
      steps.push_back({step_kind::evict, *victim->adapter, 1});
    }
    return steps;
  }

  std::optional<load_want> wants_permit(
      const engine_view& view) const override {
    const auto* miss = oldest_miss(view);
    if (miss == nullptr) return std::nullopt;
    if (view.held.size() >= view.slots && !least_recently_used(view)) {
      return std::nullopt;
    }
    return load_want{urgency::deferred, miss->oldest};
  }
};

}  // namespace

std::unique_ptr<placement_policy> make_naive_policy() {
  return std::make_unique<naive_policy>();
}

}  // namespace seamglade
