// seamglade - tests of rendezvous hashing
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/rendezvous.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

namespace seamglade {
namespace {

std::vector<candidate> members(int count) {
  std::vector<candidate> all;
  for (int i = 0; i < count; ++i) {
    all.push_back({fmt::format("i{}", i), i % 2 == 0 ? "north" : "south"});
  }
  return all;
}

TEST(rendezvous_order, spreads_keys_evenly) {
  constexpr int kKeys = 7000;
  std::map<std::string, int> firsts;
  for (int i = 0; i < kKeys; ++i) {
    ++firsts[rendezvous_order(fmt::format("e{}", i), {}, members(7), 1)[0]];
  }
  for (const auto& [name, count] : firsts) {
    EXPECT_NEAR(count, kKeys / 7.0, kKeys / 70.0) << name;
  }
}

TEST(rendezvous_order, moves_only_the_keys_of_a_member_that_left) {
  auto fewer = members(7);
  fewer.pop_back();
  for (int i = 0; i < 1000; ++i) {
    const auto key = fmt::format("e{}", i);
    const auto before = rendezvous_order(key, {}, members(7), 2);
    const auto after = rendezvous_order(key, {}, fewer, 1);
    EXPECT_EQ(after[0], before[0] == "i6" ? before[1] : before[0]);
  }
}

TEST(rendezvous_order, prefers_the_zone_of_the_key) {
  const auto order = rendezvous_order("e1", "south", members(6), 6);
  for (std::size_t i = 0; i < order.size(); ++i) {
    const bool south = (order[i].back() - '0') % 2 == 1;
    EXPECT_EQ(south, i < 3);
  }
}

// Two of fifteen instances once gave their requests the same ids.
TEST(stable_hash, tells_short_names_with_neighbouring_numbers_apart) {
  std::map<std::uint64_t, std::string> seen;
  for (int name = 0; name < 100; ++name) {
    for (int number = 0; number < 100; ++number) {
      const auto text = fmt::format("i{}#{:x}", name, number);
      EXPECT_TRUE(seen.emplace(stable_hash(text), text).second) << text;
    }
  }
}

}  // namespace
}  // namespace seamglade
