// seamglade - rendezvous hashing over xxhash
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/rendezvous.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace seamglade {

std::uint64_t stable_hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

std::uint32_t short_hash(std::string_view text) {
  return static_cast<std::uint32_t>(stable_hash(text));
}

std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::string_view zone,
                                          const std::vector<candidate>& all,
                                          std::size_t count) {
  struct scored {
    bool far;
    std::uint64_t weight;
    const std::string* name;
    bool operator<(const scored& other) const {
      // The name decides a tie, so that every instance sees one order.
      return std::tie(far, other.weight, *name) <
             std::tie(other.far, weight, *other.name);
    }
  };
  std::vector<scored> order;
  order.reserve(all.size());
  for (const auto& member : all) {
    const bool far = !zone.empty() && member.zone != zone;
    order.push_back({far, stable_hash(fmt::format("{}/{}", key, member.name)),
                     &member.name});
  }
  const auto wanted = std::min(count, order.size());
  std::partial_sort(order.begin(), order.begin() + wanted, order.end());
  std::vector<std::string> names;
  names.reserve(wanted);
  for (std::size_t i = 0; i < wanted; ++i) names.push_back(*order[i].name);
  return names;
}

}  // namespace seamglade
