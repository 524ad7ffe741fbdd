// seamglade - facts about targets, spread from neighbour to neighbour
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/fact_table.h"

#include <algorithm>

namespace seamglade::detail {

bool fact_table::learn(const target_fact& fact, const instance_id& from) {
  const key where{fact.subject, fact.target};
  const auto it = records_.find(where);
  if (it != records_.end() && it->second.stamp >= fact.stamp) return false;
  store(where, {fact.stamp, fact.value, 0, from});
  return true;
}

void fact_table::set(std::uint32_t target, std::uint64_t subject,
                     std::uint32_t value, std::uint64_t clock) {
  const key where{subject, target};
  const auto it = records_.find(where);
  if (it != records_.end() && it->second.value == value &&
      it->second.from.empty()) {
    return;
  }
  const auto last = it == records_.end() ? 0 : it->second.stamp;
  store(where, {std::max(clock, last + 1), value, 0, {}});
}

void fact_table::store(const key& where, record what) {
  auto& stored = records_[where];
  auto& changes = changes_[lane_of(where.subject)];
  if (stored.change != 0) changes.erase(stored.change);
  what.change = ++last_change_;
  stored = std::move(what);
  changes.emplace(stored.change, where);
  if (where.subject == kWaitSubject || where.subject == kOwnerSubject) return;
  auto& list = holders_[where.subject];
  std::erase(list, where.target);
  if (stored.value != 0) list.push_back(where.target);
  if (list.empty()) holders_.erase(where.subject);
}

std::vector<target_fact> fact_table::next_for(const instance_id& peer,
                                              std::size_t most) {
  std::vector<target_fact> facts;
  for (const auto which : {kPlacement, kWait}) {
    auto& cursor = sent_[peer][which];
    const auto& changes = changes_[which];
    auto it = changes.upper_bound(cursor);
    for (; it != changes.end() && facts.size() < most; ++it) {
      cursor = it->first;
      const auto& [subject, target] = it->second;
      const auto& stored = records_.at(it->second);
      if (stored.from == peer) continue;
      facts.push_back({target, subject, stored.stamp, stored.value});
    }
  }
  return facts;
}

void fact_table::forget_peer(const instance_id& peer) { sent_.erase(peer); }

std::optional<std::uint32_t> fact_table::value(std::uint32_t target,
                                               std::uint64_t subject) const {
  const auto it = records_.find({subject, target});
  if (it == records_.end()) return std::nullopt;
  return it->second.value;
}

std::vector<std::uint32_t> fact_table::holders(std::uint64_t adapter) const {
  const auto it = holders_.find(adapter);
  return it == holders_.end() ? std::vector<std::uint32_t>{} : it->second;
}

}  // namespace seamglade::detail
