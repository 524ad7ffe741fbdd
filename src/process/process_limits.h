// seamglade - what a process may use, and how it is divided
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_PROCESS_LIMITS_H_
#define SEAMGLADE_SRC_PROCESS_PROCESS_LIMITS_H_

#include <cstddef>

#include "seamglade/gateway_config.h"

namespace seamglade::detail {

struct process_limits {
  /** Bytes of memory. */
  std::size_t memory = 0;
  std::size_t descriptors = 0;
};

/** Returns the limits that the settings name, else those of the process. */
process_limits limits_of(const gateway_config& config);

/** How the memory is divided, in bytes; the rest is the process's own. */
struct memory_shares {
  /** For requests, and for answers that callers have not taken. */
  std::size_t held = 0;
  /** For bodies of answers that are not whole yet. */
  std::size_t answers = 0;
};

memory_shares divide_memory(std::size_t limit);

/** Connections that each listener may have, and what is kept from them. */
struct descriptor_shares {
  std::size_t callers = 0;
  std::size_t peers = 0;
  std::size_t ready = 0;
  std::size_t metrics = 0;
  /** For calls to targets, other instances and the store. */
  std::size_t calls = 0;
  /** For files, listeners, datagrams and the loop. */
  std::size_t own = 0;
};

descriptor_shares divide_descriptors(std::size_t limit);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_PROCESS_LIMITS_H_
