// seamglade - this instance's part of the fleet's budget of repeats
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_RETRY_BUDGET_H_
#define SEAMGLADE_SRC_PROCESS_RETRY_BUDGET_H_

#include <algorithm>

#include "seamglade/types.h"

namespace seamglade::gateway {

/**
 * A bucket of tokens, one for each repeat.
 *
 * Every request adds a share of a token; a constant rate adds the instance's
 * part of what is allowed beyond that share. The fleet's bound holds because
 * each instance keeps its part; nobody is asked.
 */
class retry_budget {
 public:
  /** `ratio` of a token a request, `extra` tokens in a window. */
  void configure(double ratio, double extra, duration window) {
    ratio_ = ratio;
    extra_ = extra;
    window_ = window;
  }
  void request(time_point now) {
    refill(now);
    tokens_ = std::min(capacity(), tokens_ + ratio_);
  }
  /** Takes a token; returns false if there is none. */
  bool take(time_point now) {
    refill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  // Half of the extra may be spent at once, half comes back in a window.
  double capacity() const { return std::max(1.0, extra_ / 2); }
  void refill(time_point now) {
    if (!started_) {
      started_ = true;
      tokens_ = capacity();
    } else {
      const double passed = static_cast<double>((now - last_).count()) /
                            static_cast<double>(window_.count());
      tokens_ = std::min(capacity(), tokens_ + passed * extra_ / 2);
    }
    last_ = now;
  }

  double ratio_ = 0;
  double extra_ = 0;
  duration window_ = 10s;
  double tokens_ = 0;
  bool started_ = false;
  time_point last_{};
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_RETRY_BUDGET_H_
