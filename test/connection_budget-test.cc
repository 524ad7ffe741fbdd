// seamglade - which connections of an instance may be opened, and which go
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/connection_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace seamglade::detail {
namespace {

using enum connection_use;

/** Connections as the clients of an instance have them. */
class connections {
 public:
  explicit connections(std::size_t bound) : budget(bound) {}

  /** Opens one; returns its number, or -1 where there is no room. */
  int open(connection_use use) {
    if (!budget.make_room(use)) return -1;
    const int number = next_++;
    places_.emplace_back(number, std::make_unique<connection_budget::place>(
                                     budget, use, [this, number] {
                                       closed.push_back(number);
                                       close(number);
                                     }));
    return number;
  }

  void close(int number) {
    std::erase_if(places_,
                  [&](const auto& one) { return one.first == number; });
  }

  connection_budget::place& at(int number) {
    const auto found =
        std::find_if(places_.begin(), places_.end(),
                     [&](const auto& one) { return one.first == number; });
    return *found->second;
  }

  connection_budget budget;
  /** Those that were closed to make room. */
  std::vector<int> closed;

 private:
  std::vector<std::pair<int, std::unique_ptr<connection_budget::place>>>
      places_;
  int next_ = 0;
};

TEST(connection_budget, refuses_beyond_its_bound) {
  connections all(16);
  for (int n = 0; n < 16; ++n) EXPECT_GE(all.open(control), 0);
  EXPECT_EQ(all.open(control), -1);
  EXPECT_EQ(all.budget.open(), 16U);
  EXPECT_EQ(all.budget.counts().refused, 1U);
}

TEST(connection_budget, closes_the_one_idle_for_longest) {
  connections all(16);
  for (int n = 0; n < 16; ++n) all.open(control);
  all.at(5).rest();
  all.at(3).rest();
  EXPECT_EQ(all.open(control), 16);
  EXPECT_EQ(all.open(control), 17);
  EXPECT_EQ(all.open(control), -1);
  EXPECT_EQ(all.closed, (std::vector<int>{5, 3}));
}

TEST(connection_budget, requests_leave_some_for_control) {
  for (const std::size_t bound : {4U, 16U, 957U, 4096U}) {
    connections all(bound);
    std::size_t carrying = 0;
    while (all.open(requests) >= 0) ++carrying;
    EXPECT_LT(carrying, bound);
    EXPECT_GE(all.open(control), 0);
    EXPECT_LE(all.budget.open(), bound);
  }
}

TEST(connection_budget, requests_close_no_idle_connection_in_vain) {
  connections all(16);
  const int asked = all.open(control);
  all.at(asked).rest();
  while (all.open(requests) >= 0) continue;
  EXPECT_TRUE(all.closed.empty());
}

TEST(connection_budget,
     one_of_control_carries_requests_only_within_their_part) {
  connections all(16);
  const int asked = all.open(control);
  while (all.open(requests) >= 0) continue;
  all.at(asked).rest();
  EXPECT_FALSE(all.at(asked).carry(requests));
  EXPECT_TRUE(all.at(asked).carry(control));
  all.at(asked).rest();
  all.close(1);
  EXPECT_TRUE(all.at(asked).carry(requests));
}

TEST(connection_budget, stays_within_its_bound_whatever_comes) {
  std::mt19937 draw(77);
  connections all(24);
  std::vector<int> working;
  std::vector<int> idle;
  const auto drawn_of = [&](std::vector<int>& from) {
    const auto at = from.begin() + static_cast<int>(draw() % from.size());
    const int number = *at;
    from.erase(at);
    return number;
  };
  for (int step = 0; step < 20000; ++step) {
    const auto use = draw() % 3 == 0 ? control : requests;
    switch (draw() % 4) {
      case 0:
      case 1:
        if (const int made = all.open(use); made >= 0) working.push_back(made);
        for (const int number : std::exchange(all.closed, {})) {
          ASSERT_EQ(std::erase(idle, number), 1U) << "one in use was closed";
        }
        break;
      case 2:
        if (working.empty()) break;
        idle.push_back(drawn_of(working));
        all.at(idle.back()).rest();
        break;
      default:
        if (idle.empty()) break;
        const int number = drawn_of(idle);
        const bool carries = all.at(number).carry(use);
        (carries ? working : idle).push_back(number);
        if (carries && draw() % 2 == 0) {
          std::erase(working, number);
          all.close(number);
        }
    }
    ASSERT_LE(all.budget.open(), 24U);
    ASSERT_EQ(all.budget.idle(), idle.size());
    ASSERT_EQ(all.budget.open(), idle.size() + working.size());
  }
}

}  // namespace
}  // namespace seamglade::detail
