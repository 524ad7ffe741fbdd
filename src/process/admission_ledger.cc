// seamglade - how many requests the plain targets get at once
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/admission_ledger.h"

#include <algorithm>

namespace seamglade::gateway {
namespace {

/** Of what is known of a target's time, one part in so many is the newest. */
constexpr std::int64_t kServiceParts = 16;
/**
 * The expected time is to leave this part of the slack: work varies, and the
 * way to the target and back takes some of it. Of 5,884 requests of a day of
 * twice what targets do, 2,291 were in time with 0.2, 2,492 with 0.35, 2,403
 * with 0.5 (one play each, without processor time).
 */
constexpr double kSpare = 0.35;
/** ... and this much more for each step of rank: the urgent find room. */
constexpr double kSpareOfRank = 0.05;
constexpr std::uint32_t kMostRank = 4;
/** Requests that a target gets for each slot while its time is not known. */
constexpr std::size_t kUnknownPart = 2;
/** A target that said it is full gets nothing more for so long. */
constexpr duration kFullPause = 30ms;
/** What was learned of a target is kept so long without a request. */
constexpr duration kForgotten = 30s;

}  // namespace

double admission_ledger::target_places::queueing(std::size_t ahead) const {
  return std::max(1.0, static_cast<double>(ahead + 1) / slots);
}

duration admission_ledger::target_places::expected() const {
  const auto time = static_cast<double>(service_time.count());
  return duration(static_cast<std::int64_t>(time * queueing(held.size())));
}

admission_answer admission_ledger::ask(time_point now, member_address from,
                                       const admission_request& request,
                                       std::uint32_t slots) {
  auto& target = targets_[request.target];
  target.slots = std::max(1U, slots);
  target.last_used = now;
  const auto count = target.held.size();
  const auto spare = kSpare + kSpareOfRank * std::min(kMostRank, request.rank);
  const auto room = static_cast<double>(request.slack.count()) * (1 - spare);
  const bool is_known = target.service_time > duration{};
  const bool in_time =
      is_known ? static_cast<double>(target.expected().count()) <= room
               : count < kUnknownPart * target.slots;
  admission_answer answer{request.request, request.target};
  // One at least is always there, so that a slow target is seen to recover.
  answer.is_granted = count == 0 || (in_time && now >= target.full_until);
  answer.expected = target.expected();
  if (answer.is_granted) {
    target.held[{from, request.request}] = {now + request.held_for, count};
    return answer;
  }
  const auto over = static_cast<double>(answer.expected.count()) - room;
  answer.full_for = std::max(
      kFullPause, duration(static_cast<std::int64_t>(std::max(0.0, over))));
  return answer;
}

void admission_ledger::end(time_point now, member_address from,
                           const admission_end& message) {
  const auto found = targets_.find(message.target);
  if (found == targets_.end()) return;
  auto& target = found->second;
  const auto held = target.held.find({from, message.request});
  if (held == target.held.end()) return;
  const auto ahead = held->second.ahead;
  target.held.erase(held);
  if (message.outcome == admission_outcome::rejected) {
    target.full_until = now + kFullPause;
  }
  if (message.outcome != admission_outcome::served) return;
  const auto took = static_cast<double>(message.took.count());
  const duration alone(
      static_cast<std::int64_t>(took / target.queueing(ahead)));
  auto& known = target.service_time;
  if (known == duration{}) known = alone;
  known += (alone - known) / kServiceParts;
}

void admission_ledger::expire(time_point now) {
  for (auto& [hash, target] : targets_) {
    std::erase_if(target.held,
                  [&](const auto& pair) { return now >= pair.second.until; });
  }
  std::erase_if(targets_, [&](const auto& pair) {
    return pair.second.held.empty() && now - pair.second.last_used > kForgotten;
  });
}

std::size_t admission_ledger::held(target_hash target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? 0 : found->second.held.size();
}

}  // namespace seamglade::gateway
