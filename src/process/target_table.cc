// seamglade - the targets of the direct path: who they are, how they fare
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_table.h"

#include <algorithm>
#include <utility>

#include "process/residency_log.h"
#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

constexpr std::uint32_t kFailuresToEject = 3;
constexpr duration kFirstEjection = 700ms;
constexpr duration kLongestEjection = 6s;
/** A holder's word on what its target holds is good for this long. */
constexpr duration kResidencyLife = 4s;
/** An entry of the store may be this much older than its arrival. */
constexpr duration kEntryLag = 1500ms;
constexpr duration kPeerLoadLife = 1500ms;
/** Adapters that are taken to be in a target's memory still, at most. */
constexpr std::size_t kHeldLately = 100;
constexpr duration kGoneKept = 20s;
/** Entries that lapsed with the store are back within this time. */
constexpr duration kLapseKept = 2s;
/** The entry of a target that has ended lapses within this time. */
constexpr duration kEndedListed = 6s;

/** Whether a target has started again between the writing of two entries. */
bool is_next_life(const target_entry& before, const target_entry& now) {
  if (now.started_ms != before.started_ms) {
    return now.started_ms > before.started_ms;
  }
  if (now.started_ms != 0) return false;
  // Of one that doesn't tell its start: what it counts begins anew.
  return now.software != before.software || now.sequence < before.sequence;
}

}  // namespace

target_hash hash_of(const target_id& id) { return stable_hash(id); }

bool target_state::holds(time_point now, const adapter_name& name,
                         std::uint32_t version) const {
  if (name.adapter.empty()) {
    return std::any_of(entry.models.begin(), entry.models.end(),
                       [&](const auto& m) { return m.name == name.model; });
  }
  // The store's entries lag: a holder's word of the same time is newer.
  if (is_residency_fresh(now) && entry_heard - residency_heard < kEntryLag) {
    const auto* place = find_place(residency.places, hash_of(name));
    return place != nullptr && place->ready && place->version >= version;
  }
  return std::any_of(entry.adapters.begin(), entry.adapters.end(),
                     [&](const held_adapter& held) {
                       return held.name == name && held.version >= version;
                     });
}

bool target_state::is_residency_fresh(time_point now) const {
  return residency.fence != 0 && now - residency_heard < kResidencyLife;
}

std::uint32_t target_state::running_on(const adapter_name& name) const {
  const auto* place = find_place(residency.places, hash_of(name));
  return place == nullptr ? 0 : place->running;
}

target_work target_state::work(time_point now) const {
  auto total = own;
  for (const auto& [peer, load] : peers) {
    if (now - load.heard < kPeerLoadLife) total += load.work;
  }
  if (now - residency_heard >= kPeerLoadLife) return total;
  const auto& told = residency.work;
  return {std::max(total.running, told.running),
          std::max(total.reading, told.reading),
          std::max(total.reading_urgent, told.reading_urgent)};
}

bool target_state::take_residency(time_point now, residency_message word) {
  if (!merge_word(residency, std::move(word))) return false;
  const auto known = std::exchange(loading, {});
  for (const auto& place : residency.places) {
    held_lately[place.adapter] = now;
    if (place.ready) continue;
    const auto since = known.find(place.adapter);
    loading[place.adapter] = since == known.end() ? now : since->second;
  }
  while (held_lately.size() > kHeldLately) {
    held_lately.erase(std::min_element(
        held_lately.begin(), held_lately.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  residency_heard = now;
  return true;
}

void target_state::forget_place(const adapter_name& name) {
  std::erase_if(residency.places,
                [adapter = hash_of(name)](const adapter_place& place) {
                  return place.adapter == adapter;
                });
  residency.edition = 0;
}

void target_table::list(time_point now, target_entry entry) {
  const auto [at, is_new] = targets_.try_emplace(entry.id);
  auto& state = at->second;
  if (is_new) {
    state.hash = hash_of(entry.id);
    by_hash_[state.hash] = entry.id;
  }
  state.gone = false;
  state.doubted_until = {};
  state.entry_heard = now;
  if (is_next_life(state.entry, entry)) state.doubt.told();
  // Counted from now, not from when it was written: later is safer.
  if (entry.cold_left > duration{}) {
    state.cold_until = std::max(state.cold_until, now + entry.cold_left);
  }
  state.entry = std::move(entry);
}

void target_table::list_again(time_point now, const target_id& id) {
  auto* state = find(id);
  if (state == nullptr || !state->gone) return;
  state->gone = false;
  const bool had_lapsed = state->lapsed_until > state->gone_since;
  if (!had_lapsed) state->doubted_until = now + kEndedListed;
}

void target_table::unlist(time_point now, const target_id& id, bool lapsed) {
  auto* state = find(id);
  if (state == nullptr || state->gone) return;
  state->gone = true;
  state->gone_since = now;
  state->lapsed_until = lapsed ? now + kLapseKept : now;
}

void target_table::expire(time_point now) {
  std::erase_if(targets_, [&](const auto& pair) {
    const auto& state = pair.second;
    const bool drop = state.gone && state.own.running == 0 &&
                      now - state.gone_since > kGoneKept;
    if (drop) by_hash_.erase(state.hash);
    return drop;
  });
}

target_state* target_table::find(const target_id& id) {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

target_state* target_table::find(target_hash hash) {
  const auto found = by_hash_.find(hash);
  return found == by_hash_.end() ? nullptr : find(found->second);
}

std::vector<target_state*> target_table::usable(time_point now,
                                                std::string_view service,
                                                const target_check& passes) {
  std::vector<target_state*> good;
  std::vector<target_state*> ejected;
  for (auto& [id, state] : targets_) {
    if (state.entry.service != service || state.has_left(now)) continue;
    if (passes && !passes(state)) continue;
    if (state.is_ejected(now)) {
      ejected.push_back(&state);
    } else {
      good.push_back(&state);
    }
  }
  // With most of them out, the word against them is worth little: spread.
  if (good.size() < ejected.size()) {
    good.insert(good.end(), ejected.begin(), ejected.end());
  }
  return good;
}

std::vector<const target_state*> target_table::listed() const {
  std::vector<const target_state*> out;
  for (const auto& [id, state] : targets_) {
    if (!state.gone) out.push_back(&state);
  }
  return out;
}

std::vector<target_state*> target_table::staying(time_point now) {
  std::vector<target_state*> out;
  for (auto& [id, state] : targets_) {
    if (!state.has_left(now)) out.push_back(&state);
  }
  return out;
}

void target_table::succeeded(target_state& target) {
  target.failures_in_a_row = 0;
  target.ejection = {};
  target.ejected_until = {};
}

void target_table::failed(time_point now, target_state& target, bool severe) {
  ++target.failures_in_a_row;
  if (!severe && target.failures_in_a_row < kFailuresToEject) return;
  if (target.is_ejected(now)) return;
  target.ejection = target.ejection == duration{}
                        ? kFirstEjection
                        : std::min(kLongestEjection, target.ejection * 2);
  target.ejected_until = now + target.ejection;
}

}  // namespace seamglade::gateway
