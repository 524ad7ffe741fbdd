// seamglade - whether a target ended at which calls broke, and what ran there
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_END_WATCH_H_
#define SEAMGLADE_SRC_PROCESS_END_WATCH_H_

#include <map>
#include <set>
#include <vector>

#include "seamglade/gateway.h"

namespace seamglade::gateway {

/**
 * The calls that broke lately, by target.
 *
 * A call that breaks does not say that its target ended: the connection may
 * have been reset, or the answer lost. One connection is tried: a process that
 * has ended refuses it. One that hangs or comes up proves nothing: then only
 * the target's entry tells, seconds later.
 */
class end_watch {
 public:
  /** What is known of a target at which a call broke. */
  enum class verdict : std::uint8_t {
    /** A connection to it is to be tried. */
    to_probe,
    /** One is being tried, or was a moment ago. */
    awaited,
    /** It ended a moment ago: the call was there at its end. */
    ended
  };
  verdict call_broke(time_point now, target_hash target,
                     const std::vector<request_fingerprint>& suspects);
  /**
   * Returns the requests that were there at a target's end, if it ended.
   * `others_heard`: since when another target was heard last. A target that
   * refuses connections has ended only if another is heard after its calls
   * broke: else this instance may have lost its own way to them.
   */
  std::vector<request_fingerprint> probed(time_point now, target_hash target,
                                          event::target_probed::how outcome,
                                          time_point others_heard);
  /** What was there at the end of a target. */
  struct target_end {
    target_hash target = 0;
    std::vector<request_fingerprint> requests;
  };
  /** Returns when calls at a target broke; now: nothing is known of it. */
  time_point broke_at(time_point now, target_hash target) const;
  /** Returns whether a target refuses, and nothing proves its end yet. */
  bool awaits_others(target_hash target) const;
  /** Another target is heard: those that refuse connections have ended. */
  std::vector<target_end> others_heard(time_point now);
  /**
   * The target is gone without notice, or has started again: returns what broke
   * there shortly before, if no end was known.
   */
  std::vector<request_fingerprint> replaced(time_point now, target_hash target);
  /** What broke before a pause of the process tells nothing any more. */
  void reset() { groups_.clear(); }
  void expire(time_point now);

 private:
  struct group {
    time_point since;
    bool is_probing = false;
    /** It refuses connections; nothing was heard since that proves its end. */
    bool is_refusing = false;
    bool has_ended = false;
    std::set<request_fingerprint> requests;
  };

  static std::vector<request_fingerprint> conclude(group& of);

  std::map<target_hash, group> groups_;
  bool has_refusing_ = false;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_END_WATCH_H_
