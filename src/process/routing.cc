// seamglade - the controller: documents, ownership and routing
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <array>
#include <bit>

#include "process/controller_impl.h"
#include "seamglade/rendezvous.h"

namespace seamglade {
namespace {

using detail::route;
using detail::target_owner;

/** The shortest wait that is told. */
constexpr std::uint32_t kLeastWaitMs = 100;
/** The longest wait that is told. */
constexpr std::uint32_t kMostWaitMs = 60'000;
/** A holder this busy makes another copy of its adapter worth a load. */
constexpr int kBusyLoads = 1;

/** Waits are told in steps of two, so that small changes cause no messages. */
std::uint32_t wait_step(duration wait) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  if (ms < kLeastWaitMs) return 0;
  const auto told = std::min<std::int64_t>(ms, kMostWaitMs);
  return std::bit_floor(static_cast<std::uint32_t>(told));
}

std::string pool_of(const target_entry& target) {
  return target.service + "/" + target.base;
}

std::string pool_of(const request_spec& spec) {
  return spec.service + "/" + (spec.adapter ? spec.adapter->base : "");
}

}  // namespace

void controller::impl::offer(const std::string& name, const std::string& text,
                             std::uint64_t index) {
  const auto before = store_.fleet().stamp;
  const auto outcome = store_.offer(name, text, index);
  if (outcome.result == detail::offer_result::refused) {
    for (const auto& f : outcome.failures) {
      core_.log(action::decision_kind::reject, {}, name,
                std::string(to_string(f.code)) + ": " + f.detail, {},
                {std::to_string(f.line)});
    }
  }
  if (outcome.result != detail::offer_result::accepted) return;
  core_.log(action::decision_kind::accept, {}, name,
            "index " + std::to_string(index));
  documents_changed_ = true;
  fleet_changed_ = fleet_changed_ || before != store_.fleet().stamp;
  // Neighbours that lack it ask as soon as they see the new digest.
  next_beat_ = core_.now;
}

void controller::impl::apply_documents() {
  documents_changed_ = false;
  core_.config_index = store_.newest_index();
  core_.tree = std::make_shared<const settings_tree>(store_.documents());
  if (fleet_changed_) apply_fleet();
  update_owners(fleet_changed_);
  fleet_changed_ = false;
}

void controller::impl::apply_fleet() {
  const auto& fleet = store_.fleet();
  members_.update(fleet);
  reader_.set_watcher(members_.is_watcher());
  instance_names_.clear();
  target_names_.clear();
  action::link_peers links;
  for (const auto& [id, entry] : fleet.instances) {
    instance_names_[short_hash(id)] = id;
    if (id != core_.options.self) links.peers.push_back(entry);
  }
  core_.act(std::move(links));
  for (const auto& [id, entry] : fleet.targets) {
    target_names_[short_hash(id)] = id;
  }
}

void controller::impl::update_owners(bool list_changed) {
  const auto& fleet = store_.fleet();
  std::map<std::string, std::vector<target_id>> pools;
  for (const auto& [id, entry] : fleet.targets) {
    pools[pool_of(entry)].push_back(id);
  }
  const auto pool_changed = [&](const std::string& pool) {
    const auto before = by_service_.find(pool);
    return before == by_service_.end() || before->second != pools[pool];
  };
  for (const auto& [id, entry] : fleet.targets) {
    const auto& candidates = members_.candidates(id);
    const bool mine = std::find(candidates.begin(), candidates.end(),
                                core_.options.self) != candidates.end();
    const auto it = owners_.find(id);
    if (it != owners_.end()) {
      it->second.update(entry, pool_changed(pool_of(entry)));
    } else if (mine) {
      owners_.try_emplace(id, core_, permits_, *this, *policy_, entry);
    }
    const auto& s = core_.tree->at(pool_of(entry));
    permits_.set_limits(s.weight_store,
                        {static_cast<double>(s.store_rate),
                         static_cast<double>(s.store_parallel)});
  }
  for (auto it = owners_.begin(); it != owners_.end();) {
    auto& owner = it->second;
    if (!fleet.targets.contains(it->first)) {
      // Gone from the list: finish what runs, take nothing new.
      auto entry = owner.entry();
      entry.state = member_state::leaving;
      owner.update(entry, false);
      owner.set_first(false, list_changed);
      if (owner.idle()) {
        it = owners_.erase(it);
        continue;
      }
    }
    ++it;
  }
  by_service_ = std::move(pools);
  refresh_first(list_changed);
}

void controller::impl::refresh_first(bool list_changed) {
  if (!caught_up_) return;
  const auto& self = core_.options.self;
  for (auto& [id, owner] : owners_) {
    if (!store_.fleet().targets.contains(id)) continue;
    const bool listed = owner.owner().mode() == detail::owner_mode::listed;
    const auto first =
        listed ? members_.first_listed(id) : members_.first_alive(id);
    owner.set_first(first == self, list_changed);
  }
}

void controller::impl::publish_facts(const target_owner& owner) {
  if (!owner.owner().held()) return;
  const auto target = short_hash(owner.entry().id);
  const auto wall = core_.wall();
  last_fact_clock_ =
      std::max(last_fact_clock_ + 1,
               wall ? static_cast<std::uint64_t>(wall->count()) << 8 : 0);
  const auto clock = last_fact_clock_;
  facts_.set(target, kOwnerSubject, short_hash(core_.options.self), clock);
  facts_.set(target, kWaitSubject, wait_step(owner.queue_wait()), clock);
  auto& known = published_[owner.entry().id];
  std::set<std::uint64_t> held;
  for (const auto& name : owner.loaded()) held.insert(stable_hash(name));
  for (const auto adapter : known) {
    if (!held.contains(adapter)) facts_.set(target, adapter, 0, clock);
  }
  for (const auto adapter : held) facts_.set(target, adapter, 1, clock);
  known = std::move(held);
}

instance_id controller::impl::owner_of(const target_id& target) const {
  const auto it = owners_.find(target);
  if (it != owners_.end() && it->second.owner().held()) {
    return core_.options.self;
  }
  const auto fact = facts_.value(short_hash(target), kOwnerSubject);
  if (fact) {
    const auto name = instance_names_.find(*fact);
    if (name != instance_names_.end() && name->second != core_.options.self &&
        members_.alive(name->second)) {
      return name->second;
    }
  }
  return members_.first_alive(target);
}

duration controller::impl::reported_wait(const target_id& target) const {
  const auto it = owners_.find(target);
  if (it != owners_.end() && it->second.owner().held()) {
    return it->second.queue_wait();
  }
  const auto ms = facts_.value(short_hash(target), kWaitSubject).value_or(0);
  return std::chrono::milliseconds(ms);
}

std::vector<target_id> controller::impl::usable_targets(
    const request_spec& spec, const std::set<target_id>& tried) const {
  std::vector<target_id> usable;
  const auto pool = by_service_.find(pool_of(spec));
  if (pool == by_service_.end()) return usable;
  for (const auto& id : pool->second) {
    const auto& entry = store_.fleet().targets.at(id);
    const bool leaving = entry.state == member_state::leaving &&
                         core_.options.switches.refuse_leaving;
    if (!leaving && !tried.contains(id)) usable.push_back(id);
  }
  return usable;
}

std::vector<target_id> controller::impl::keyed_target(
    const request_spec& spec) const {
  const auto pool = by_service_.find(pool_of(spec));
  if (pool == by_service_.end()) return {};
  std::vector<candidate> all;
  for (const auto& id : pool->second) all.push_back({id, {}});
  return rendezvous_order(spec.idempotency_key, {}, all, 1);
}

route controller::impl::route_to(const target_id& target) const {
  const auto owner = owner_of(target);
  return {target, owner, members_.incarnation(owner)};
}

std::optional<route> controller::impl::choose(
    const request_spec& spec, const std::set<target_id>& tried,
    std::vector<std::string>& weighed) {
  const auto reachable = [&](const target_id& id) {
    const auto owner = owner_of(id);
    return !owner.empty() &&
           (owner == core_.options.self || members_.linked(owner));
  };
  if (!spec.idempotency_key.empty()) {
    // Every instance sends a key to the same target, whose owner knows it.
    weighed = keyed_target(spec);
    if (weighed.empty() || !reachable(weighed.front())) return std::nullopt;
    return route_to(weighed.front());
  }
  auto usable = usable_targets(spec, tried);
  std::erase_if(usable, [&](const auto& id) { return !reachable(id); });
  if (usable.empty()) return std::nullopt;
  if (!spec.adapter) {
    weighed = usable;
    // Equal waits are spread by a draw.
    const auto offset = core_.random() % usable.size();
    std::rotate(usable.begin(), usable.begin() + static_cast<long>(offset),
                usable.end());
    return route_to(*std::min_element(
        usable.begin(), usable.end(), [&](const auto& a, const auto& b) {
          return reported_wait(a) < reported_wait(b);
        }));
  }
  return choose_engine(spec, usable, weighed);
}

std::optional<route> controller::impl::choose_engine(
    const request_spec& spec, const std::vector<target_id>& usable,
    std::vector<std::string>& weighed) {
  const auto name = spec.adapter->str();
  const auto& s = core_.tree->at(spec.service + "/" + spec.adapter->base);
  std::set<target_id> holders;
  for (const auto target : facts_.holders(stable_hash(name))) {
    const auto known = target_names_.find(target);
    if (known == target_names_.end()) continue;
    if (std::find(usable.begin(), usable.end(), known->second) !=
        usable.end()) {
      holders.insert(known->second);
    }
  }
  const target_id* best = nullptr;
  for (const auto& id : holders) {
    weighed.push_back(id);
    if (best == nullptr || reported_wait(id) < reported_wait(*best)) {
      best = &id;
    }
  }
  const bool busy =
      best != nullptr && reported_wait(*best) > kBusyLoads * s.load_estimate;
  if (best != nullptr && (!busy || holders.size() >= s.replicas_max)) {
    return route_to(*best);
  }
  std::vector<candidate> all;
  for (const auto& id : usable) {
    if (!holders.contains(id)) all.push_back({id, {}});
  }
  // All entry instances send the misses of an adapter to the same target.
  const auto order = rendezvous_order(name, {}, all, 2);
  weighed.insert(weighed.end(), order.begin(), order.end());
  if (order.empty()) return route_to(*best);
  if (best != nullptr &&
      reported_wait(order.front()) + s.load_estimate >= reported_wait(*best)) {
    return route_to(*best);
  }
  if (order.size() == 2 &&
      reported_wait(order[0]) > reported_wait(order[1]) + s.load_estimate) {
    return route_to(order[1]);
  }
  return route_to(order.front());
}

void controller::impl::deliver(const route& where, submit request) {
  if (where.owner == core_.options.self) {
    submit_here(core_.options.self, std::move(request));
    return;
  }
  core_.act(action::send_peer{where.owner, std::move(request)});
}

void controller::impl::tell(const instance_id& owner, message what) {
  if (owner == core_.options.self) {
    if (const auto* gone = std::get_if<cancel>(&what)) {
      for (auto& [id, target] : owners_) target.cancel(gone->id);
    }
    return;
  }
  if (members_.linked(owner)) {
    core_.act(action::send_peer{owner, std::move(what)});
  }
}

controller_status controller::impl::status() const {
  auto out = core_.counters;
  out.ready = ready();
  out.draining = core_.draining;
  out.peers_up = members_.peers_up();
  out.callers_waiting = entry_.size();
  out.requests_served = served_.open();
  out.settings_index = store_.newest_index();
  out.settings_digest = store_.digest();
  out.facts = facts_.size();
  for (const auto& [id, owner] : owners_) {
    auto target = owner.status();
    target.owner = owner_of(id);
    out.targets.push_back(std::move(target));
  }
  return out;
}

std::string_view to_string(order_kind kind) {
  static constexpr std::array<std::string_view, 4> names{"report", "claim",
                                                         "load", "unload"};
  return names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(order_status status) {
  static constexpr std::array<std::string_view, 6> names{
      "done", "stale", "busy", "full", "failed", "unreachable"};
  return names.at(static_cast<std::size_t>(status));
}

std::string_view to_string(action::decision_kind kind) {
  static constexpr std::array<std::string_view, 9> names{
      "route", "refuse",    "dispatch", "load",  "unload",
      "claim", "step_back", "accept",   "reject"};
  return names.at(static_cast<std::size_t>(kind));
}

}  // namespace seamglade
