// seamglade - how long the runs of a route take, as seen lately
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/run_times.h"

#include <algorithm>

namespace seamglade::gateway {
namespace {

/** A run may take this part more than the longest that was seen ... */
constexpr int kSlackPart = 8;
/** ... and so long beside. */
constexpr duration kSlack = 50ms;

}  // namespace

void run_times::learn(duration took) { last_[learned_++ % kKept] = took; }

std::optional<duration> run_times::bound() const {
  if (learned_ == 0) return std::nullopt;
  const auto longest = *std::max_element(last_.begin(), last_.end());
  return longest + longest / kSlackPart + kSlack;
}

}  // namespace seamglade::gateway
