// seamglade - which targets an instance reaches over its own connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_TARGET_REACH_H_
#define SEAMGLADE_SRC_PROCESS_TARGET_REACH_H_

#include <map>
#include <vector>

#include "seamglade/gateway.h"

namespace seamglade::gateway {

/**
 * Which targets this instance reaches; free of I/O.
 *
 * A target is doubtful when a call to it is overdue, breaks or gets no
 * connection, unless it was heard since. A connection to a doubtful target is
 * tried; if it fails, the target is out of reach until it is heard or accepts a
 * connection.
 *
 * The instance is cut off from all targets when several are out of reach and
 * none was heard since the first of them became doubtful. It is also cut off
 * when several refused a connection for a call and none accepted one since;
 * calls on kept connections may go on then. Such cuts end with the first
 * connection that is accepted, to any target.
 *
 * What stands between may accept connections and give nothing back: the
 * instance is cut off, too, when calls to several targets have had no byte for
 * a while in which no byte came from any. Only a byte ends such a cut; now and
 * then a request is tried for it.
 */
class target_reach {
 public:
  /** A call went out; its first byte is overdue after `bound`. */
  void called(time_point now, target_hash target, call_id call, duration bound);
  /** Nothing more is learned from the call. */
  void ended(call_id call) { calls_.erase(call); }
  /** A call broke before its answer, or is overdue. */
  void failed(time_point now, target_hash target);
  /** No connection came up for a call. */
  void not_connected(time_point now, target_hash target);
  /** A new connection came up; returns whether it ends a cut. */
  bool connected(time_point now);
  /** Takes any byte from a target; returns whether it ends a cut. */
  bool heard(time_point now, target_hash target);
  /** A connection that was tried ended so; returns whether it ends a cut. */
  bool probed(time_point now, target_hash target, bool is_connected);
  /**
   * Returns the doubtful targets to which a connection is to be tried now; none
   * in a cut. `known`: how many targets there are.
   */
  std::vector<target_hash> due_probes(time_point now, std::size_t known);
  /**
   * Returns whether a request is to be sent to see if a byte comes back; then
   * it is taken, and the next is due later.
   */
  bool take_trial(time_point now);
  /**
   * Returns how many targets that owe no byte are to be asked for one: too few
   * are called to tell a silent target from a lost way. Then it is taken, and
   * the next question is due later.
   */
  std::size_t take_witnesses(time_point now, std::size_t known);
  /** Whether a target owes a byte since one last came from any. */
  bool owes_byte(target_hash target) const;
  /** Returns how many targets, any of them, are to be tried now in a cut. */
  std::size_t probes_due_in_cut(time_point now);

  bool is_out_of_reach(target_hash target) const;
  /** Returns whether this instance reaches no target at all. */
  bool is_cut_off() const { return cut_since_.has_value(); }
  /** Returns whether kept connections are silent too. */
  bool is_all_silent() const { return cut_since_ && is_silent_; }
  std::optional<time_point> cut_since() const { return cut_since_; }
  /** Returns how many targets were found to be out of reach. */
  std::size_t out_of_reach() const;
  /** Returns when any target last gave a byte or accepted a connection. */
  time_point last_heard() const { return last_heard_; }
  /** Drops all evidence: this process stood still. */
  void reset();
  /** Drops what is known of targets that are no more. */
  void expire(time_point now);

 private:
  struct watched_call {
    target_hash target = 0;
    time_point asked;
    time_point due;
  };
  struct doubt {
    time_point since;
    time_point next_probe;
    duration pause{};
    bool is_probing = false;
    bool is_out_of_reach = false;
  };

  /** The target gave a byte, or accepted a connection. */
  bool reached(time_point now, target_hash target);
  void doubt_overdue(time_point now);
  void look_for_cut(time_point now, std::size_t known);
  bool has_lost_all(std::size_t known) const;
  bool is_refused_by_all(time_point now, std::size_t known) const;
  bool is_unanswered_by_all(time_point now, std::size_t known) const;
  /** Returns how many targets accept connections and owe a byte for long. */
  std::size_t count_owing(time_point now) const;
  bool end_cut(time_point now);

  std::map<call_id, watched_call> calls_;
  std::map<target_hash, doubt> doubts_;
  std::map<target_hash, time_point> heard_;
  time_point last_heard_{};
  /** Targets that took no connection since one last came up. */
  std::map<target_hash, time_point> unconnected_;
  /** What a target owes a byte for since one last came from any. */
  struct owed_byte {
    time_point since;
    /** It has accepted a connection since. */
    bool is_accepting = false;
  };
  std::map<target_hash, owed_byte> unanswered_;
  std::optional<time_point> cut_since_;
  bool is_silent_ = false;
  /** Connections are accepted in this cut. */
  bool is_unanswered_ = false;
  time_point next_trial_{};
  time_point next_probe_in_cut_{};
  time_point next_witnesses_{};
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_TARGET_REACH_H_
