// seamglade - the direct path's world: targets that are cold
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

/** A cold target fails what comes in a second above so often its rate. */
constexpr double kColdFailure = 2;
/** That a target turned cold is known to all within this time. */
constexpr duration kColdTold = 700ms;
constexpr duration kEntryPeriod = 400ms;

}  // namespace

bool gateway_world::judge_cold(target& at) {
  if (now_ >= at.cold_until || now_ < at.cold_known_from) return false;
  auto& came = at.cold_arrivals;
  // Requests are a link's delay under way: one sent before the second began and
  // come within it does not count.
  while (!came.empty() && now_ - came.front() >= 1s - kLinkDelay) {
    came.pop_front();
  }
  came.push_back(now_);
  most_while_cold_ = std::max(most_while_cold_, came.size());
  const auto sum = static_cast<double>(came.size());
  const auto& bounds = options_.cold;
  const auto most = options_.cold_rate * bounds.excess + bounds.slack;
  if (sum > most) {
    violation(fmt::format("{} got {} requests of {} in a second while cold",
                          at.id, sum, most));
  }
  return sum > kColdFailure * options_.cold_rate;
}

void gateway_world::begin_cold(target& at, duration told_within) {
  if (options_.cold_rate <= 0) return;
  at.cold_until = now_ + options_.cold_time;
  at.cold_known_from = now_ + told_within;
  at.cold_arrivals.clear();
  // It writes how much is left as it does its other heartbeats.
  for (auto wait = kEntryPeriod; wait <= options_.cold_time + kEntryPeriod;
       wait += kEntryPeriod) {
    later(wait, [this, id = at.id] {
      const auto found = targets_.find(id);
      if (found != targets_.end()) publish_target(*found->second);
    });
  }
}

void gateway_world::make_cold(const std::string& id) {
  auto& t = *targets_.at(id);
  begin_cold(t, kColdTold);
  publish_target(t);
}

}  // namespace seamglade::fakes
