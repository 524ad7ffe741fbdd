// seamglade - how many seeds a soak plays
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_SOAK_SEEDS_H_
#define SEAMGLADE_TEST_SOAK_SEEDS_H_

#include <cstdint>
#include <cstdlib>

namespace seamglade {

/** Seeds to play: 12 where SEAMGLADE_SOAK_SEEDS names no number. */
inline std::uint64_t soak_seeds() {
  const char* text = std::getenv("SEAMGLADE_SOAK_SEEDS");
  return text == nullptr ? 12 : std::strtoull(text, nullptr, 10);
}

}  // namespace seamglade

#endif  // SEAMGLADE_TEST_SOAK_SEEDS_H_
