// seamglade - rendezvous order of members: who comes first for a duty
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/member_order.h"

#include <algorithm>

#include "seamglade/rendezvous.h"

namespace seamglade::gateway {

std::uint64_t member_weight(std::uint64_t key, member_address member) {
  return mix(key ^ mix(member));
}

std::vector<member_address> first_members(
    std::uint64_t key, const std::vector<member_address>& members,
    std::size_t most) {
  auto order = members;
  const auto count = std::min(most, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(count),
                    order.end(), [&](member_address a, member_address b) {
                      return member_weight(key, a) > member_weight(key, b);
                    });
  order.resize(count);
  return order;
}

}  // namespace seamglade::gateway
