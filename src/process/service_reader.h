// seamglade - reading the configuration service: who asks, how often
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_SERVICE_READER_H_
#define SEAMGLADE_SRC_PROCESS_SERVICE_READER_H_

#include "process/core.h"

namespace seamglade::detail {

/**
 * When to call the configuration service, which counts each call.
 *
 * Watchers keep one waiting call open; the others learn from their peers and
 * poll now and then, so that calls grow with failure domains, not instances.
 */
class service_reader {
 public:
  explicit service_reader(core& shared) : shared_(shared) {}

  void set_watcher(bool watches) { watches_ = watches; }
  void on_published(std::uint64_t index);
  void on_failed();
  void on_time();
  time_point wakeup() const { return pending_ ? time_point::max() : next_; }

 private:
  core& shared_;
  bool watches_ = true;
  bool pending_ = false;
  bool answered_ = false;
  std::uint64_t index_ = 0;
  std::uint32_t failures_ = 0;
  time_point next_ = time_point::min();
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_SERVICE_READER_H_
