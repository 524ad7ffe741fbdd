// seamglade - the parts of a workspace's quota, each alone
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>

#include <algorithm>

#include "process/member_order.h"
#include "process/quota_accounts.h"

namespace seamglade::gateway {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

TEST(token_bucket, fills_at_its_rate_up_to_its_capacity) {
  token_bucket bucket(kStart, 0);
  bucket.configure(kStart, 100, 50, 0);
  EXPECT_FALSE(bucket.take(kStart, 1));
  EXPECT_EQ(bucket.until(10), 100ms);
  EXPECT_TRUE(bucket.take(kStart + 100ms, 10));
  EXPECT_FALSE(bucket.take(kStart + 10s, 51));
  EXPECT_TRUE(bucket.take(kStart + 10s, 50));
}

TEST(token_bucket, starts_with_what_it_was_given) {
  token_bucket bucket(kStart, 30);
  bucket.configure(kStart, 0, 50, 0);
  EXPECT_FALSE(bucket.take(kStart, 31));
  EXPECT_TRUE(bucket.take(kStart, 30));
}

TEST(token_bucket, overdraws_as_far_as_it_may) {
  token_bucket bucket(kStart, 0);
  bucket.configure(kStart, 100, 50, 20);
  EXPECT_TRUE(bucket.take(kStart, 20));
  EXPECT_FALSE(bucket.take(kStart, 1));
  EXPECT_EQ(bucket.until(10), 100ms);
}

/** One workspace of 9,000 tokens a second. */
configuration one_limited() {
  configuration out;
  workspace w;
  w.name = "red";
  w.hash = 5;
  w.quota = {quota_unit::tokens, 9000, 9000, 0};
  out.workspaces.push_back(w);
  return out;
}

/** Takes all that an account gives in a time, ten tokens at once. */
double given(quota_accounts& accounts, time_point from, duration time) {
  double sum = 0;
  for (auto now = from; now < from + time; now += 1ms) {
    while (accounts.take(now, {1, 5, 10}).verdict == quota_verdict::granted) {
      sum += 10;
    }
  }
  return sum;
}

TEST(quota_accounts, three_share_a_workspace_and_others_keep_nothing_of_it) {
  const std::vector<member_address> all{1, 2, 3, 4, 5, 6};
  const auto mine = first_members(5, all, kAccountants);
  ASSERT_EQ(mine.size(), 3U);
  double sum = 0;
  for (const auto who : all) {
    quota_accounts accounts(who, {});
    accounts.update(kStart, one_limited(), {all, {}});
    const bool is_one = std::find(mine.begin(), mine.end(), who) != mine.end();
    EXPECT_EQ(accounts.size(), is_one ? 1U : 0U);
    sum += given(accounts, kStart, 10s);
  }
  EXPECT_NEAR(sum, 90000 + 9000, 1000);
}

TEST(quota_accounts, give_the_part_of_the_fleet_that_is_seen) {
  const auto first = first_members(5, {1, 2, 3}, 1);
  quota_accounts accounts(first[0], {});
  accounts.update(kStart, one_limited(), {{1, 2, 3}, {7, 8, 9}});
  EXPECT_NEAR(accounts.seen(), 0.525, 0.001);
  EXPECT_LT(given(accounts, kStart, 10s), 90000.0 / 3 * 0.6);
  // Also when the silent ones are no longer spoken of.
  accounts.update(kStart + 10s, one_limited(), {{1, 2, 3}, {}});
  EXPECT_LT(accounts.seen(), 0.6);
  accounts.update(kStart + 11s, one_limited(), {{1, 2, 3, 7, 8, 9}, {}});
  EXPECT_EQ(accounts.seen(), 1.0);
}

TEST(quota_accounts, say_when_there_is_enough) {
  quota_accounts accounts(1, {});
  accounts.update(kStart, one_limited(), {{1}, {}});
  given(accounts, kStart, 1s);
  const auto answer = accounts.take(kStart + 1s, {1, 5, 900});
  EXPECT_EQ(answer.verdict, quota_verdict::empty);
  EXPECT_GT(answer.empty_for, 90ms);
  EXPECT_LT(answer.empty_for, 110ms);
  EXPECT_EQ(accounts.take(kStart + 1s, {1, 6, 1}).verdict,
            quota_verdict::not_mine);
}

}  // namespace
}  // namespace seamglade::gateway
