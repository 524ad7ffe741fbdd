// seamglade - rendezvous hashing: who comes first for a key
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_RENDEZVOUS_H_
#define SEAMGLADE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace seamglade {

/** Returns a 64-bit hash that is the same on every instance. */
std::uint64_t stable_hash(std::string_view text);

/** Returns a number whose bits all depend on all bits (splitmix64). */
std::uint64_t mix(std::uint64_t value);

/** Returns 32 bits of stable_hash, for hints that must be small. */
std::uint32_t short_hash(std::string_view text);

/** A member that may be responsible for a key. */
struct candidate {
  std::string name;
  /** Failure domain. */
  std::string zone;
};

/**
 * Returns the names of the first `count` members for a key, best first.
 * Members of `zone` come before all others; an empty zone prefers none.
 */
std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::string_view zone,
                                          const std::vector<candidate>& all,
                                          std::size_t count);

}  // namespace seamglade

#endif  // SEAMGLADE_RENDEZVOUS_H_
