// seamglade - how fast a target reads prompts, learned from first events
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_READ_PACE_H_
#define SEAMGLADE_SRC_PROCESS_READ_PACE_H_

#include <cstdint>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** Microseconds for a token of a prompt before anything was seen. */
inline constexpr double kFirstPace = 40;

/**
 * Microseconds that a target takes for a token of a prompt.
 *
 * An average weighted by tokens whose older part fades with each observation;
 * what the target had in its prompt memory, and what others made it read,
 * are in it.
 */
class read_pace {
 public:
  /** A first event came `took` after `tokens` were there to be read. */
  void learn(duration took, std::uint32_t tokens) {
    took_us_ = took_us_ * kKept + static_cast<double>(took.count());
    tokens_ = tokens_ * kKept + static_cast<double>(tokens);
  }

  /** Returns the pace; near `usual` while little has been seen. */
  double us_per_token(double usual) const {
    return (took_us_ + kTrust * usual) / (tokens_ + kTrust);
  }

 private:
  /** Of ten observations, the oldest counts a third. */
  static constexpr double kKept = 0.9;
  /** Tokens for which the usual pace stands in. */
  static constexpr double kTrust = 5000;

  double took_us_ = 0;
  double tokens_ = 0;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_READ_PACE_H_
