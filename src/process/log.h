// seamglade - the log: JSON lines through easylogging++
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_LOG_H_
#define SEAMGLADE_SRC_PROCESS_LOG_H_

#include <string>
#include <string_view>

#include "seamglade/controller.h"

namespace seamglade::detail {

enum class log_level : std::uint8_t { debug, info, warning, error };

/** Writes the log of one process to standard error. */
class json_log {
 public:
  explicit json_log(instance_id instance);

  /** Lines below this level are dropped. */
  void set_level(std::string_view name);
  void decision(const action::log_decision& made) const;
  /** A line for the life of the process: what happened, and to what. */
  void process(log_level level, std::string_view what,
               std::string_view detail) const;
  /** A line for something that failed, with its type. */
  void failed(std::string_view what, const failure& why) const;

 private:
  void write(log_level level, const std::string& line) const;

  instance_id instance_;
  log_level least_ = log_level::info;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_LOG_H_
