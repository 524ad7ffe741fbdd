// seamglade - the direct path's world: targets that name a limit in answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

/** A limit is judged over any span of this length ... */
constexpr duration kLimitWindow = 4s;
/** ... from so long after it was first named ... */
constexpr duration kLimitContact = 3s;
/** ... for instances that were told so long ago ... */
constexpr duration kLimitTold = 500ms;
/** ... and these get so often what it allows, and so many beside. */
constexpr double kLimitExcess = 1.5;
constexpr double kLimitSlack = 5;
/** Arrivals are kept for tests that look back. */
constexpr duration kKeptArrivals = 120s;

}  // namespace

void gateway_world::name_limit(const std::string& id, const fake_limit& limit) {
  auto& t = *targets_.at(id);
  t.limit = limit;
  if (limit.rate <= 0) {
    t.limits.clear();
    for (auto& [who, told] : t.told) told.limit_since = time_point::max();
    return;
  }
  t.limits.emplace_back(now_, limit.rate);
}

void gateway_world::add_limit(target& at,
                              std::vector<http_header>& headers) const {
  if (at.limit.text.empty() || ++at.answers % at.limit.every != 0) return;
  headers.push_back({"Server-Limit", at.limit.text});
}

std::size_t gateway_world::arrivals_at(const std::string& id,
                                       time_point from) const {
  const auto& came = targets_.at(id)->arrivals;
  return static_cast<std::size_t>(
      std::count_if(came.begin(), came.end(),
                    [&](const auto& one) { return one.when >= from; }));
}

void gateway_world::judge_limit(const instance& from, target& at) {
  auto& came = at.arrivals;
  while (!came.empty() && now_ - came.front().when > kKeptArrivals) {
    came.pop_front();
  }
  const auto told = at.told.find(from.address);
  const bool is_told = told != at.told.end() &&
                       told->second.life == from.life &&
                       told->second.limit_since < now_ - kLimitTold;
  came.push_back({now_, is_told});
  if (at.limits.empty() || now_ - at.limits.front().first < kLimitContact) {
    return;
  }
  // The greatest that was in force of late: one that fell binds in time.
  double rate = at.limits.back().second;
  for (std::size_t i = 0; i + 1 < at.limits.size(); ++i) {
    const auto ended = at.limits[i + 1].first;
    if (now_ - ended < kLimitWindow + kLimitContact) {
      rate = std::max(rate, at.limits[i].second);
    }
  }
  const auto seconds = static_cast<double>(kLimitWindow / 1ms) / 1000;
  const auto most = kLimitExcess * rate * seconds + kLimitSlack;
  const auto sum =
      std::count_if(came.begin(), came.end(), [&](const auto& one) {
        return one.is_told && now_ - one.when <= kLimitWindow;
      });
  if (static_cast<double>(sum) <= most) return;
  ++unheeded_.over_limit;
  violation(
      fmt::format("{} had named a limit of {} a second and got {} requests in "
                  "{} s; allowed {}",
                  at.id, rate, sum, seconds, most));
}

}  // namespace seamglade::fakes
