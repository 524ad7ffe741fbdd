// seamglade - which targets are to be tried since a connection to them ended
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_LIFE_CHECKS_H_
#define SEAMGLADE_SRC_PROCESS_LIFE_CHECKS_H_

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "seamglade/answer_end.h"
#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/**
 * The end of a connection does not tell whether its target ended too. One
 * connection is tried a moment later: a process that has ended refuses it.
 */
class life_checks {
 public:
  void connection_ended(time_point now, target_hash target) {
    due_.try_emplace(target, now + kAllSocketsClosed);
  }
  /** Returns the targets that are to be tried now. */
  std::vector<target_hash> take_due(time_point now) {
    std::vector<target_hash> out;
    for (const auto& [target, when] : due_) {
      if (when <= now) out.push_back(target);
    }
    for (const auto target : out) {
      due_.erase(target);
      tried_[target] = now;
    }
    return out;
  }
  /**
   * A connection to a target came up, or did not. Returns up to when it had not
   * ended if it lives; none: the connection was not tried for that.
   */
  std::optional<time_point> tried(target_hash target, time_point begun) {
    const auto found = tried_.find(target);
    if (found == tried_.end() || begun < found->second) return std::nullopt;
    tried_.erase(found);
    return begun - kAllSocketsClosed;
  }
  /** Returns when the next is due; none: nothing is. */
  std::optional<time_point> next_due() const {
    std::optional<time_point> next;
    for (const auto& [target, when] : due_) {
      next = std::min(next.value_or(when), when);
    }
    return next;
  }

 private:
  std::map<target_hash, time_point> due_;
  /** Targets that are being tried, and since when. */
  std::map<target_hash, time_point> tried_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_LIFE_CHECKS_H_
