// seamglade - whether a target takes new requests, by its own word in answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_TARGET_AVAILABILITY_H_
#define SEAMGLADE_SRC_PROCESS_TARGET_AVAILABILITY_H_

#include <cstdint>
#include <optional>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** When a target started, in Unix milliseconds; 0: not known. */
using target_life = std::uint64_t;

enum class availability : std::uint8_t {
  open,
  /** Only where nothing else is left: others were turned away. */
  doubtful,
  /** It wants nothing from this instance, or a trial is under way. */
  resting,
  /** It ends, and is to get nothing new. */
  leaving
};

/**
 * What a target has said of itself, as far as it still counts.
 *
 * A target's own word goes before the entry of the platform's store, which may
 * be old or out of reach, and is believed of the life that it was said in: only
 * a later start of the target ends it. A rest ends when its time is over and a
 * request that was sent afterwards has been answered; until then one is sent at
 * a time, since a target that turns all away looks idle and draws the more.
 */
class target_availability {
 public:
  /** The target leaves in this life. Returns whether it is news. */
  bool leaves(target_life life);
  /** It wants nothing from this instance. Returns whether it is news. */
  bool asks_for_rest(time_point now, target_life life, duration rest);
  /**
   * It turned a request away, not being full, without a word of rest: it is
   * doubtful here for a time, which grows with each trial that it turns away.
   * Returns whether this is news.
   */
  bool turned_away(time_point now, target_life life, time_point sent);
  /** That it turned another instance away, as that one tells. */
  struct hearsay {
    /** Where it was told. */
    std::uint32_t domain = 0;
    /** From this instance's own failure domain, or from the target's holder. */
    bool is_near = false;
    duration rest{};
  };
  /**
   * It turned another instance away. What is told from far counts once a second
   * failure domain says the same: a target may turn away one of them alone.
   * Returns whether it is news.
   */
  bool asks_another_for_rest(time_point now, target_life life,
                             const hearsay& word);
  /**
   * It has answered a request of this instance without turning it away.
   * Returns whether that ended a rest for which others wait too.
   */
  bool answered(time_point now, time_point sent);
  /** Another instance was answered after the rest. */
  void answered_another(time_point now, target_life life, bool is_near);

  bool is_leaving(target_life life) const { return leaving_ >= life; }
  /** Returns whether the target itself asked this instance for rest. */
  bool is_at_rest(time_point now, target_life life) const;
  /** Returns how long others nearby had better leave it alone. */
  duration rest_left(time_point now, target_life life) const;
  /** `turn`: how long after a rest others are to try before this instance. */
  availability state(time_point now, target_life life, duration turn) const;
  /** Returns when it is worth another look; of one that rests. */
  time_point rests_until() const;
  /** Returns whether one request is to find out if the rest is over. */
  bool needs_trial(target_life life) const;

  /** A request goes there; returns whether it is the trial. */
  bool begin_trial(time_point now, target_life life);
  /** It ended, however. */
  void end_trial() { trial_until_ = {}; }

 private:
  /** What is known of rest is of this life from now on; false: of a later. */
  bool begin_rest(target_life life);

  /** No life yet: below any that there is. */
  std::optional<target_life> leaving_;
  /** The life that the rest was asked for in; none: it has ended. */
  std::optional<target_life> rest_life_;
  /** As it asked this instance, and another; as this one assumes. */
  time_point own_until_;
  time_point heard_until_;
  time_point assumed_until_;
  duration assumed_{};
  /** The rest that a single far domain tells of. */
  std::uint32_t far_domain_ = 0;
  time_point far_until_;
  /** When its rest was last heard of or assumed. */
  time_point doubted_at_;
  time_point trial_until_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_TARGET_AVAILABILITY_H_
