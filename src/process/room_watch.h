// seamglade - when an instance turns callers away for want of room
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_ROOM_WATCH_H_
#define SEAMGLADE_SRC_PROCESS_ROOM_WATCH_H_

#include <cstdint>
#include <optional>

#include "seamglade/types.h"

namespace seamglade::detail {

/** Tells when a count begins to rise, and when it has not risen for a while. */
class room_watch {
 public:
  struct change {
    bool has_ended = false;
    /** Since the count began to rise. */
    std::uint64_t turned_away = 0;
    duration lasted{};
  };

  /** Takes a look at the count; to be called some times a second. */
  std::optional<change> look(time_point now, std::uint64_t count) {
    if (count != count_) {
      const auto more = count - count_;
      count_ = count;
      risen_ = now;
      if (began_) return std::nullopt;
      began_ = now;
      before_ = count - more;
      return change{false, more, {}};
    }
    if (!began_ || now - risen_ < kCalm) return std::nullopt;
    const change out{true, count_ - before_, risen_ - *began_};
    began_.reset();
    return out;
  }

 private:
  /** A count that has not risen for so long rests. */
  static constexpr duration kCalm = 2s;

  std::uint64_t count_ = 0;
  std::uint64_t before_ = 0;
  std::optional<time_point> began_;
  time_point risen_{};
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_ROOM_WATCH_H_
