// seamglade - which members were probed, and which of them did not answer
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_PROBE_LOG_H_
#define SEAMGLADE_SRC_PROCESS_PROBE_LOG_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/**
 * The probes of one instance that are under way, and how the last ones ended.
 *
 * Each member is probed by a few others at random, so what a failure detector
 * costs an instance does not grow with the fleet (SWIM, Das et al., 2002). A
 * probe without an answer is repeated through other members before it counts.
 */
class probe_log {
 public:
  /** From a probe to the request to others, and from there to the verdict. */
  static constexpr duration kAnswerTime = 500ms;

  void sent(time_point now, member_address who);
  /** Takes any sign of life. */
  void answered(member_address who);

  struct overdue_probes {
    /** Other members are to probe these. */
    std::vector<member_address> ask_others;
    /** Nobody who was asked got an answer. */
    std::vector<member_address> failed;
  };
  /** Returns what is due; to be called several times in an answer's time. */
  overdue_probes overdue(time_point now);

  /** Returns whether so many probes failed that the fault may be here. */
  bool is_in_doubt() const { return doubt_since_.has_value(); }
  std::optional<time_point> doubt_since() const { return doubt_since_; }

 private:
  struct probe {
    time_point sent;
    bool others_asked = false;
  };

  void note(time_point now, bool answered);

  std::map<member_address, probe> under_way_;
  std::deque<bool> outcomes_;
  std::optional<time_point> doubt_since_;
  std::optional<time_point> last_look_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_PROBE_LOG_H_
