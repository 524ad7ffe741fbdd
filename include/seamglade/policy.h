// seamglade - placement: what an engine loads, evicts and runs next
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_POLICY_H_
#define SEAMGLADE_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "seamglade/types.h"

namespace seamglade {

enum class slot_state : std::uint8_t { loading, loaded, unloading };

/** An adapter slot of an engine, as its owner knows it. */
struct slot_view {
  const adapter_ref* adapter = nullptr;
  slot_state state = slot_state::loaded;
  std::uint32_t running = 0;
  /** Whether it may be unloaded: idle, not pinned and not held by scripts. */
  bool evictable = false;
  time_point last_used;
  /** Requests a second for the adapter, decayed. */
  double demand = 0;
  /** Waiting requests that this adapter serves. */
  std::uint32_t waiting = 0;
};

/** Requests that wait for one adapter. */
struct waiting_view {
  const adapter_ref* adapter = nullptr;
  std::uint32_t urgent = 0;
  std::uint32_t deferred = 0;
  /** Arrival of the oldest urgent one, or of the oldest if none is. */
  time_point oldest;
  /** Earliest time by which one of them must start. */
  time_point start_by;
  double demand = 0;
  bool loaded = false;
  bool loading = false;
  /** Whether loads are held off after failures. */
  bool backing_off = false;
};

/** Everything a policy may know of one engine. */
struct engine_view {
  time_point now;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t max_running = 0;
  /** Loads that the store's budget lets this engine begin now. */
  std::uint32_t load_permits = 0;
  /** Slots that are being emptied for loads to come. */
  std::uint32_t unloading = 0;
  duration load_estimate{};
  std::uint32_t stall_weight = 0;
  std::uint32_t batch_weight = 0;
  std::vector<slot_view> held;
  /** In order of arrival of the oldest request. */
  std::vector<waiting_view> waiting;
};

enum class step_kind : std::uint8_t { start, load, evict };

/** One step: start a request of an adapter, or load or evict the adapter. */
struct placement_step {
  step_kind kind = step_kind::start;
  adapter_ref adapter;
  /** Requests to start, urgent ones first; 1 for loads and evictions. */
  std::uint32_t count = 1;
};

/** A load that an engine waits for leave to begin. */
struct load_want {
  urgency kind = urgency::urgent;
  /** Since when the oldest request has waited for it. */
  time_point since;

  friend bool operator==(const load_want&, const load_want&) = default;
};

/** Decides the next steps of one engine; keeps no state of its own. */
class placement_policy {
 public:
  virtual ~placement_policy() = default;
  /** Returns steps that may be taken now, in order. */
  virtual std::vector<placement_step> next(const engine_view& view) const = 0;
  /** Returns whether one more load wants a permit, and how urgently. */
  virtual std::optional<load_want> wants_permit(
      const engine_view& view) const = 0;
};

/** Least recently used, a load on every miss, first come first served. */
std::unique_ptr<placement_policy> make_naive_policy();

/** Protected and probation slots, urgent loads first, grouped batches. */
std::unique_ptr<placement_policy> make_segmented_policy();

}  // namespace seamglade

#endif  // SEAMGLADE_POLICY_H_
