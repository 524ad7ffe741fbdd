// seamglade - what a process may use, and how it is divided
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/process_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace seamglade::detail {
namespace {

/** Taken where no limit of memory is known. */
constexpr std::size_t kUsualMemory = 512UL << 20U;
/** Taken where a process may have any number of descriptors. */
constexpr std::size_t kUsualDescriptors = 4096;
/** Listeners, the loop, the standard streams, the settings and datagrams. */
constexpr std::size_t kLeastOwn = 16;
/** Connections of those who ask for readiness or metrics. */
constexpr std::size_t kMostAsking = 32;

std::size_t own_limit(__rlimit_resource what, std::size_t otherwise) {
  rlimit found{};
  if (getrlimit(what, &found) != 0) return otherwise;
  if (found.rlim_cur == RLIM_INFINITY) return otherwise;
  return found.rlim_cur;
}

std::size_t part_of(std::size_t whole, std::size_t parts) {
  return std::max<std::size_t>(1, whole / parts);
}

}  // namespace

process_limits limits_of(const gateway_config& config) {
  process_limits out;
  out.memory = std::min(own_limit(RLIMIT_AS, kUsualMemory),
                        own_limit(RLIMIT_DATA, kUsualMemory));
  out.memory = std::min(out.memory, kUsualMemory);
  if (config.memory_limit > 0) out.memory = config.memory_limit;
  const auto allowed = own_limit(RLIMIT_NOFILE, kUsualDescriptors);
  out.descriptors = allowed;
  if (config.descriptor_limit > 0) {
    out.descriptors = std::min(config.descriptor_limit, allowed);
  }
  return out;
}

memory_shares divide_memory(std::size_t limit) {
  return {limit / 2, limit / 8};
}

descriptor_shares divide_descriptors(std::size_t limit) {
  descriptor_shares out;
  out.own = kLeastOwn + limit / 16;
  const auto rest = limit > out.own ? limit - out.own : 0;
  out.calls = part_of(rest, 3);
  const auto listeners = rest > out.calls ? rest - out.calls : 0;
  out.peers = part_of(listeners, 8);
  out.ready = std::min(kMostAsking, part_of(listeners, 16));
  out.metrics = out.ready;
  const auto fleet = out.peers + out.ready + out.metrics;
  out.callers = listeners > fleet ? listeners - fleet : 1;
  return out;
}

}  // namespace seamglade::detail
