// seamglade - what may still begin in a planned stop, and until when
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/planned_stop.h"

#include <algorithm>

namespace seamglade::gateway {

void planned_stop::learn(const route& way, duration took) {
  runs_[key_of(way)].learn(took);
}

void planned_stop::keep_routes_of(const configuration& config) {
  std::erase_if(runs_, [&](const auto& pair) {
    return std::none_of(
        config.routes.begin(), config.routes.end(),
        [&](const route& way) { return key_of(way) == pair.first; });
  });
}

time_point planned_stop::answer_by(time_point until) const {
  return times_ ? std::min(until, times_->answer_by) : until;
}

duration planned_stop::expected(const route& way, duration left) const {
  const auto found = runs_.find(key_of(way));
  if (found == runs_.end()) return left;
  // A stream that takes too long is broken off; other requests get an answer.
  const auto& runs = found->second;
  const auto seen = way.stream ? runs.cautious_bound() : runs.bound();
  return std::min(left, seen.value_or(left));
}

bool planned_stop::may_begin(time_point now, const route& way, duration left,
                             duration has_run) const {
  if (!times_) return true;
  const auto rest = std::max(duration{}, expected(way, left) - has_run);
  return now + rest <= times_->answer_by;
}

}  // namespace seamglade::gateway
