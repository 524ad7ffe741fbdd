// seamglade - who is alive, who is near, and who should own what
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/membership.h"

#include <algorithm>

#include "seamglade/rendezvous.h"

namespace seamglade::detail {
namespace {

/** Candidates for a target in its own failure domain, and elsewhere. */
constexpr std::size_t kNearCandidates = 2;
constexpr std::size_t kFarCandidates = 1;
/** Instances of a failure domain that watch the configuration service. */
constexpr std::size_t kWatchersPerZone = 2;
/**
 * Facts are passed on along a ring to the instances at distances 1, 4, 16 and
 * so on: each has few receivers, and every other is a few hops away.
 */
constexpr std::size_t kRingBase = 4;

std::vector<candidate> live_candidates(
    const std::map<instance_id, instance_entry>& listed) {
  std::vector<candidate> all;
  for (const auto& [id, entry] : listed) {
    if (entry.state == member_state::live) all.push_back({id, entry.zone});
  }
  return all;
}

std::vector<candidate> in_zone(const std::vector<candidate>& all,
                               const std::string& zone, bool inside) {
  std::vector<candidate> some;
  for (const auto& c : all) {
    if ((c.zone == zone) == inside) some.push_back(c);
  }
  return some;
}

}  // namespace

void membership::update(const fleet_list& list) {
  listed_ = list.instances;
  const auto all = live_candidates(listed_);
  const auto& self = shared_.options.self;
  candidates_.clear();
  neighbours_.clear();
  fact_receivers_.clear();
  std::map<std::string,
           std::pair<std::vector<candidate>, std::vector<candidate>>>
      by_zone;
  for (const auto& [id, target] : list.targets) {
    auto [it, fresh] = by_zone.try_emplace(target.zone);
    if (fresh) {
      it->second = {in_zone(all, target.zone, true),
                    in_zone(all, target.zone, false)};
    }
    auto order = rendezvous_order(id, "", it->second.first, kNearCandidates);
    const auto far =
        rendezvous_order(id, "", it->second.second, kFarCandidates);
    order.insert(order.end(), far.begin(), far.end());
    if (std::find(order.begin(), order.end(), self) != order.end()) {
      neighbours_.insert(order.begin(), order.end());
    }
    candidates_.emplace(id, std::move(order));
  }
  std::vector<std::pair<std::uint64_t, instance_id>> ring;
  for (const auto& c : all) ring.emplace_back(stable_hash(c.name), c.name);
  std::sort(ring.begin(), ring.end());
  const auto at = std::find_if(ring.begin(), ring.end(),
                               [&](const auto& r) { return r.second == self; });
  const auto count = ring.size();
  if (at != ring.end()) {
    const auto place = static_cast<std::size_t>(at - ring.begin());
    for (std::size_t step = 1; step < count; step *= kRingBase) {
      fact_receivers_.insert(ring[(place + step) % count].second);
      neighbours_.insert(ring[(place + count - step) % count].second);
    }
  }
  neighbours_.insert(fact_receivers_.begin(), fact_receivers_.end());
  neighbours_.erase(self);
  const auto watchers =
      rendezvous_order("watcher", "", in_zone(all, shared_.options.zone, true),
                       kWatchersPerZone);
  is_watcher_ =
      std::find(watchers.begin(), watchers.end(), self) != watchers.end();
  shared_.live_instances = std::max<std::size_t>(1, count);
}

void membership::on_up(const instance_id& peer, std::uint64_t incarnation) {
  auto& state = peers_[peer];
  state.up = true;
  state.incarnation = incarnation;
  state.heard = shared_.now;
  state.draining = false;
}

void membership::on_down(const instance_id& peer) { peers_[peer].up = false; }

void membership::on_heartbeat(const instance_id& peer, const heartbeat& beat) {
  auto& state = peers_[peer];
  state.heard = shared_.now;
  state.draining = beat.draining;
}

bool membership::linked(const instance_id& peer) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && it->second.up;
}

std::uint64_t membership::incarnation(const instance_id& peer) const {
  const auto it = peers_.find(peer);
  return it == peers_.end() ? 0 : it->second.incarnation;
}

bool membership::fresh(const peer_state& peer) const {
  return peer.up && peer.heard + kSuspectAfter > shared_.now;
}

bool membership::alive(const instance_id& id) const {
  if (id == shared_.options.self) return !shared_.draining;
  const auto it = peers_.find(id);
  if (it == peers_.end() || it->second.draining) return false;
  // Only neighbours send heartbeats; others count as alive while linked.
  return neighbours_.contains(id) ? fresh(it->second) : it->second.up;
}

const std::vector<instance_id>& membership::candidates(
    const target_id& target) const {
  static const std::vector<instance_id> none;
  const auto it = candidates_.find(target);
  return it == candidates_.end() ? none : it->second;
}

instance_id membership::first_alive(const target_id& target) const {
  for (const auto& id : candidates(target)) {
    if (alive(id)) return id;
  }
  return {};
}

instance_id membership::first_listed(const target_id& target) const {
  const auto& order = candidates(target);
  return order.empty() ? instance_id() : order.front();
}

instance_id membership::successor(const target_id& target) const {
  for (const auto& id : candidates(target)) {
    if (id != shared_.options.self && alive(id)) return id;
  }
  return {};
}

instance_id membership::allocator(const std::string& store) const {
  std::vector<candidate> usable;
  for (const auto& c : live_candidates(listed_)) {
    if (alive(c.name)) usable.push_back(c);
  }
  const auto order = rendezvous_order("store " + store, "", usable, 1);
  return order.empty() ? shared_.options.self : order.front();
}

std::size_t membership::peers_up() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [](const auto& p) { return p.second.up; }));
}

bool membership::take_change() {
  std::set<instance_id> now_alive;
  for (const auto& id : neighbours_) {
    if (alive(id)) now_alive.insert(id);
  }
  const bool changed = now_alive != alive_before_;
  alive_before_ = std::move(now_alive);
  return changed;
}

time_point membership::next_suspicion() const {
  auto next = time_point::max();
  for (const auto& id : neighbours_) {
    const auto it = peers_.find(id);
    if (it != peers_.end() && fresh(it->second)) {
      next = std::min(next, it->second.heard + kSuspectAfter);
    }
  }
  return next;
}

}  // namespace seamglade::detail
