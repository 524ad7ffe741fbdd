// seamglade - the bound on the bytes that an instance holds for others
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/byte_budget.h"

#include <gtest/gtest.h>

#include <memory>

namespace seamglade::detail {
namespace {

constexpr std::size_t kBound = 16UL << 20U;
constexpr std::size_t kMegabyte = 1UL << 20U;

using share = byte_budget::share;

std::unique_ptr<share> share_of(byte_budget& budget,
                                listener_use use = listener_use::callers) {
  return std::make_unique<share>(budget, use, [] {});
}

TEST(byte_budget, lets_large_requests_have_half) {
  byte_budget budget(kBound);
  const auto first = share_of(budget);
  const auto second = share_of(budget);
  EXPECT_TRUE(first->reserve(8 * kMegabyte));
  EXPECT_FALSE(second->reserve(kSmallRequest + 1));
  EXPECT_EQ(second->reserved(), 0U);
  EXPECT_EQ(budget.reserved(), 8 * kMegabyte);
}

TEST(byte_budget, keeps_room_for_small_requests_beside_large_ones) {
  byte_budget budget(kBound);
  const auto large = share_of(budget);
  ASSERT_TRUE(large->reserve(8 * kMegabyte));
  std::vector<std::unique_ptr<share>> small;
  std::size_t let_in = 0;
  while (small.emplace_back(share_of(budget))->reserve(kSmallRequest)) {
    ++let_in;
  }
  EXPECT_EQ(let_in, 16U);
}

TEST(byte_budget, keeps_room_for_the_fleet_beside_callers) {
  byte_budget budget(kBound);
  std::vector<std::unique_ptr<share>> small;
  while (small.emplace_back(share_of(budget))->reserve(kSmallRequest)) {
  }
  const auto peer = share_of(budget, listener_use::fleet);
  EXPECT_TRUE(peer->reserve(kSmallRequest));
}

TEST(byte_budget, gives_back_what_ends) {
  byte_budget budget(kBound);
  auto one = share_of(budget);
  ASSERT_TRUE(one->reserve(8 * kMegabyte));
  one->set_unsent(100);
  one->release();
  EXPECT_EQ(budget.reserved(), 0U);
  EXPECT_TRUE(one->reserve(8 * kMegabyte));
  one.reset();
  EXPECT_EQ(budget.reserved(), 0U);
  EXPECT_EQ(budget.unsent(), 0U);
}

TEST(byte_budget, lets_a_request_grow_and_shrink) {
  byte_budget budget(kBound);
  const auto one = share_of(budget);
  EXPECT_TRUE(one->reserve(kMegabyte));
  EXPECT_TRUE(one->reserve(3 * kMegabyte));
  EXPECT_FALSE(one->reserve(9 * kMegabyte));
  EXPECT_EQ(one->reserved(), 3 * kMegabyte);
  EXPECT_TRUE(one->reserve(2 * kMegabyte));
  EXPECT_EQ(budget.reserved(), 2 * kMegabyte);
}

TEST(byte_budget, breaks_off_those_with_the_most_unsent_until_all_fits) {
  byte_budget budget(kBound);
  std::vector<std::unique_ptr<share>> all(4);
  for (auto& one : all) {
    one = std::make_unique<share>(budget, listener_use::callers,
                                  [&one] { one.reset(); });
  }
  all[0]->set_unsent(kMegabyte);
  all[1]->set_unsent(4 * kMegabyte);
  all[2]->set_unsent(3 * kMegabyte);
  all[3]->set_unsent(kMegabyte);
  budget.relieve();
  EXPECT_TRUE(all[0]);
  EXPECT_FALSE(all[1]);
  EXPECT_TRUE(all[2]);
  EXPECT_TRUE(all[3]);
  EXPECT_EQ(budget.unsent(), 5 * kMegabyte);
}

TEST(byte_budget, knows_what_never_fits) {
  const byte_budget budget(kBound);
  EXPECT_TRUE(budget.can_ever_hold(listener_use::callers, 8 * kMegabyte));
  EXPECT_FALSE(budget.can_ever_hold(listener_use::callers, 8 * kMegabyte + 1));
}

}  // namespace
}  // namespace seamglade::detail
