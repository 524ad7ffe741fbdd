// seamglade - the pace of a wait at the start, and of what is said of it
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_WAIT_NOTICE_H_
#define SEAMGLADE_SRC_PROCESS_WAIT_NOTICE_H_

#include <optional>

#include "seamglade/types.h"

namespace seamglade::detail {

/** What is missing at the start is looked for again after this time. */
inline constexpr duration kStartRetry = 100ms;
/** A wait that goes on is said again after this time. */
inline constexpr duration kNoticeInterval = 10s;

/** Tells when a wait is to be said: at once, and every 10 s. */
class wait_notice {
 public:
  bool is_due(time_point now) {
    if (last_ && now - *last_ < kNoticeInterval) return false;
    last_ = now;
    return true;
  }

 private:
  std::optional<time_point> last_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_WAIT_NOTICE_H_
