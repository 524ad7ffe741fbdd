// seamglade - the direct path: what several files of its decisions share
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_GATEWAY_COMMON_H_
#define SEAMGLADE_SRC_PROCESS_GATEWAY_COMMON_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** Where changes came from, for the log. */
inline constexpr std::string_view kFromStore = "store";
/** After a failure a watch is held this long: silence is to be seen soon. */
inline constexpr duration kProbeWait = 50ms;
/**
 * An answer of the store that is this much later than due is asked for again on
 * a new connection: the kept one may have fallen silent without a reset.
 */
inline constexpr duration kReadPatience = 300ms;
/** A copy so fresh says that the store answers somebody. */
inline constexpr duration kStoreBack = 1500ms;

/** After an answer of another history than the copy's. */
inline constexpr duration kOtherEpochPause = 100ms;
/** A copy of the store so fresh lacks no version that already writes. */
inline constexpr duration kFreshCopy = 2s;
/** In a large fleet, members that keep word of a stream beside its instance. */
inline constexpr std::size_t kOriginKeepers = 4;
/** An answer is given this long before the time is up. */
inline constexpr duration kAnswerMargin = 30ms;
/** Why a stream that is taken up is refused: nobody can tell its version. */
inline constexpr std::string_view kVersionUnknown = "stream_version_unknown";
/** When a request that was not run is worth another try. */
inline constexpr duration kComeBackSoon = 300ms;

/** Returns whole milliseconds, for the log. */
inline std::int64_t to_ms(duration time) { return time / 1ms; }

/** Returns thousandths, for the log. */
inline std::int64_t to_milli(double value) {
  constexpr double most = 1e12;
  return std::llround(std::min(value, most) * 1000);
}

/** Where a change of the store's copy came from. */
struct change_origin {
  std::string_view source;
  /** Entries that went may have lapsed with the store. */
  bool is_lapse = false;
  /** The store is of a later epoch and may hold older items than are known. */
  bool is_restored = false;
  /** A peer has it of a former epoch; the store holds an older one. */
  bool is_kept = false;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_GATEWAY_COMMON_H_
