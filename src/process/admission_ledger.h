// seamglade - how many requests the plain targets get at once
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_ADMISSION_LEDGER_H_
#define SEAMGLADE_SRC_PROCESS_ADMISSION_LEDGER_H_

#include <map>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/**
 * The places at plain targets that this instance hands out for the fleet.
 *
 * A target works on some requests at once and queues the others. What one more
 * would take there is told by how many it has and by how long it took for those
 * before. A request that would be late gets no place: a queue that makes all
 * late serves nobody. Without it, on a day of high load, 21 to 27 requests
 * stood at a target of 6 slots when one more was sent; half of those that ran
 * took over 249 ms, one in twenty over 442, for an objective of 300.
 */
class admission_ledger {
 public:
  /** `slots`: requests that the target works on at once. */
  admission_answer ask(time_point now, member_address from,
                       const admission_request& request, std::uint32_t slots);
  void end(time_point now, member_address from, const admission_end& message);
  /** Frees places whose time is up, and forgets targets that have none. */
  void expire(time_point now);

  /** Returns the requests that hold a place at a target. */
  std::size_t held(target_hash target) const;
  std::size_t size() const { return targets_.size(); }

 private:
  struct place {
    time_point until;
    /** How many were there when it was given. */
    std::size_t ahead = 0;
  };
  struct target_places {
    std::map<std::pair<member_address, std::uint64_t>, place> held;
    std::uint32_t slots = 1;
    /** How long a request takes that need not queue; zero: not known. */
    duration service_time{};
    /** The target said that it is full. */
    time_point full_until;
    time_point last_used;

    double queueing(std::size_t ahead) const;
    duration expected() const;
  };

  std::map<target_hash, target_places> targets_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_ADMISSION_LEDGER_H_
