// seamglade - how many requests the fleet may send to targets that bear few
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/grant_ledger.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "process/member_order.h"
#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

/** Not all duties of a target are to fall to the same member. */
constexpr std::uint64_t kColdKey = 0x636f6c64;
/**
 * Grants of this span may arrive in one second: the second itself and twice the
 * 25 ms that a grant is under way at most, for clocks and the way to the
 * target.
 */
constexpr duration kSpan = 1050ms;
/** Part of what may be given in that time that is kept for when it is asked. */
constexpr double kKeptPart = 0.5;
constexpr double kLeastKept = 1;
/** A target that was not known to be cold in this time was warm meanwhile. */
constexpr duration kStillCold = 1100ms;
/** Limits of when one that was refused is told to ask again. */
constexpr duration kLeastWait = 10ms;
constexpr duration kMostWait = 400ms;
/** What a limit gives in this time is kept for when it is asked ... */
constexpr double kLimitKeptSeconds = 0.25;
/**
 * ... and so much at least: with one request, what comes while that one waits
 * to be asked for would be lost.
 */
constexpr double kLeastLimitKept = 1.5;
constexpr double kLongestGapSeconds = 3600;
/** One who asks a member that is not the grantor sees another fleet yet. */
constexpr duration kNotMine = 100ms;

}  // namespace

duration grant_gap_of(double rate) {
  const auto seconds = std::min(kLongestGapSeconds, 1 / rate);
  return duration(static_cast<std::int64_t>(seconds * 1e6));
}

std::optional<member_address> grantor_of(
    target_hash target, const std::vector<member_address>& staying) {
  const auto first = first_members(mix(target ^ kColdKey), staying, 1);
  if (first.empty()) return std::nullopt;
  return first.front();
}

void grant_ledger::close() {
  targets_.clear();
  views_.clear();
}

void grant_ledger::note_view(time_point now, const fleet_view& view) {
  if (views_.empty() || views_.back().second != view.staying) {
    views_.emplace_back(now, view.staying);
  }
  while (views_.size() > 1 && now - views_[1].first >= settling_) {
    views_.pop_front();
  }
}

time_point grant_ledger::grantor_since(time_point now,
                                       target_hash target) const {
  // A target that is new is nobody's yet: what counts is the fleet's change.
  auto since = now;
  for (auto at = views_.rbegin(); at != views_.rend(); ++at) {
    if (grantor_of(target, at->second) != self_) break;
    since = at->first;
  }
  return since;
}

void grant_ledger::update(time_point now, const fleet_view& view,
                          const std::vector<metered_target>& targets,
                          duration settling) {
  settling_ = settling;
  // What the other side of a cut gave is over as late.
  sight_.set_settling(settling + kSpan);
  sight_.look(now, view);
  note_view(now, view);
  std::set<target_hash> mine;
  for (const auto& candidate : targets) {
    if (grantor_of(candidate.target, view.staying) != self_) continue;
    mine.insert(candidate.target);
    const auto [at, is_new] = targets_.try_emplace(candidate.target);
    auto& target = at->second;
    if (is_new) target.since = grantor_since(now, candidate.target);
    target.cold_rate = candidate.cold_rate;
    configure(now, target);
    if (candidate.is_cold) note_cold(now, target);
    note_limit(now, target, candidate.limit);
  }
  std::erase_if(targets_,
                [&](const auto& pair) { return !mine.contains(pair.first); });
}

void grant_ledger::configure(time_point now, granted_target& target) const {
  const auto allowed = target.cold_rate * bounds_.excess + bounds_.slack;
  const auto whole = std::floor(allowed * part());
  target.most = static_cast<std::size_t>(whole);
  if (!target.cold) return;
  const auto rate = std::min(target.cold_rate * part(), whole);
  // Requests come unevenly, and what is not kept for them is lost.
  const auto kept = std::max(whole - rate, whole * kKeptPart);
  target.cold->configure(now, rate, std::max(kLeastKept, kept), 0);
}

time_point grant_ledger::opening(const granted_target& target) const {
  // Until the forerunner surely gives nothing, and what it gave is over.
  return target.since + settling_ + kSpan;
}

void grant_ledger::note_cold(time_point now, granted_target& target) const {
  // Nothing is saved up while a forerunner may still give.
  if (now < opening(target)) return;
  if (!target.cold || now - target.last_cold > kStillCold) {
    target.cold.emplace(now, 0);
    configure(now, target);
    // As if it had got all that it may get, evenly, with the requests that go
    // to warm targets.
    target.given.clear();
    for (std::size_t i = 1; i <= target.most; ++i) {
      const auto back = kSpan * static_cast<std::int64_t>(target.most - i) /
                        static_cast<std::int64_t>(target.most);
      target.given.push_back(now - back);
    }
  }
  target.last_cold = now;
}

duration grant_ledger::take_one(time_point now, granted_target& target) {
  auto& given = target.given;
  while (!given.empty() && now - given.front() >= kSpan) given.pop_front();
  if (target.most == 0) return kMostWait;
  if (given.size() >= target.most) {
    return given[given.size() - target.most] + kSpan - now;
  }
  if (!target.cold->take(now, 1)) {
    return std::max(kLeastWait, target.cold->until(1));
  }
  given.push_back(now);
  return {};
}

void grant_ledger::note_limit(time_point now, granted_target& target,
                              const std::optional<double>& limit) const {
  if (!limit) {
    target.limited.reset();
    return;
  }
  // Nothing is saved up while a forerunner may still give, nor before the first
  // word: what came then is not known here.
  if (now < opening(target)) return;
  if (!target.limited) target.limited.emplace(now, 0);
  const auto rate = *limit * part();
  const auto kept = std::max(kLeastLimitKept, rate * kLimitKeptSeconds);
  target.limited->configure(now, rate, kept, 0);
}

std::optional<grant_ledger::refusal> grant_ledger::take_grant(
    time_point now, granted_target& target, const metered_target& which) const {
  if (target.limited && !target.limited->take(now, 1)) {
    const auto wait = std::max(kLeastWait, target.limited->until(1));
    const auto gap = grant_gap_of(*which.limit * part());
    return refusal{wait, gap, std::max(kMostWait, wait + gap)};
  }
  const auto wait = which.is_cold ? take_one(now, target) : duration{};
  if (wait == duration{}) return std::nullopt;
  if (target.limited) target.limited->give_back(1);
  const auto most = static_cast<std::int64_t>(target.most);
  return refusal{wait, most > 0 ? kSpan / most : duration{}, kMostWait};
}

duration grant_ledger::promise(time_point now, granted_target& target,
                               const refusal& refused) {
  // Each is told another time, so that they don't all ask again at once; but
  // none a much later one than the next, since who was told it may not come.
  const auto longest = refused.longest;
  target.promised = std::max(now + refused.wait, target.promised);
  const auto told = std::clamp(target.promised - now, kLeastWait, longest);
  if (target.promised - now < longest) target.promised += refused.gap;
  return told;
}

grant_answer grant_ledger::take(time_point now, std::uint64_t request,
                                const metered_target& which) {
  grant_answer answer{request, which.target};
  const auto found = targets_.find(which.target);
  if (found == targets_.end()) {
    answer.spent_for = kNotMine;
    return answer;
  }
  auto& target = found->second;
  if (now < opening(target)) {
    answer.spent_for = opening(target) - now;
    return answer;
  }
  if (which.is_cold) note_cold(now, target);
  note_limit(now, target, which.limit);
  const auto refused = take_grant(now, target, which);
  answer.is_granted = !refused;
  if (refused) answer.spent_for = promise(now, target, *refused);
  return answer;
}

}  // namespace seamglade::gateway
