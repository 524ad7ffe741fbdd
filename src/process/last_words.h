// seamglade - the last line of a process that ends otherwise than by a stop
//
// The line is a JSON object as the others of the log: `ms`, `up_ms`,
// `instance`, the event `ended`, and its `reason`: `signal`, `exception`,
// `terminate` or `failed_start`.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_LAST_WORDS_H_
#define SEAMGLADE_SRC_PROCESS_LAST_WORDS_H_

#include <string_view>

#include "seamglade/failure.h"

namespace seamglade::detail {

/**
 * From now on a process that an exception ends, or SIGSEGV, SIGBUS, SIGFPE,
 * SIGILL or SIGABRT, first writes why to `fd`, or to standard error if `fd`
 * takes nothing. What was to follow then follows.
 */
void install_last_words(int fd);

/** Names the instance for the line; a long name is cut. */
void name_in_last_words(std::string_view instance);

/** Writes the line for a start that failed. */
void write_failed_start(const failure& why);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_LAST_WORDS_H_
