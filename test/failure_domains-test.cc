// seamglade - the state of failure domains, and how near they are
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/failure_domains.h"

#include <gtest/gtest.h>

#include "process/region_map.h"

namespace seamglade::gateway {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

TEST(failure_domains, an_evacuation_stands_until_it_is_taken_back) {
  failure_domains domains;
  EXPECT_EQ(domains.state(kStart, "a"), domain_state::in_service);
  EXPECT_TRUE(domains.evacuate("a"));
  EXPECT_FALSE(domains.evacuate("a"));
  EXPECT_EQ(domains.state(kStart + 240h, "a"), domain_state::evacuated);
  EXPECT_FALSE(domains.is_evacuated("b"));
  EXPECT_EQ(domains.evacuated(), 1U);
  EXPECT_TRUE(domains.take_back(kStart, "a", 0ms));
  EXPECT_EQ(domains.state(kStart, "a"), domain_state::in_service);
  EXPECT_EQ(domains.evacuated(), 0U);
}

TEST(failure_domains, only_an_evacuated_domain_is_taken_back) {
  failure_domains domains;
  EXPECT_FALSE(domains.take_back(kStart, "a", 5s));
  domains.suspect(kStart, "a", 1s);
  EXPECT_FALSE(domains.take_back(kStart, "a", 5s));
  EXPECT_EQ(domains.state(kStart + 2s, "a"), domain_state::in_service);
}

TEST(failure_domains, one_taken_back_returns_for_as_long_as_it_may_be_cold) {
  failure_domains domains;
  domains.evacuate("a");
  domains.take_back(kStart, "a", 5s);
  EXPECT_EQ(domains.state(kStart + 4999ms, "a"), domain_state::returning);
  EXPECT_EQ(domains.state(kStart + 5s, "a"), domain_state::in_service);
}

TEST(failure_domains, one_that_returns_can_be_evacuated_again) {
  failure_domains domains;
  domains.evacuate("a");
  domains.take_back(kStart, "a", 5s);
  EXPECT_TRUE(domains.evacuate("a"));
  EXPECT_EQ(domains.state(kStart + 1s, "a"), domain_state::evacuated);
}

TEST(failure_domains, no_sign_of_life_ends_an_evacuation) {
  failure_domains domains;
  domains.evacuate("a");
  domains.suspect(kStart, "a", 1s);
  EXPECT_EQ(domains.state(kStart, "a"), domain_state::evacuated);
  domains.clear("a");
  EXPECT_EQ(domains.state(kStart, "a"), domain_state::evacuated);
}

TEST(failure_domains, a_suspicion_ends_by_itself_or_with_a_sign_of_life) {
  failure_domains domains;
  domains.suspect(kStart, "a", 2s);
  domains.suspect(kStart, "a", 1s);
  EXPECT_EQ(domains.state(kStart + 1500ms, "a"), domain_state::suspect);
  EXPECT_EQ(domains.state(kStart + 2s, "a"), domain_state::in_service);
  domains.suspect(kStart, "a", 2s);
  domains.clear("a");
  EXPECT_EQ(domains.state(kStart, "a"), domain_state::in_service);
}

TEST(region_map, knows_what_is_near_and_what_is_allowed) {
  const region_map map({{"a1", "a"}, {"a2", "a"}, {"b1", "b"}});
  EXPECT_EQ(map.between("a1", "a1"), proximity::same_domain);
  EXPECT_EQ(map.between("a1", "a2"), proximity::same_region);
  EXPECT_EQ(map.between("a1", "b1"), proximity::other_region);
  EXPECT_EQ(map.region_of("c"), "c");
  EXPECT_TRUE(map.is_allowed("b1", {}));
  EXPECT_TRUE(map.is_allowed("b1", {"a", "b"}));
  EXPECT_FALSE(map.is_allowed("b1", {"a"}));
}

}  // namespace
}  // namespace seamglade::gateway
