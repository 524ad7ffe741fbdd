// seamglade - which targets an instance reaches over its own connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_reach.h"

#include <algorithm>

namespace seamglade::gateway {
namespace {

/** Targets that must be out of reach before the instance itself is. */
constexpr std::size_t kLeastLost = 3;
/** Leaves time for the probe that a broken call causes in end_watch. */
constexpr duration kProbeAfter = 50ms;
/** A target that is out of reach is tried again after this, then later. */
constexpr duration kFirstPause = 250ms;
constexpr duration kLongestPause = 2s;
/** Without a way to any target, so many are tried this often. */
constexpr std::size_t kProbesInCut = 2;
constexpr duration kProbePauseInCut = 200ms;
/** No byte came for so long from any target, though several owe one. */
constexpr duration kUnanswered = 500ms;
/** Other targets are asked for a byte this often at most. */
constexpr duration kWitnessPause = 2s;
/** A request is tried this often where connections are accepted. */
constexpr duration kTrialPause = 1s;
/** That a target took no connection counts so long. */
constexpr duration kUnconnectedLife = 2s;
/** A doubt that nothing renewed is dropped, and when a target was heard. */
constexpr duration kForgotten = 20s;

}  // namespace

void target_reach::called(time_point now, target_hash target, call_id call,
                          duration bound) {
  calls_[call] = {target, now, now + bound};
}

void target_reach::failed(time_point now, target_hash target) {
  unanswered_.try_emplace(target, owed_byte{now});
  const auto [at, is_new] = doubts_.try_emplace(target);
  if (is_new) at->second = {now, now + kProbeAfter, kFirstPause};
}

void target_reach::not_connected(time_point now, target_hash target) {
  unconnected_[target] = now;
  failed(now, target);
  unanswered_.erase(target);
}

bool target_reach::connected(time_point now) {
  unconnected_.clear();
  return !is_unanswered_ && end_cut(now);
}

bool target_reach::heard(time_point now, target_hash target) {
  unanswered_.clear();
  is_unanswered_ = false;
  return reached(now, target);
}

bool target_reach::reached(time_point now, target_hash target) {
  heard_[target] = now;
  last_heard_ = now;
  doubts_.erase(target);
  return is_silent_ && !is_unanswered_ && end_cut(now);
}

bool target_reach::end_cut(time_point now) {
  if (!cut_since_) return false;
  cut_since_.reset();
  is_unanswered_ = false;
  for (auto& [other, known] : doubts_) known.next_probe = now;
  return true;
}

bool target_reach::probed(time_point now, target_hash target,
                          bool is_connected) {
  const auto owed = unanswered_.find(target);
  if (is_connected) {
    if (owed != unanswered_.end()) owed->second.is_accepting = true;
    const bool ends_cut = connected(now);
    return reached(now, target) || ends_cut;
  }
  // It has ended, or its way is lost as a whole.
  if (owed != unanswered_.end()) unanswered_.erase(owed);
  auto& known =
      doubts_.try_emplace(target, doubt{now, now, kFirstPause}).first->second;
  known.is_probing = false;
  known.is_out_of_reach = true;
  known.next_probe = now + known.pause;
  known.pause = std::min(kLongestPause, known.pause * 2);
  return false;
}

std::vector<target_hash> target_reach::due_probes(time_point now,
                                                  std::size_t known) {
  doubt_overdue(now);
  look_for_cut(now, known);
  std::vector<target_hash> due;
  if (cut_since_) return due;
  for (auto& [target, doubted] : doubts_) {
    if (doubted.is_probing || now < doubted.next_probe) continue;
    doubted.is_probing = true;
    due.push_back(target);
  }
  return due;
}

std::size_t target_reach::probes_due_in_cut(time_point now) {
  if (!cut_since_ || now < next_probe_in_cut_) return 0;
  next_probe_in_cut_ = now + kProbePauseInCut;
  return kProbesInCut;
}

void target_reach::doubt_overdue(time_point now) {
  for (auto at = calls_.begin(); at != calls_.end();) {
    const auto& call = at->second;
    if (now < call.due) {
      ++at;
      continue;
    }
    const auto heard = heard_.find(call.target);
    const bool is_silent = heard == heard_.end() || heard->second < call.asked;
    if (is_silent) failed(now, call.target);
    at = calls_.erase(at);
  }
}

void target_reach::look_for_cut(time_point now, std::size_t known) {
  if (cut_since_ || known == 0) return;
  const bool is_lost = has_lost_all(known);
  const bool is_unanswered = !is_lost && is_unanswered_by_all(now, known);
  const bool is_silent = is_lost || is_unanswered;
  if (!is_silent && !is_refused_by_all(now, known)) return;
  cut_since_ = now;
  is_silent_ = is_silent;
  is_unanswered_ = is_unanswered;
  next_trial_ = now + kTrialPause;
  next_probe_in_cut_ = now + kProbePauseInCut;
}

bool target_reach::has_lost_all(std::size_t known) const {
  const auto lost =
      std::count_if(doubts_.begin(), doubts_.end(), [&](const auto& pair) {
        return pair.second.is_out_of_reach && pair.second.since > last_heard_;
      });
  return static_cast<std::size_t>(lost) >= std::min(kLeastLost, known);
}

bool target_reach::is_refused_by_all(time_point now, std::size_t known) const {
  const auto recent = std::count_if(
      unconnected_.begin(), unconnected_.end(),
      [now](const auto& pair) { return now - pair.second < kUnconnectedLife; });
  return static_cast<std::size_t>(recent) >= std::min(kLeastLost, known);
}

bool target_reach::is_unanswered_by_all(time_point now,
                                        std::size_t known) const {
  return count_owing(now) >= std::min(kLeastLost, known);
}

std::size_t target_reach::count_owing(time_point now) const {
  const auto owing = std::count_if(
      unanswered_.begin(), unanswered_.end(), [now](const auto& pair) {
        const auto& owed = pair.second;
        return owed.is_accepting && now - owed.since >= kUnanswered;
      });
  return static_cast<std::size_t>(owing);
}

std::size_t target_reach::take_witnesses(time_point now, std::size_t known) {
  const auto needed = std::min(kLeastLost, known);
  if (cut_since_ || now < next_witnesses_) return 0;
  if (count_owing(now) == 0 || unanswered_.size() >= needed) return 0;
  next_witnesses_ = now + kWitnessPause;
  return needed - unanswered_.size();
}

bool target_reach::owes_byte(target_hash target) const {
  return unanswered_.contains(target);
}

bool target_reach::take_trial(time_point now) {
  if (!cut_since_ || !is_unanswered_ || now < next_trial_) return false;
  next_trial_ = now + kTrialPause;
  return true;
}

bool target_reach::is_out_of_reach(target_hash target) const {
  if (cut_since_) return true;
  const auto found = doubts_.find(target);
  return found != doubts_.end() && found->second.is_out_of_reach;
}

std::size_t target_reach::out_of_reach() const {
  return static_cast<std::size_t>(std::count_if(
      doubts_.begin(), doubts_.end(),
      [](const auto& pair) { return pair.second.is_out_of_reach; }));
}

void target_reach::reset() {
  calls_.clear();
  doubts_.clear();
  unconnected_.clear();
  unanswered_.clear();
  cut_since_.reset();
  is_unanswered_ = false;
}

void target_reach::expire(time_point now) {
  std::erase_if(doubts_, [now](const auto& pair) {
    return now - pair.second.since > kForgotten;
  });
  std::erase_if(unconnected_, [now](const auto& pair) {
    return now - pair.second > kUnconnectedLife;
  });
  std::erase_if(heard_, [now](const auto& pair) {
    return now - pair.second > kForgotten;
  });
}

}  // namespace seamglade::gateway
