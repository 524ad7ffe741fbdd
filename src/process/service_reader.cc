// seamglade - reading the configuration service: who asks, how often
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/service_reader.h"

#include <algorithm>

namespace seamglade::detail {
namespace {

constexpr duration kWatchWait = 30s;
constexpr duration kPollInterval = 60s;
constexpr duration kPollJitter = 30s;
constexpr duration kFailureWait = 1s;
constexpr duration kFailureWaitMax = 15s;
constexpr duration kLeastInterval = 200ms;

}  // namespace

void service_reader::on_published(std::uint64_t index) {
  pending_ = false;
  answered_ = true;
  failures_ = 0;
  // An index that went back means that the service lost its data: start anew
  // there; what was accepted stays.
  index_ = index;
  next_ =
      shared_.now +
      (watches_ ? kLeastInterval : kPollInterval + shared_.jitter(kPollJitter));
}

void service_reader::on_failed() {
  pending_ = false;
  failures_ = std::min(failures_ + 1, 8U);
  const auto wait = std::min(kFailureWaitMax, kFailureWait * (1 << failures_));
  next_ = shared_.now + wait / 2 + shared_.jitter(wait / 2);
}

void service_reader::on_time() {
  if (pending_ || shared_.now < next_) return;
  pending_ = true;
  const bool waits = watches_ && answered_;
  shared_.act(action::read_service{answered_ ? index_ : 0,
                                   waits ? kWatchWait : duration::zero()});
}

}  // namespace seamglade::detail
