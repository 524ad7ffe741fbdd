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
/** Of fewer runs, the longest says little of the next. */
constexpr std::size_t kEnough = 16;
/** A run may take so many times the longest. */
constexpr int kCautiousFactor = 2;

}  // namespace

void run_times::learn(duration took) { last_[learned_++ % kKept] = took; }

duration run_times::longest() const {
  return *std::max_element(last_.begin(), last_.end());
}

std::optional<duration> run_times::bound() const {
  if (learned_ == 0) return std::nullopt;
  return longest() + longest() / kSlackPart + kSlack;
}

std::optional<duration> run_times::cautious_bound() const {
  if (learned_ < kEnough) return std::nullopt;
  return longest() * kCautiousFactor;
}

}  // namespace seamglade::gateway
