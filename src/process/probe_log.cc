// seamglade - which members were probed, and which of them did not answer
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/probe_log.h"

#include <algorithm>
#include <utility>

namespace seamglade::gateway {
namespace {

/** The outcomes by which an instance judges itself. */
constexpr std::size_t kOutcomes = 9;
constexpr std::size_t kLeastOutcomes = 6;
/** In doubt from two failed probes in three on. */
constexpr std::ptrdiff_t kFailedPart = 2;
constexpr std::ptrdiff_t kOfParts = 3;
/**
 * A longer time between two looks is a pause of this process: answers may lie
 * unread, so it does not count against those who sent them.
 */
constexpr duration kLookPause = 150ms;

}  // namespace

void probe_log::sent(time_point now, member_address who) {
  under_way_.try_emplace(who, probe{now});
}

void probe_log::answered(member_address who) {
  if (under_way_.erase(who) > 0) note({}, true);
}

void probe_log::note(time_point now, bool answered) {
  outcomes_.push_back(answered);
  if (outcomes_.size() > kOutcomes) outcomes_.pop_front();
  const auto failed = std::count(outcomes_.begin(), outcomes_.end(), false);
  const auto all = static_cast<std::ptrdiff_t>(outcomes_.size());
  const bool doubtful = outcomes_.size() >= kLeastOutcomes &&
                        failed * kOfParts >= all * kFailedPart;
  if (!doubtful) {
    doubt_since_.reset();
  } else if (!doubt_since_) {
    doubt_since_ = now;
  }
}

probe_log::overdue_probes probe_log::overdue(time_point now) {
  const auto passed = now - last_look_.value_or(now);
  last_look_ = now;
  overdue_probes out;
  for (auto at = under_way_.begin(); at != under_way_.end();) {
    auto& [who, asked] = *at;
    if (passed > kLookPause) asked.sent += passed;
    const auto waited = now - asked.sent;
    if (waited > 2 * kAnswerTime) {
      out.failed.push_back(who);
      at = under_way_.erase(at);
      continue;
    }
    if (waited > kAnswerTime && !std::exchange(asked.others_asked, true)) {
      out.ask_others.push_back(who);
    }
    ++at;
  }
  for (std::size_t i = 0; i < out.failed.size(); ++i) note(now, false);
  return out;
}

}  // namespace seamglade::gateway
