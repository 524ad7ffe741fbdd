// seamglade - several regions: where requests run, and how far word goes
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <memory>
#include <set>

#include "gateway_checks.h"
#include "process/region_map.h"

namespace seamglade {
namespace {

using fakes::fake_traffic;
using gateway::member_address;
using gateway::proximity;
using gateway::region_map;

constexpr std::size_t kSmall = 6;
constexpr std::size_t kLarge = 24;
constexpr std::size_t kWide = 72;
constexpr std::size_t kRegions = 3;

const std::vector<std::string> kDomains = {"a1", "a2", "b1", "b2", "c1", "c2"};

gateway_world_options in_three_regions(std::size_t instances) {
  gateway_world_options options;
  options.instances = instances;
  options.engines = 12;
  options.plain_targets = 6;
  options.target_domains = kDomains;
  options.instance_domains = kDomains;
  for (const auto& domain : kDomains) {
    options.regions[domain] = domain.substr(0, 1);
  }
  return options;
}

std::string region_of(gateway_world& w, member_address who) {
  return w.domain_of(who).substr(0, 1);
}

std::set<std::string> regions_of(gateway_world& w,
                                 const std::vector<std::string>& targets) {
  std::set<std::string> out;
  for (const auto& id : targets) out.insert(w.domain_of(id).substr(0, 1));
  return out;
}

std::vector<std::string> plain_targets() {
  std::vector<std::string> out;
  for (int i = 0; i < 6; ++i) out.push_back(fmt::format("plain-{}", i));
  return out;
}

std::vector<std::string> all_targets(gateway_world& w) {
  auto out = w.engines();
  for (auto& id : plain_targets()) out.push_back(std::move(id));
  return out;
}

/** Returns the members of a region. */
std::vector<member_address> members_of(gateway_world& w,
                                       const std::string& region) {
  std::vector<member_address> out;
  for (const auto who : w.instances()) {
    if (region_of(w, who) == region) out.push_back(who);
  }
  return out;
}

std::size_t held_in_all(gateway_world& w) {
  std::size_t held = 0;
  for (const auto who : w.instances()) held += w.status(who).held;
  return held;
}

void expect_all_answered(gateway_world& w) {
  for (const auto& call : w.calls()) {
    EXPECT_TRUE(call->complete || call->aborted) << call->id;
  }
  expect_rules_kept(w);
}

TEST(region_map, tells_three_distances) {
  const region_map regions(
      region_map::regions{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}});
  EXPECT_EQ(regions.between("a1", "a1"), proximity::same_domain);
  EXPECT_EQ(regions.between("a1", "a2"), proximity::same_region);
  EXPECT_EQ(regions.between("a1", "b1"), proximity::other_region);
  EXPECT_EQ(regions.between("a1", "unnamed"), proximity::other_region);
  EXPECT_EQ(region_map().between("a1", "b1"), proximity::same_region);
}

TEST(region_map, a_domain_that_is_not_named_is_its_own_region) {
  const region_map regions(region_map::regions{{"a1", "a"}});
  EXPECT_TRUE(regions.is_allowed("a1", {"b", "a"}));
  EXPECT_FALSE(regions.is_allowed("a1", {"b"}));
  EXPECT_TRUE(regions.is_allowed("d", {"d"}));
  EXPECT_TRUE(regions.is_allowed("a1", {}));
}

/** Requests that may run in some regions only; the world judges each run. */
class bound : public testing::TestWithParam<std::size_t> {
 protected:
  gateway_world_options options_ = in_three_regions(GetParam());
  std::unique_ptr<gateway_world> w_;

  void begin() {
    w_ = std::make_unique<gateway_world>(options_);
    w_->run_for(kLargeSettled);
  }
  void bind_to(const std::vector<std::string>& regions) {
    options_.service_regions = {{"llm", regions}, {"plain", regions}};
  }
  void load(duration time) {
    send_load(*w_, time, 15ms, 20);
    w_->run_for(time);
  }
  void settle() {
    w_->run_for(9s);
    expect_all_answered(*w_);
  }
};

TEST_P(bound, run_where_they_may) {
  bind_to({"b"});
  begin();
  load(4s);
  settle();
  EXPECT_EQ(count(*w_).served, w_->calls().size());
}

TEST_P(bound, retries_and_resumes_stay_there) {
  bind_to({"b"});
  begin();
  for (const auto& id : all_targets(*w_)) {
    w_->lose_answers(id, 0.1);
    if (id.starts_with("llm")) w_->cut_streams(id, 0.1);
  }
  load(5s);
  settle();
  std::uint64_t retries = 0;
  for (const auto who : w_->instances()) retries += w_->status(who).retries;
  EXPECT_GT(retries, 0U);
}

TEST_P(bound, go_nowhere_else_where_no_place_is_handed_out) {
  bind_to({"b"});
  begin();
  // Admitters do not answer it: places are done without.
  const auto alone = members_of(*w_, "a").front();
  w_->cut(alone, true);
  for (int i = 0; i < 60; ++i) {
    w_->at(w_->now() + i * 20ms,
           [this, alone, i] { w_->call_plain(alone, i % 2 == 0); });
  }
  w_->run_for(2s);
  EXPECT_EQ(count(*w_).served, 60U);
  settle();
}

TEST_P(bound, go_nowhere_else_where_their_region_leaves) {
  bind_to({"b"});
  begin();
  send_load(*w_, 6s, 15ms, 20);
  w_->run_for(2s);
  for (const auto& id : all_targets(*w_)) {
    if (w_->domain_of(id).starts_with("b")) w_->drain_target(id);
  }
  w_->run_for(4s);
  settle();
  EXPECT_GT(count(*w_).refused, 0U);
}

TEST_P(bound, go_nowhere_else_where_targets_of_their_region_fail) {
  bind_to({"b"});
  begin();
  for (const auto& id : all_targets(*w_)) {
    if (w_->domain_of(id).starts_with("b")) w_->break_target(id, true);
  }
  load(3s);
  settle();
}

TEST_P(bound, load_adapters_and_copies_only_there) {
  bind_to({"b"});
  begin();
  const auto entries = w_->instances();
  for (int i = 0; i < 900; ++i) {
    w_->at(w_->now() + i * 5ms, [this, entries, i] {
      const auto at = static_cast<std::size_t>(i) % entries.size();
      w_->call_engine(entries[at], "popular");
    });
  }
  w_->run_for(6s);
  const auto holders = w_->holders_of("popular");
  EXPECT_GT(holders.size(), 1U);
  EXPECT_EQ(regions_of(*w_, holders), std::set<std::string>{"b"});
  settle();
}

TEST_P(bound, the_regions_of_route_and_workspace_both_bind) {
  bind_to({"a", "b"});
  options_.workspaces = {{"one", {"k1"}, 0, 0, {"b", "c"}},
                         {"two", {"k2"}, 0, 0, {"c"}},
                         {"any", {"k3"}, 0, 0, {}}};
  begin();
  const auto entries = w_->instances();
  std::vector<gateway_call*> nowhere;
  for (int i = 0; i < 120; ++i) {
    const auto entry = entries[static_cast<std::size_t>(i) % entries.size()];
    auto& call = w_->call_with_key(entry, fmt::format("k{}", 1 + i % 3), 10);
    if (i % 3 == 1) nowhere.push_back(&call);
    w_->run_for(10ms);
  }
  settle();
  for (const auto* call : nowhere) {
    EXPECT_EQ(call->status, kUnavailable);
    EXPECT_EQ(w_->runs_of(call->id), 0U);
  }
  EXPECT_EQ(count(*w_).served, 80U);
}

INSTANTIATE_TEST_SUITE_P(fleets, bound, testing::Values(kSmall, kLarge));

/** Requests that may run anywhere, in fleets of three regions. */
class free_ones : public testing::TestWithParam<std::size_t> {
 protected:
  gateway_world w_{with_objective()};

  static gateway_world_options with_objective() {
    auto options = in_three_regions(GetParam());
    options.stream_objective_ms = 1500;
    return options;
  }

  void SetUp() override { w_.run_for(kLargeSettled); }
};

TEST_P(free_ones, plain_ones_stay_in_the_region_while_it_is_calm) {
  const auto entries = members_of(w_, "b");
  for (int i = 0; i < 300; ++i) {
    w_.at(w_.now() + i * 10ms, [this, entries, i] {
      w_.call_plain(entries[static_cast<std::size_t>(i) % entries.size()],
                    i % 2 == 0);
    });
  }
  w_.run_for(5s);
  std::size_t near = 0;
  for (const auto& id : plain_targets()) {
    if (w_.domain_of(id).starts_with("b")) near += w_.runs_at(id);
  }
  EXPECT_GE(near, 285U);
  EXPECT_EQ(count(w_).served, 300U);
}

TEST_P(free_ones, places_are_asked_for_in_the_region) {
  const auto far = [this] {
    return w_.traffic()[proximity::other_region].place_questions;
  };
  const auto before = far();
  const auto entries = members_of(w_, "b");
  for (int i = 0; i < 300; ++i) {
    w_.at(w_.now() + i * 10ms, [this, entries, i] {
      w_.call_plain(entries[static_cast<std::size_t>(i) % entries.size()],
                    i % 2 == 0);
    });
  }
  w_.run_for(5s);
  EXPECT_LE(far() - before, 20U);
}

TEST_P(free_ones, copies_go_to_the_region_that_asks) {
  const auto entries = members_of(w_, "c");
  for (const std::string adapter : {"p0", "p1", "p2", "p3"}) {
    // It is first loaded where it belongs, in any region.
    w_.call_engine(members_of(w_, "a").front(), adapter);
    w_.run_for(2s);
    for (std::size_t i = 0; i < 200; ++i) {
      w_.at(w_.now() + static_cast<int>(i) * 15ms, [this, entries, adapter, i] {
        w_.call_engine(entries[i % entries.size()], adapter);
      });
    }
    w_.run_for(4s);
    const auto holders = w_.holders_of(adapter);
    EXPECT_GT(holders.size(), 1U) << adapter;
    EXPECT_TRUE(regions_of(w_, holders).contains("c")) << adapter;
    EXPECT_LE(regions_of(w_, holders).size(), 2U) << adapter;
  }
  expect_all_answered(w_);
}

INSTANTIATE_TEST_SUITE_P(fleets, free_ones, testing::Values(kSmall, kLarge));

/** 72 instances in six failure domains of three regions. */
class wide : public testing::Test {
 protected:
  gateway_world w_{in_three_regions(kWide)};

  void SetUp() override { w_.run_for(kLargeSettled); }
  void expect_all_known() {
    for (const auto who : w_.instances()) {
      EXPECT_EQ(w_.status(who).members_alive, kWide) << who;
    }
    EXPECT_EQ(held_in_all(w_), w_.engines().size());
  }
};

TEST_F(wide, tells_little_word_to_other_regions) {
  const auto before = w_.traffic();
  send_load(w_, 20s, 20ms, 40);
  w_.run_for(20s);
  auto after = w_.traffic();
  for (const auto& [distance, sent] : before) {
    auto& now = after[distance];
    now.heartbeats -= sent.heartbeats;
    now.heartbeat_bytes -= sent.heartbeat_bytes;
    now.bytes -= sent.bytes;
    now.copies -= sent.copies;
  }
  const auto& far = after[proximity::other_region];
  const auto& region = after[proximity::same_region];
  const auto& domain = after[proximity::same_domain];
  EXPECT_LT(far.heartbeats * 7,
            far.heartbeats + region.heartbeats + domain.heartbeats);
  expect_rules_kept(w_);
}

TEST_F(wide, one_of_each_region_watches_the_store) {
  std::set<std::string> regions;
  std::set<member_address> all;
  for (int i = 0; i < 20; ++i) {
    w_.run_for(100ms);
    for (const auto who : w_.watchers()) all.insert(who);
  }
  for (const auto who : all) regions.insert(region_of(w_, who));
  EXPECT_EQ(all.size(), 3U);
  EXPECT_EQ(regions.size(), kRegions);
}

TEST_F(wide, a_dead_member_is_missed_by_all_within_five_seconds) {
  const auto who = w_.instances();
  std::set<member_address> dead;
  for (std::size_t i = 0; i < who.size(); i += 9) dead.insert(who[i]);
  for (const auto each : dead) w_.kill(each);
  w_.run_for(5s);
  for (const auto each : who) {
    if (dead.contains(each)) continue;
    EXPECT_EQ(w_.status(each).members_alive, kWide - dead.size());
  }
}

TEST_F(wide, a_leaving_target_gets_no_work_after_a_second) {
  send_load(w_, 6s, 10ms, 6);
  w_.run_for(2s);
  w_.drain_target("plain-3");
  w_.run_for(1s);
  const auto before = w_.runs_at("plain-3");
  w_.run_for(4s);
  EXPECT_EQ(w_.runs_at("plain-3"), before);
  expect_rules_kept(w_);
}

TEST_F(wide, a_region_that_is_cut_off_serves_and_comes_back) {
  send_load(w_, 20s, 20ms, 24);
  w_.run_for(2s);
  const auto cut_at = w_.now();
  w_.split(members_of(w_, "b"));
  w_.run_for(8s);
  w_.split({});
  w_.run_for(6s);
  expect_all_known();
  w_.run_for(12s);
  const auto sums = count(w_, cut_at);
  EXPECT_GT(sums.served * 10, (sums.served + sums.refused + sums.other) * 9);
  expect_all_answered(w_);
}

TEST_F(wide, a_region_whose_instances_all_die_is_done_without) {
  const auto dead = members_of(w_, "c");
  for (const auto who : dead) w_.kill(who);
  w_.run_for(12s);
  std::size_t held = 0;
  for (const auto who : w_.instances()) {
    if (region_of(w_, who) == "c") continue;
    EXPECT_EQ(w_.status(who).members_alive, kWide - dead.size());
    held += w_.status(who).held;
  }
  EXPECT_EQ(held, w_.engines().size());
  for (const auto who : dead) w_.start(who);
  w_.run_for(6s);
  expect_all_known();
  expect_rules_kept(w_);
}

}  // namespace
}  // namespace seamglade
