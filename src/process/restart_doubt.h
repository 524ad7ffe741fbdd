// seamglade - whether a target may have started again without our knowledge
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_RESTART_DOUBT_H_
#define SEAMGLADE_SRC_PROCESS_RESTART_DOUBT_H_

#include <algorithm>
#include <optional>

#include "seamglade/types.h"

namespace seamglade::gateway {

/**
 * A target may start again under its id and address, with other software. From
 * the moment at which that may have happened, what its entry says of it is in
 * doubt, until the store's word of a later time is here.
 */
class restart_doubt {
 public:
  /** A target that ends is not back sooner. */
  static constexpr duration kLeastRestart = 300ms;
  /** A target that starts has written its entry within a heartbeat. */
  static constexpr duration kEntryWritten = 1500ms;
  /** One that has written none for three heartbeats is unlisted. */
  static constexpr duration kEntryKept = 3600ms;
  /** What came before a connection broke may be read so much later. */
  static constexpr duration kInFlight = 20ms;

  /** A connection to it broke. */
  void broke(time_point now, std::optional<time_point> confirmed) {
    open(now, now + kLeastRestart, confirmed);
  }
  /** It took no connection: it may have ended some time ago. */
  void refused(time_point now, std::optional<time_point> confirmed) {
    open(now, now, confirmed);
  }
  /** Bytes came from it, in answer to what was sent then. */
  void heard(time_point now, time_point sent) {
    if (!from_ || now - last_ <= kInFlight) return;
    if (now < *from_ || sent < last_) {
      from_.reset();
    } else if (!back_) {
      back_ = now;
    }
  }
  /** It took a connection. */
  void connected(time_point now) {
    if (from_ && !back_ && now > last_) back_ = now;
  }
  /** It is seen to live, and did not end before `until`. */
  void lives(time_point now, time_point until) {
    if (!from_ || now >= *from_) return;
    if (last_ <= until) return from_.reset();
    from_ = std::max(*from_, until + kLeastRestart);
  }
  /** The store's word of its next life came. */
  void told() { from_.reset(); }
  /** `confirmed`: the copy of the store was last known to be right then. */
  bool is_open(time_point now, std::optional<time_point> confirmed) const {
    return from_ && now >= *from_ && !is_settled(confirmed);
  }

 private:
  bool is_settled(std::optional<time_point> confirmed) const {
    if (!confirmed) return false;
    return *confirmed >= last_ + kEntryKept ||
           (back_ && *confirmed >= *back_ + kEntryWritten);
  }
  void open(time_point now, time_point from,
            std::optional<time_point> confirmed) {
    if (from_ && is_settled(confirmed)) from_.reset();
    from_ = from_ ? std::min(*from_, from) : from;
    last_ = std::max(last_, now);
    if (back_ && now > *back_) back_.reset();
  }

  /** None: there is no doubt. */
  std::optional<time_point> from_;
  /** The last sign of an end. */
  time_point last_{};
  /** It had started by then; none: nothing came from it since the last sign. */
  std::optional<time_point> back_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_RESTART_DOUBT_H_
