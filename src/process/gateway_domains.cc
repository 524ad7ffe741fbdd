// seamglade - the direct path: which targets may get a request at all
//
// Each reason answers for itself; the choice among those that are left, and
// what it costs, is gateway_placement.cc. Operators evacuate a failure domain
// by an item of the store: until that goes, its targets get no request, no
// order and no question. Their holders keep them.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/status_codes.h"

namespace seamglade::gateway {
namespace {

/** Operators alone know when it ends: callers are not to come at once. */
constexpr duration kComeBackLater = 1s;
/**
 * Members that each tells of an evacuation, those behind it in an order that
 * all share: where the store turns most away and none of the watchers is in
 * touch, word goes round from the few that read it, past lost messages and past
 * members that are down.
 */
constexpr std::size_t kToldNext = 4;
constexpr std::string_view kAllEvacuated = "domains_evacuated";
constexpr std::string_view kNoRegion = "no_allowed_region";
constexpr std::string_view kVersionGone = "stream_version_gone";

}  // namespace

bool gateway_core::impl::evacuate(const evacuation& word,
                                  std::uint64_t revision) {
  if (!domains_.evacuate(word.failure_domain)) return false;
  for (const auto& [id, keeper] : keepers_) {
    const auto* target = targets_.find(id);
    const bool is_there = target != nullptr &&
                          target->entry.failure_domain == word.failure_domain;
    if (is_there) resting_.insert(id);
  }
  log("domain_evacuated",
      {{"domain", word.failure_domain},
       {"revision", static_cast<std::int64_t>(revision)},
       {"copy_age_ms", to_ms(copy_age())}},
      true);
  return true;
}

bool gateway_core::impl::take_back(std::string_view domain,
                                   std::uint64_t revision) {
  const auto returning_for = longest_cold_time();
  if (!domains_.take_back(now_, domain, returning_for)) return false;
  log("domain_taken_back",
      {{"domain", std::string(domain)},
       {"revision", static_cast<std::int64_t>(revision)},
       {"copy_age_ms", to_ms(copy_age())},
       {"returning_ms", to_ms(returning_for)}},
      true);
  return true;
}

void gateway_core::impl::pass_on_evacuations(
    const std::vector<store_item>& news) {
  if (!roster_.is_large()) return;
  news_message message;
  message.epoch = mirror_.epoch();
  for (const auto& item : news) {
    if (platform_.evacuated_by_key(item.key)) message.items.push_back(item);
  }
  if (message.items.empty()) return;
  const auto& ring = watch_order();
  const auto mine = watch_rank();
  for (std::size_t i = 1; i <= std::min(kToldNext, ring.size()); ++i) {
    const auto to = ring[(mine + i) % ring.size()];
    if (to != options_.self) do_act(action::send_datagram{to, message});
  }
}

duration gateway_view::longest_cold_time() const {
  duration longest{};
  if (!config_) return longest;
  for (const auto& [name, service] : config_->services) {
    longest = std::max(longest, service.cold_time);
  }
  return longest;
}

bool gateway_view::gets_nothing(const target_state& target) const {
  return domains_.is_evacuated(target.entry.failure_domain) ||
         target.own_word.is_at_rest(now_, target.entry.started_ms);
}

bool gateway_core::impl::is_at_rest(target_keeper& keeper) {
  const auto& id = keeper.id();
  const auto* target = targets_.find(id);
  if (target != nullptr && gets_nothing(*target)) {
    resting_.insert(id);
    return true;
  }
  const auto found = resting_.find(id);
  if (found == resting_.end()) return false;
  // The last order before the evacuation may still be taken until it is
  // answered; a target may have lost everything since.
  if (!keeper.is_idle()) return true;
  resting_.erase(found);
  keeper.read_anew(now_);
  return false;
}

bool gateway_view::is_in_allowed_region(const exchange& x,
                                        const target_state& target) const {
  const auto& domain = target.entry.failure_domain;
  if (!regions_.is_allowed(domain, x.way->regions)) return false;
  return x.owner == nullptr || regions_.is_allowed(domain, x.owner->regions);
}

bool gateway_view::may_run_at(const exchange& x,
                              const target_state& target) const {
  if (target.has_left(now_)) return false;
  if (domains_.is_evacuated(target.entry.failure_domain)) return false;
  return is_in_allowed_region(x, target) && may_go_on_at(x, target);
}

std::vector<target_state*> gateway_core::impl::targets_for(const exchange& x) {
  // Checked before failures are weighed: the few that may serve it are not to
  // be passed over because of others that may not.
  auto out = targets_.usable(
      now_, x.service->name,
      [&](const target_state& target) { return may_be_sent_to(x, target); });
  // Where nothing else is left, a belief is no reason to refuse.
  const auto first_suspect = std::stable_partition(
      out.begin(), out.end(), [&](const target_state* target) {
        if (availability_of(*target) == availability::doubtful) return false;
        if (is_out_of_reach(*target)) return false;
        return !is_suspect(*target) || is_trial(x, *target);
      });
  if (first_suspect != out.begin()) out.erase(first_suspect, out.end());
  return out;
}

std::optional<std::string_view> gateway_core::impl::why_unservable(
    const exchange& x) {
  bool has_target = false;
  bool has_version = false;
  bool is_allowed = false;
  for (const auto* target : targets_.staying(now_)) {
    if (target->entry.service != x.service->name) continue;
    if (may_run_at(x, *target)) return std::nullopt;
    has_target = true;
    has_version = has_version || may_go_on_at(x, *target);
    is_allowed = is_allowed || is_in_allowed_region(x, *target);
  }
  if (!has_target) return std::nullopt;
  if (!has_version) return kVersionGone;
  return is_allowed ? kAllEvacuated : kNoRegion;
}

bool gateway_core::impl::refuse_unservable(exchange& x) {
  const auto reason = why_unservable(x);
  if (!reason) return false;
  if (*reason == kVersionGone) ++counts_.origin_gone;
  if (x.head_sent) return false;
  if (*reason == kNoRegion) ++counts_.no_allowed_region;
  if (*reason == kAllEvacuated) ++counts_.all_evacuated;
  if (x.runs > 0) {
    // It may have run where it was first sent: nothing is promised.
    refuse(x, kBadGateway, {}, *reason);
  } else {
    // A version that has gone does not come back.
    const auto later = *reason == kVersionGone ? duration{} : kComeBackLater;
    refuse(x, kUnavailable, later, *reason);
  }
  return true;
}

proximity gateway_view::distance_to(const target_state& target) const {
  return regions_.between(options_.failure_domain, target.entry.failure_domain);
}

}  // namespace seamglade::gateway
