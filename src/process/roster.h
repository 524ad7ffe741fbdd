// seamglade - the living instances, known by seeds and gossip
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_ROSTER_H_
#define SEAMGLADE_SRC_PROCESS_ROSTER_H_

#include <map>
#include <random>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

struct roster_options {
  member_address self = 0;
  /** Hash of the failure domain. */
  std::uint32_t domain = 0;
  std::uint64_t incarnation = 0;
  std::vector<member_address> seeds;
  std::uint64_t random_seed = 0;
};

/**
 * The members and when each was last heard of, directly or through others.
 *
 * A member is alive while its beat goes on. Its silence is counted from the
 * time its beat was last seen to rise, by this instance's own clock.
 */
class roster {
 public:
  explicit roster(roster_options options);

  /**
   * Takes rows in; `from` sent them itself. Returns the members that were not
   * known before, or not in this life.
   */
  std::vector<member_address> merge(time_point now, member_address from,
                                    const std::vector<member_row>& rows);
  /** Takes the next beat of this instance and forgets the long silent. */
  void beat(time_point now);
  void leave() { leaving_ = true; }
  /** Takes new seeds in. */
  void set_seeds(std::vector<member_address> seeds);

  /** Returns where the next heartbeat goes. */
  std::vector<member_address> heartbeat_targets(time_point now);
  /** Returns rows to send along, this instance's first. */
  std::vector<member_row> sample();
  /** Returns the rows of all members, as far as one datagram takes them. */
  std::vector<member_row> all_rows() const;
  member_row own_row() const;

  bool is_alive(time_point now, member_address who) const;
  /** Returns the living members, this one included, in order. */
  std::vector<member_address> alive(time_point now) const;
  /** Returns the living members that do not leave, this one included. */
  std::vector<member_address> staying(time_point now) const;
  /** Returns when a member was last heard of; none: never. */
  std::optional<time_point> heard(member_address who) const;
  /** Returns when a member was last met for the first time; none: never. */
  std::optional<time_point> last_met() const { return last_met_; }
  /** Returns when the last member to fall silent was last heard of. */
  std::optional<time_point> last_silence(time_point now) const;
  /**
   * Returns whether too few of the members of the last seconds are heard: this
   * instance may be the one that is cut off.
   */
  bool is_isolated(time_point now) const;
  /** Returns how long a member may be silent before it counts as gone. */
  duration patience() const;
  std::size_t size() const { return members_.size() + 1; }
  /** Returns whether the fleet is too large for everyone to tell everyone. */
  bool is_large() const;
  bool is_leaving(member_address who) const;
  bool is_in_my_domain(member_address who) const;

 private:
  struct member_state {
    member_row row;
    time_point heard;
  };

  roster_options options_;
  std::uint64_t beat_ = 0;
  std::optional<time_point> started_;
  std::optional<time_point> last_met_;
  bool leaving_ = false;
  std::map<member_address, member_state> members_;
  std::mt19937_64 random_;
  std::size_t next_sample_ = 0;
  unsigned beats_until_seed_ = 0;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_ROSTER_H_
