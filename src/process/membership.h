// seamglade - who is alive, who is near, and who should own what
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_MEMBERSHIP_H_
#define SEAMGLADE_SRC_PROCESS_MEMBERSHIP_H_

#include <map>
#include <set>

#include "process/core.h"

namespace seamglade::detail {

inline constexpr duration kHeartbeatInterval = 500ms;
/** A neighbour not heard for this long is taken as dead. */
inline constexpr duration kSuspectAfter = 4 * kHeartbeatInterval;

/** The other instances, as this one sees them. */
class membership {
 public:
  explicit membership(core& shared) : shared_(shared) {}

  /** Takes a newer list; ranks and neighbours are worked out anew. */
  void update(const fleet_list& list);

  void on_up(const instance_id& peer, std::uint64_t incarnation);
  void on_down(const instance_id& peer);
  void on_heartbeat(const instance_id& peer, const heartbeat& beat);

  bool linked(const instance_id& peer) const;
  std::uint64_t incarnation(const instance_id& peer) const;
  /** Whether an instance may own targets, to the best of what is known. */
  bool alive(const instance_id& id) const;
  /** Neighbours: those near this instance in some target's order. */
  const std::set<instance_id>& neighbours() const { return neighbours_; }

  /** Neighbours that facts about targets are passed on to. */
  const std::set<instance_id>& fact_receivers() const {
    return fact_receivers_;
  }

  /** Returns the instances that may own a target, best first. */
  const std::vector<instance_id>& candidates(const target_id& target) const;
  /** Returns the first candidate that is alive; empty if none is. */
  instance_id first_alive(const target_id& target) const;
  /** Returns the first candidate of the list, whatever else is known. */
  instance_id first_listed(const target_id& target) const;
  /** Returns the first candidate that is alive and not this instance. */
  instance_id successor(const target_id& target) const;
  /** Returns who shares out a weight store's budget. */
  instance_id allocator(const std::string& store) const;
  /** Whether this instance watches the configuration service. */
  bool is_watcher() const { return is_watcher_; }

  std::size_t peers_up() const;
  /** Whether other neighbours are alive than at the last call. */
  bool take_change();
  /** Earliest time at which a neighbour may have to be taken as dead. */
  time_point next_suspicion() const;

 private:
  struct peer_state {
    bool up = false;
    std::uint64_t incarnation = 0;
    time_point heard = time_point::min();
    bool draining = false;
  };

  bool fresh(const peer_state& peer) const;

  core& shared_;
  std::map<instance_id, instance_entry> listed_;
  std::map<instance_id, peer_state> peers_;
  std::map<target_id, std::vector<instance_id>> candidates_;
  std::set<instance_id> neighbours_;
  std::set<instance_id> fact_receivers_;
  std::set<instance_id> alive_before_;
  bool is_watcher_ = true;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_MEMBERSHIP_H_
