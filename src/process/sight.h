// seamglade - the part of the known fleet that an instance sees
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_SIGHT_H_
#define SEAMGLADE_SRC_PROCESS_SIGHT_H_

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/** The fleet as one instance sees it. */
struct fleet_view {
  /** Those that live and stay, this one included. */
  std::vector<member_address> staying;
  /** Those that fell silent without having said that they go. */
  std::vector<member_address> silent;
};

/**
 * The part of the known members that this instance sees. Those that fell silent
 * are remembered: they may serve on, on the other side of a cut, and the parts
 * that two sides see add up to no more than the whole.
 */
class sight {
 public:
  /** `settling`: how long the views of instances may differ. */
  explicit sight(duration settling = {}) : settling_(settling) {}

  void set_settling(duration settling) { settling_ = settling; }
  /** Takes a look; to be called some times a second. */
  void look(time_point now, const fleet_view& view);
  /** Returns the part in sight now, from 0 to 1. */
  double part() const;
  /**
   * Returns the least part in sight since `settling` ago: where members come
   * back, the other side may still give what it gave without this one.
   */
  double settled_part() const;

 private:
  duration settling_;
  /** Silent members, and since when. */
  std::map<member_address, time_point> missing_;
  /** Parts of late, the oldest first; each is less than those behind it. */
  std::deque<std::pair<time_point, double>> parts_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_SIGHT_H_
