// seamglade - the requests that wait for one target, grouped by adapter
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "request/job_queue.h"

#include <algorithm>

namespace seamglade::detail {

time_point job_group::oldest() const {
  return urgent.empty() ? deferred.front().arrived : urgent.front().arrived;
}

time_point job_group::start_by() const {
  auto first = time_point::max();
  for (const auto* side : {&urgent, &deferred}) {
    if (!side->empty()) first = std::min(first, side->front().start_by);
  }
  return first;
}

std::deque<job>& job_queue::side_for(const job& waiting) {
  auto& group = groups_[waiting.adapter()];
  return waiting.spec.priority == urgency::urgent ? group.urgent
                                                  : group.deferred;
}

void job_queue::push(job waiting) {
  starts_.insert(waiting.start_by);
  auto& side = side_for(waiting);
  side.push_back(std::move(waiting));
}

void job_queue::push_front(job waiting) {
  starts_.insert(waiting.start_by);
  auto& side = side_for(waiting);
  side.push_front(std::move(waiting));
}

void job_queue::forget(const job& gone) {
  starts_.erase(starts_.find(gone.start_by));
  const auto it = groups_.find(gone.adapter());
  if (it != groups_.end() && it->second.empty()) groups_.erase(it);
}

std::optional<job> job_queue::pop(const adapter_ref& adapter) {
  const auto it = groups_.find(adapter);
  if (it == groups_.end()) return std::nullopt;
  auto& side =
      it->second.urgent.empty() ? it->second.deferred : it->second.urgent;
  job next = std::move(side.front());
  side.pop_front();
  forget(next);
  return next;
}

std::optional<job> job_queue::remove(const request_id& id) {
  for (auto& [adapter, group] : groups_) {
    for (auto* side : {&group.urgent, &group.deferred}) {
      const auto at = std::find_if(side->begin(), side->end(),
                                   [&](const job& j) { return j.id == id; });
      if (at == side->end()) continue;
      job found = std::move(*at);
      side->erase(at);
      forget(found);
      return found;
    }
  }
  return std::nullopt;
}

std::vector<job> job_queue::expire(time_point now) {
  std::vector<job> expired;
  if (starts_.empty() || *starts_.begin() > now) return expired;
  for (auto& [adapter, group] : groups_) {
    for (auto* side : {&group.urgent, &group.deferred}) {
      const auto late = [&](const job& j) { return j.start_by <= now; };
      for (auto& j : *side) {
        if (late(j)) expired.push_back(j);
      }
      std::erase_if(*side, late);
    }
  }
  for (const auto& gone : expired) forget(gone);
  return expired;
}

std::vector<job> job_queue::take_all() {
  std::vector<job> all;
  all.reserve(size());
  for (auto& [adapter, group] : groups_) {
    for (auto* side : {&group.urgent, &group.deferred}) {
      std::move(side->begin(), side->end(), std::back_inserter(all));
    }
  }
  groups_.clear();
  starts_.clear();
  return all;
}

std::vector<job> job_queue::take_group(const adapter_ref& adapter) {
  std::vector<job> taken;
  while (auto next = pop(adapter)) taken.push_back(std::move(*next));
  return taken;
}

}  // namespace seamglade::detail
