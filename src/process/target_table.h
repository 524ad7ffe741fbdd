// seamglade - the targets of the direct path: who they are, how they fare
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_TARGET_TABLE_H_
#define SEAMGLADE_SRC_PROCESS_TARGET_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/** Returns the hash by which instances name a target to each other. */
target_hash hash_of(const target_id& id);

/** One target as this instance believes it to be. */
struct target_state {
  target_entry entry;
  target_hash hash = 0;
  /** The store no longer lists it. */
  bool gone = false;
  time_point gone_since;
  /** Its entry may have lapsed while the store was away: used until then. */
  time_point lapsed_until;

  /** Requests of this instance that are under way there. */
  std::uint32_t running = 0;
  /** Requests of each peer, as it last said. */
  struct peer_load {
    std::uint32_t running = 0;
    time_point heard;
  };
  std::map<member_address, peer_load> peer_loads;

  /** What its holder says it holds. */
  residency_message residency;
  time_point residency_heard;
  /** When the store's entry last changed here. */
  time_point entry_heard;

  std::uint32_t failures_in_a_row = 0;
  time_point ejected_until;
  duration ejection{};

  /** Returns whether an adapter is there and ready, at a version or above. */
  bool holds(time_point now, const adapter_name& name,
             std::uint32_t version) const;
  /** Returns the requests of all instances that run on an adapter there. */
  std::uint32_t running_on(const adapter_name& name) const;
  /** Returns the requests of all instances, as last heard. */
  std::uint32_t total_running(time_point now) const;
  bool is_ejected(time_point now) const { return now < ejected_until; }
  /** Returns whether the target gets no new work any more. */
  bool has_left(time_point now) const {
    return entry.draining || (gone && now >= lapsed_until);
  }
};

/** The targets by id, and by the service they belong to. */
class target_table {
 public:
  void list(time_point now, target_entry entry);
  /** `lapsed`: the store was away, so the target may live on. */
  void unlist(time_point now, const target_id& id, bool lapsed);
  /** Drops what has long been gone and has nothing under way. */
  void expire(time_point now);

  target_state* find(const target_id& id);
  target_state* find(target_hash hash);
  /** Returns the targets that may get new work, in order of their ids. */
  std::vector<target_state*> usable(time_point now, std::string_view service);
  /** Returns all that have not left. */
  std::vector<target_state*> staying(time_point now);

  void succeeded(target_state& target);
  /** `severe`: it cannot be reached at all. */
  void failed(time_point now, target_state& target, bool severe);

  std::size_t size() const { return targets_.size(); }

 private:
  std::map<target_id, target_state> targets_;
  std::map<target_hash, target_id> by_hash_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_TARGET_TABLE_H_
