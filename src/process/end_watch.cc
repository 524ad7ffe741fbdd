// seamglade - whether a target ended at which calls broke, and what ran there
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/end_watch.h"

#include <utility>

namespace seamglade::gateway {
namespace {

/** The calls at a target that ends break within this time of each other. */
constexpr duration kOneEnd = 600ms;
/** The entry of a target that ended goes after three of its heartbeats. */
constexpr duration kReplacedWithin = 6s;
/** More of what broke at one target at once is not told apart. */
constexpr std::size_t kMostSuspects = 192;

}  // namespace

end_watch::verdict end_watch::call_broke(
    time_point now, target_hash target,
    const std::vector<request_fingerprint>& suspects) {
  const auto [found, is_new] = groups_.try_emplace(target);
  auto& broken = found->second;
  if (is_new || now - broken.since > kOneEnd) {
    broken = {};
    broken.since = now;
  }
  if (broken.has_ended) return verdict::ended;
  for (const auto& suspect : suspects) {
    if (broken.requests.size() < kMostSuspects) broken.requests.insert(suspect);
  }
  if (std::exchange(broken.is_probing, true)) return verdict::awaited;
  return verdict::to_probe;
}

std::vector<request_fingerprint> end_watch::probed(
    time_point now, target_hash target, event::target_probed::how outcome,
    time_point others_heard) {
  const auto found = groups_.find(target);
  if (found == groups_.end()) return {};
  auto& broken = found->second;
  broken.is_probing = false;
  if (outcome != event::target_probed::how::refused) return {};
  if (now - broken.since > kOneEnd) return {};
  if (others_heard > broken.since) return conclude(broken);
  broken.is_refusing = true;
  has_refusing_ = true;
  return {};
}

time_point end_watch::broke_at(time_point now, target_hash target) const {
  const auto found = groups_.find(target);
  return found == groups_.end() ? now : found->second.since;
}

bool end_watch::awaits_others(target_hash target) const {
  const auto found = groups_.find(target);
  return found != groups_.end() && found->second.is_refusing;
}

std::vector<end_watch::target_end> end_watch::others_heard(time_point now) {
  std::vector<target_end> ends;
  if (!std::exchange(has_refusing_, false)) return ends;
  for (auto& [target, broken] : groups_) {
    if (!std::exchange(broken.is_refusing, false)) continue;
    if (now - broken.since > kOneEnd) continue;
    ends.push_back({target, conclude(broken)});
  }
  return ends;
}

std::vector<request_fingerprint> end_watch::replaced(time_point now,
                                                     target_hash target) {
  const auto found = groups_.find(target);
  if (found == groups_.end()) return {};
  if (now - found->second.since > kReplacedWithin) return {};
  return conclude(found->second);
}

std::vector<request_fingerprint> end_watch::conclude(group& of) {
  of.has_ended = true;
  const auto requests = std::exchange(of.requests, {});
  return {requests.begin(), requests.end()};
}

void end_watch::expire(time_point now) {
  std::erase_if(groups_, [now](const auto& pair) {
    return now - pair.second.since > kReplacedWithin;
  });
}

}  // namespace seamglade::gateway
