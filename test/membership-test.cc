// seamglade - a large fleet's member lists under virtual time: who is gone
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "member_lists.h"

namespace seamglade::gateway {
namespace {

TEST(membership, all_of_a_large_fleet_meet_soon) {
  members fleet(195, 0.01);
  fleet.run_for(3s);
  EXPECT_EQ(fleet.alive(), std::pair(std::size_t{195}, std::size_t{195}));
}

// A row passed on in turn, 20 a beat, with 3.3 s of patience: 28,555 false
// silences in 30 s of 195 members. Since: none in ten minutes.
TEST(membership, nobody_is_gone_in_ten_calm_minutes) {
  members fleet(195, 0.01);
  fleet.run_for(600s);
  EXPECT_EQ(fleet.false_silences(), 0U);
  EXPECT_EQ(fleet.alive(), std::pair(std::size_t{195}, std::size_t{195}));
}

TEST(membership, nobody_is_gone_at_the_size_to_come) {
  members fleet(350, 0.03);
  fleet.run_for(60s);
  EXPECT_EQ(fleet.false_silences(), 0U);
}

TEST(membership, what_an_instance_sends_does_not_grow_with_the_fleet) {
  const auto rows_a_second = [](std::size_t count) {
    members fleet(count, 0.01);
    fleet.run_for(10s);
    const auto before = fleet.rows_sent();
    fleet.run_for(20s);
    return static_cast<double>(fleet.rows_sent() - before) / 20.0 /
           static_cast<double>(count);
  };
  const auto at_100 = rows_a_second(100);
  const auto at_300 = rows_a_second(300);
  EXPECT_LT(at_300, at_100 * 1.1);
  // 32 bytes a row; the aim is 10 KB a second for all of control.
  EXPECT_LT(at_300 * 32, 3000);
}

TEST(membership, a_dead_member_is_missed_by_all_within_four_seconds) {
  members fleet(195, 0.01);
  fleet.run_for(5s);
  for (member_address who = 20; who < 30; ++who) fleet.kill(who);
  fleet.run_for(4s);
  EXPECT_EQ(fleet.alive(), std::pair(std::size_t{185}, std::size_t{185}));
  EXPECT_EQ(fleet.false_silences(), 0U);
}

TEST(membership, one_that_starts_anew_is_known_to_all_soon) {
  members fleet(195, 0.01);
  fleet.run_for(5s);
  for (member_address who = 20; who < 60; ++who) fleet.kill(who);
  fleet.run_for(500ms);
  for (member_address who = 20; who < 60; ++who) fleet.start(who);
  fleet.run_for(4s);
  EXPECT_EQ(fleet.alive(), std::pair(std::size_t{195}, std::size_t{195}));
}

TEST(membership, a_failure_domain_that_is_cut_off_knows_and_comes_back) {
  members fleet(195, 0.01);
  fleet.run_for(5s);
  std::set<member_address> domain;
  for (member_address who = 5; who <= 195; who += 5) domain.insert(who);
  fleet.cut(domain);
  fleet.run_for(8s);
  EXPECT_TRUE(fleet.of(5).is_isolated(fleet.now()));
  EXPECT_FALSE(fleet.of(6).is_isolated(fleet.now()));
  fleet.cut({});
  fleet.run_for(6s);
  EXPECT_EQ(fleet.alive(), std::pair(std::size_t{195}, std::size_t{195}));
  EXPECT_FALSE(fleet.of(5).is_isolated(fleet.now()));
}

TEST(membership, one_that_is_cut_off_blames_itself_at_once) {
  members fleet(100, 0);
  fleet.run_for(5s);
  fleet.cut({50});
  fleet.run_for(2500ms);
  EXPECT_TRUE(fleet.of(50).is_isolated(fleet.now()));
  fleet.cut({});
  fleet.run_for(4s);
  EXPECT_FALSE(fleet.of(50).is_isolated(fleet.now()));
  EXPECT_EQ(fleet.alive(), std::pair(std::size_t{100}, std::size_t{100}));
}

TEST(membership, the_few_that_outlive_a_fleet_go_on_without_it) {
  members fleet(60, 0);
  fleet.run_for(5s);
  for (member_address who = 4; who <= 60; ++who) fleet.kill(who);
  fleet.run_for(40s);
  EXPECT_FALSE(fleet.of(1).is_isolated(fleet.now()));
  EXPECT_EQ(fleet.alive(), std::pair(std::size_t{3}, std::size_t{3}));
}

/** A roster that knows 29 others, in two failure domains. */
roster of_thirty(const domain_regions& regions) {
  roster_options options;
  options.self = 1;
  options.domain = domain_hash("d1");
  options.regions = regions;
  options.random_seed = 5;
  roster out(options);
  std::vector<member_row> rows;
  for (member_address who = 2; who <= 30; ++who) {
    rows.push_back({who, domain_hash(who % 2 == 1 ? "d1" : "d0"), 1});
    out.merge(time_point(100s), who, {rows.back()});
  }
  return out;
}

TEST(membership, one_region_that_is_named_changes_nothing) {
  auto none = of_thirty({});
  auto one =
      of_thirty(domain_regions(region_map::regions{{"d0", "r"}, {"d1", "r"}}));
  std::size_t near = 0;
  for (int i = 0; i < 300; ++i) {
    const auto targets = none.heartbeat_targets(time_point(100s));
    EXPECT_EQ(targets, one.heartbeat_targets(time_point(100s)));
    ASSERT_EQ(targets.size(), 3U);
    for (const auto who : targets) near += who % 2;
  }
  // Two stay in the failure domain, one goes to any of 29, 14 of them there.
  EXPECT_NEAR(static_cast<double>(near), 300 * (2 + 14.0 / 29), 40);
}

TEST(membership, heartbeats_stay_in_the_region_for_the_most_part) {
  members fleet(72, 0.01, 3);
  fleet.run_for(5s);
  const auto far = fleet.beats_to(proximity::other_region);
  const auto region = fleet.beats_to(proximity::same_region);
  const auto domain = fleet.beats_to(proximity::same_domain);
  fleet.run_for(40s);
  const auto sent = fleet.beats_to(proximity::other_region) - far;
  // One in nine; one in five before.
  const auto all = sent + fleet.beats_to(proximity::same_region) - region +
                   fleet.beats_to(proximity::same_domain) - domain;
  EXPECT_NEAR(static_cast<double>(sent) / static_cast<double>(all), 0.111,
              0.005);
}

TEST(membership, nobody_is_gone_in_calm_minutes_of_three_regions) {
  members fleet(72, 0.01, 3);
  fleet.run_for(5s);
  fleet.forget_silences();
  fleet.run_for(300s);
  EXPECT_EQ(fleet.false_silences(), 0U);
  EXPECT_EQ(fleet.alive(), std::pair(std::size_t{72}, std::size_t{72}));
}

TEST(membership, a_region_that_died_is_asked_no_longer) {
  members fleet(72, 0.01, 3);
  const auto heartbeats = [&] {
    return fleet.beats_to(proximity::same_domain) +
           fleet.beats_to(proximity::same_region) +
           fleet.beats_to(proximity::other_region);
  };
  fleet.run_for(5s);
  for (const auto who : fleet.in_region(1)) fleet.kill(who);
  fleet.run_for(60s);
  const auto before = heartbeats();
  fleet.run_for(20s);
  // 50 beats of three by 48 members, and two dead seeds in each fourth beat;
  // one more in each beat would be 10,800.
  EXPECT_LT(heartbeats() - before, 9000U);
}

/** Fleets of three regions: a small one, and larger ones. */
class of_regions : public testing::TestWithParam<std::size_t> {
 protected:
  members fleet_{GetParam(), 0.01, 3};
  void SetUp() override {
    fleet_.run_for(5s);
    fleet_.forget_silences();
  }
  void expect_all_alive(std::size_t count) {
    EXPECT_EQ(fleet_.alive(), std::pair(count, count));
  }
};

TEST_P(of_regions, a_dead_member_is_missed_by_all_within_five_seconds) {
  for (member_address who = 6; who < 10; ++who) fleet_.kill(who);
  fleet_.run_for(5s);
  expect_all_alive(GetParam() - 4);
  EXPECT_EQ(fleet_.false_silences(), 0U);
}

TEST_P(of_regions, one_that_starts_anew_is_known_to_all_soon) {
  for (member_address who = 6; who < 12; ++who) fleet_.kill(who);
  fleet_.run_for(500ms);
  for (member_address who = 6; who < 12; ++who) fleet_.start(who);
  fleet_.run_for(4s);
  expect_all_alive(GetParam());
}

TEST_P(of_regions, a_region_that_is_cut_off_knows_and_comes_back) {
  fleet_.cut(fleet_.in_region(1));
  fleet_.run_for(8s);
  for (const auto who : fleet_.in_region(1)) {
    EXPECT_TRUE(fleet_.of(who).is_isolated(fleet_.now())) << who;
  }
  for (const auto who : fleet_.in_region(0)) {
    EXPECT_FALSE(fleet_.of(who).is_isolated(fleet_.now())) << who;
  }
  fleet_.cut({});
  fleet_.run_for(6s);
  expect_all_alive(GetParam());
}

// With one heartbeat in three that goes anywhere all of it notice after 4.2,
// 4.5 and 4.9 s; where regions are known after 2.8, 2.6 and 2.6 s.
TEST_P(of_regions, a_region_that_is_cut_off_gives_no_orders_soon) {
  fleet_.cut(fleet_.in_region(1));
  fleet_.run_for(3s);
  for (const auto who : fleet_.in_region(1)) {
    EXPECT_TRUE(fleet_.of(who).is_isolated(fleet_.now())) << who;
  }
  for (const auto who : fleet_.in_region(0)) {
    EXPECT_FALSE(fleet_.of(who).is_isolated(fleet_.now())) << who;
  }
}

// A third sees both. With helpers drawn from all there are 10, 3 and 424 false
// silences, and one of 72 is missed after 8 s; with one of a third region 0, 0
// and 8.
TEST_P(of_regions, two_that_are_cut_from_each_other_both_live) {
  fleet_.cut(fleet_.in_region(0), fleet_.in_region(1));
  fleet_.run_for(8s);
  EXPECT_LT(fleet_.false_silences(), 1 + GetParam() / 10);
  expect_all_alive(GetParam());
}

INSTANTIATE_TEST_SUITE_P(sizes, of_regions, testing::Values(18, 72, 195));

}  // namespace
}  // namespace seamglade::gateway
