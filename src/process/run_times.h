// seamglade - how long the runs of a route take, as seen lately
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_RUN_TIMES_H_
#define SEAMGLADE_SRC_PROCESS_RUN_TIMES_H_

#include <array>
#include <cstddef>
#include <optional>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** The longest of the last runs, from the call to the end of the answer. */
class run_times {
 public:
  /** Takes a run in; of one that was given up, how long it had lasted. */
  void learn(duration took);
  /** Returns a time within which nearly each run ends; none: none was seen. */
  std::optional<duration> bound() const;
  /**
   * Returns a time that a run takes longer than only if runs have changed, for
   * where that does harm; none: too few were seen.
   */
  std::optional<duration> cautious_bound() const;

 private:
  duration longest() const;

  static constexpr std::size_t kKept = 32;

  std::array<duration, kKept> last_{};
  std::size_t learned_ = 0;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_RUN_TIMES_H_
