// seamglade - the settings file of an instance, which may be being written
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_SETTINGS_FILE_H_
#define SEAMGLADE_SRC_PROCESS_SETTINGS_FILE_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>

#include "seamglade/types.h"

namespace seamglade::detail {

/** A file without an end counts as whole once it has not changed for so long.
 */
inline constexpr duration kSettled = 1s;

/** Returns whether the last line of a settings file is `[end]`. */
bool has_settings_end(std::string_view text);

/** Reads a settings file, but only while it is whole. */
class settings_file {
 public:
  struct counters {
    /** Times that the file was waited for. */
    std::uint64_t waits = 0;
    /** Looks at it that found it missing or unfinished. */
    std::uint64_t retries = 0;
  };

  explicit settings_file(std::string path) : path_(std::move(path)) {}

  /**
   * Returns the text if it is whole: it ends with `[end]`, or has not changed
   * for a second. Fails with unreadable_file or unfinished_file, which may
   * both pass.
   */
  result<std::string> read(time_point now);
  const std::string& path() const { return path_; }
  const counters& counts() const { return counts_; }

 private:
  result<std::string> read_whole(time_point now);
  bool is_settled(time_point now, const std::string& text);

  std::string path_;
  std::string seen_;
  std::filesystem::file_time_type changed_{};
  time_point seen_since_{};
  bool is_waiting_ = false;
  counters counts_;
};

/** Tells of a file that is waited for, why, and for how long so far. */
using settings_wait_handler =
    std::function<void(const failure& why, duration waited)>;

/**
 * Returns the text of a file once it is whole, or nothing after a signal that
 * is a stop. Needs take_signals(). Runs a loop of its own; looks again every
 * 100 ms. `waiting` is called at once and every 10 s, and does not run where
 * the file is whole.
 */
std::optional<std::string> await_settings(settings_file& file,
                                          const settings_wait_handler& waiting);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_SETTINGS_FILE_H_
