// seamglade - how many requests a target takes, by its own word in answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_TARGET_LIMIT_H_
#define SEAMGLADE_SRC_PROCESS_TARGET_LIMIT_H_

#include <optional>

#include "process/target_availability.h"
#include "seamglade/types.h"

namespace seamglade::gateway {

/**
 * The limit that a target's answers name, of requests a second from all
 * instances together.
 *
 * It holds for the life of the target that it was named in, until an answer
 * names another or none. A lower one binds at once. What lifts a limit, wholly
 * or in part, has to be the answer to a request that was sent after the limit
 * was last named: answers overtake each other, and too much cannot be taken
 * back.
 */
class target_limit {
 public:
  /** A change of a limit, as one instance tells it to another. */
  struct notice {
    target_life life = 0;
    /** Requests a second; 0: it names none any more. */
    double rate = 0;
    /** When it was named, or when a request was sent whose answer lifted it. */
    time_point at;
  };

  /**
   * An answer to a request that was sent then names a limit. Returns whether
   * this is news.
   */
  bool named(time_point now, target_life life, double rate, time_point sent);
  /** An answer of the target itself names none; returns whether it is news. */
  bool unnamed(time_point now, target_life life, time_point sent);
  /** Another instance tells; returns whether it is news. */
  bool told(time_point now, const notice& heard);

  /** Returns requests a second; none: no limit is known in this life. */
  std::optional<double> rate(target_life life) const;
  /** Returns what others are to be told; none: it never named a limit. */
  std::optional<notice> to_tell() const;

 private:
  /** What is known is of this life from now on; false: of a later one. */
  bool begin(target_life life);
  void set(time_point now, double rate, time_point at);

  /** None: it never named a limit. */
  std::optional<target_life> life_;
  /** 0: it names none any more. */
  double rate_ = 0;
  /** As of notice::at. */
  time_point at_;
  /** It was lifted whole then, since an answer named none. */
  time_point lifted_;
  /** Answers in a row that named none, where one is not enough. */
  unsigned unnamed_ = 0;
  /** It names a limit in some answers and none in others. */
  bool is_unsteady_ = false;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_TARGET_LIMIT_H_
