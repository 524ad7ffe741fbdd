// seamglade - the placement policy: protected slots, urgent loads, grouped
// batches
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "seamglade/policy.h"

namespace seamglade {
namespace {

/** Deferred requests of one adapter that make a load worth its while. */
constexpr std::uint32_t kDeferredGroup = 4;
/** A batch is worth starting at one part in so many of what may run. */
constexpr std::uint32_t kBatchShare = 2;
/** Loads that must fit before the deadline of a deferred group. */
constexpr int kDeadlineLoads = 8;
/** An adapter with less demand (requests a second) counts as idle. */
constexpr double kIdleDemand = 1.0 / 60;

double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

bool is_missing(const waiting_view& group) {
  return !group.loaded && !group.loading && !group.backing_off;
}

/**
 * The idle slot that will be missed least: what waits for it counts first,
 * then its demand, then how long ago it was used.
 */
const slot_view* cheapest_victim(const engine_view& view) {
  const slot_view* victim = nullptr;
  for (const auto& slot : view.held) {
    if (!slot.evictable) continue;
    if (victim == nullptr) {
      victim = &slot;
      continue;
    }
    const auto rank = [](const slot_view& s) {
      return std::make_tuple(s.waiting, s.demand, s.last_used);
    };
    if (rank(slot) < rank(*victim)) victim = &slot;
  }
  return victim;
}

/** Time that the group's urgent requests have waited and will wait. */
double stall_if_next(const engine_view& view, const waiting_view& group) {
  return seconds(view.now - group.oldest);
}

/** Whether a load for deferred work pays now. */
bool deferred_is_due(const engine_view& view, const waiting_view& group,
                     const slot_view* victim) {
  if (view.held.size() < view.slots) return true;
  if (victim == nullptr || victim->waiting > 0) return false;
  if (group.start_by - view.now < kDeadlineLoads * view.load_estimate) {
    return true;
  }
  const auto wanted =
      view.batch_weight >= view.stall_weight ? 1 : kDeferredGroup;
  return group.deferred >= wanted &&
         (victim->demand < kIdleDemand || victim->demand < group.demand);
}

struct load_choice {
  const waiting_view* group = nullptr;
  urgency kind = urgency::urgent;
};

load_choice next_load(const engine_view& view, const slot_view* victim) {
  load_choice best;
  double most = -1;
  for (const auto& group : view.waiting) {
    if (!is_missing(group) || group.urgent == 0) continue;
    const double stall = stall_if_next(view, group);
    if (stall > most) {
      most = stall;
      best = {&group, urgency::urgent};
    }
  }
  if (best.group != nullptr) return best;
  for (const auto& group : view.waiting) {
    if (!is_missing(group) || !deferred_is_due(view, group, victim)) continue;
    if (best.group == nullptr || group.deferred > best.group->deferred) {
      best = {&group, urgency::deferred};
    }
  }
  return best;
}

/**
 * Deferred requests are kept until they make up a batch together with what
 * runs, or half of the time in which one of them may start has passed.
 */
bool batch_is_due(const engine_view& view,
                  const std::vector<const waiting_view*>& deferred) {
  std::uint32_t together = view.running;
  for (const auto* group : deferred) {
    if (view.now >= group->oldest + (group->start_by - group->oldest) / 2) {
      return true;
    }
    together += group->deferred;
  }
  return together * kBatchShare >= view.max_running;
}

void start_ready(const engine_view& view, std::vector<placement_step>& steps) {
  auto free = view.max_running - std::min(view.max_running, view.running);
  for (const auto& group : view.waiting) {
    if (!group.loaded || group.urgent == 0 || free == 0) continue;
    const auto count = std::min(free, group.urgent);
    steps.push_back({step_kind::start, *group.adapter, count});
    free -= count;
  }
  // Deferred work fills what urgent work leaves, the largest group first.
  std::vector<const waiting_view*> deferred;
  for (const auto& group : view.waiting) {
    if (group.loaded && group.deferred > 0) deferred.push_back(&group);
  }
  if (!batch_is_due(view, deferred)) return;
  std::stable_sort(deferred.begin(), deferred.end(),
                   [](auto* a, auto* b) { return a->deferred > b->deferred; });
  for (const auto* group : deferred) {
    if (free == 0) break;
    const auto count = std::min(free, group->deferred);
    steps.push_back({step_kind::start, *group->adapter, count});
    free -= count;
  }
}

bool can_place(const engine_view& view, const slot_view* victim,
               const load_choice& choice) {
  if (choice.group == nullptr) return false;
  if (view.held.size() < view.slots) return true;
  return victim != nullptr;
}

class segmented_policy final : public placement_policy {
 public:
  std::vector<placement_step> next(const engine_view& view) const override {
    std::vector<placement_step> steps;
    start_ready(view, steps);
    const auto* victim = cheapest_victim(view);
    const auto choice = next_load(view, victim);
    // A slot that is being emptied will take the load.
    if (view.load_permits <= view.unloading ||
        !can_place(view, victim, choice)) {
      return steps;
    }
    if (view.held.size() < view.slots) {
      steps.push_back({step_kind::load, *choice.group->adapter, 1});
    } else {
      steps.push_back({step_kind::evict, *victim->adapter, 1});
    }
    return steps;
  }

  std::optional<load_want> wants_permit(
      const engine_view& view) const override {
    const auto* victim = cheapest_victim(view);
    const auto choice = next_load(view, victim);
    if (!can_place(view, victim, choice)) return std::nullopt;
    return load_want{choice.kind, choice.group->oldest};
  }
};

}  // namespace

std::unique_ptr<placement_policy> make_segmented_policy() {
  return std::make_unique<segmented_policy>();
}

}  // namespace seamglade
