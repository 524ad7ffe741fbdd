// seamglade - the direct path: which instances watch the whole store
//
// A few do, the first in an order that all know. An instance that hears of no
// fresh contact watches by itself, as does one whose word of keys grows old.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

constexpr std::size_t kWatchers = 2;
constexpr std::size_t kLargeWatchers = 3;
/** Contact with the store older than this is no longer trusted. */
constexpr duration kFresh = 1900ms;
/** In a large fleet news takes longer; one more watches at a time. */
constexpr duration kLargeFresh = 2200ms;
constexpr duration kWatcherStep = 50ms;
constexpr duration kLongestWatcherWait = 4s;
constexpr duration kWatchOrderLife = 500ms;
constexpr std::string_view kWatchDuty = "watch";

std::uint64_t watch_weight(member_address member) {
  return hash_of(std::string(kWatchDuty) + std::to_string(member));
}

}  // namespace

bool gateway_core::impl::should_watch() {
  if (is_key_word_old()) return true;
  return roster_.is_large() ? is_watcher_of_large_fleet()
                            : is_watcher_of_mesh();
}

bool gateway_core::impl::is_watcher_of_large_fleet() {
  const auto rank = watch_rank();
  if (rank < kLargeWatchers) return true;
  const auto wait = std::min(kLongestWatcherWait,
                             static_cast<std::int64_t>(rank) * kWatcherStep);
  return copy_age() > kLargeFresh + wait;
}

const std::vector<member_address>& gateway_core::impl::watch_order() {
  if (now_ < watch_order_until_) return watch_order_;
  watch_order_until_ = now_ + kWatchOrderLife;
  std::vector<std::pair<std::uint64_t, member_address>> weighed;
  for (const auto member : staying_) {
    weighed.emplace_back(watch_weight(member), member);
  }
  std::sort(weighed.begin(), weighed.end());
  watch_order_.clear();
  for (const auto& [weight, member] : weighed) watch_order_.push_back(member);
  if (roster_.has_several_regions()) put_regions_first();
  return watch_order_;
}

void gateway_core::impl::put_regions_first() {
  // Copies spread inside a region from the one that watches there.
  std::vector<member_address> firsts;
  std::vector<member_address> others;
  std::set<std::uint32_t> seen;
  for (const auto member : watch_order_) {
    const bool is_first = seen.insert(roster_.region_of(member)).second;
    (is_first ? firsts : others).push_back(member);
  }
  watch_order_ = std::move(firsts);
  watch_order_.insert(watch_order_.end(), others.begin(), others.end());
}

std::size_t gateway_core::impl::watch_rank() {
  const auto& order = watch_order();
  const auto mine = std::find(order.begin(), order.end(), options_.self);
  return static_cast<std::size_t>(mine - order.begin());
}

bool gateway_view::is_watcher_of_mesh() const {
  struct candidate {
    std::uint64_t weight;
    member_address who;
  };
  std::vector<candidate> able;
  bool fresh = false;
  for (const auto member : roster_.alive(now_)) {
    const auto weight = watch_weight(member);
    if (member == options_.self) {
      able.push_back({weight, member});
      continue;
    }
    const auto peer = peers_.find(member);
    if (peer == peers_.end()) continue;
    // What it knows of a former history is not taken here.
    if (peer->second.position.epoch < mirror_.epoch()) continue;
    const auto age = peer->second.store_age + (now_ - peer->second.heard);
    if (peer->second.watching && age < kFresh) fresh = true;
    if (roster_.is_leaving(member)) continue;
    // One that watches in vain is no help.
    if (!peer->second.watching || age < kFresh) {
      able.push_back({weight, member});
    }
  }
  if (!fresh) return true;
  std::sort(able.begin(), able.end(),
            [](const auto& a, const auto& b) { return a.weight < b.weight; });
  if (able.size() > kWatchers) able.resize(kWatchers);
  return std::any_of(able.begin(), able.end(),
                     [&](const auto& c) { return c.who == options_.self; });
}

}  // namespace seamglade::gateway
