// seamglade - what a copy of the platform's store may hold
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_VERSION_COPY_BOUNDS_H_
#define SEAMGLADE_SRC_VERSION_COPY_BOUNDS_H_

#include <cstddef>

namespace seamglade::gateway {

/**
 * Bytes of keys and values: more than 36,000 adapters' versions, a large
 * configuration and 780 targets' entries take. While a read is taken in there
 * are a few times as many, in the read, the copy and what is news.
 */
inline constexpr std::size_t kMostCopyBytes = 16UL << 20U;

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_VERSION_COPY_BOUNDS_H_
