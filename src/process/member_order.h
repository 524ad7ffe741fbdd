// seamglade - rendezvous order of members: who comes first for a duty
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_MEMBER_ORDER_H_
#define SEAMGLADE_SRC_PROCESS_MEMBER_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/** Returns a member's weight for a key; the greatest comes first. */
std::uint64_t member_weight(std::uint64_t key, member_address member);

/**
 * Returns the first members in a key's rendezvous order, at most so many; the
 * same on all instances that see the same fleet.
 */
std::vector<member_address> first_members(
    std::uint64_t key, const std::vector<member_address>& members,
    std::size_t most);

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_MEMBER_ORDER_H_
