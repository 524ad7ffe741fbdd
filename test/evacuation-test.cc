// seamglade - the direct path: failure domains that operators evacuate
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_checks.h"

namespace seamglade {
namespace {

const std::string kEast = "east";
const std::string kWest = "west";
const std::string kNorth = "north";
/** Within this time every instance in touch knows of it. */
constexpr duration kHeard = 500ms;
constexpr int kAdapters = 6;

gateway_world_options options_of(std::size_t instances) {
  gateway_world_options out;
  out.instances = instances;
  out.engines = 6;
  out.plain_targets = 3;
  out.target_domains = {kEast, kWest, kNorth};
  out.instance_domains = {kEast, kWest, kNorth};
  out.evacuation_bound = kHeard;
  return out;
}

/** A fleet with targets in three domains, of which one is evacuated. */
class evacuation : public testing::TestWithParam<std::size_t> {
 protected:
  gateway_world w_{options_of(GetParam())};

  void SetUp() override { w_.run_for(kLargeSettled); }
  void TearDown() override { expect_rules_kept(w_); }

  void expect_known_by_all(std::size_t domains) {
    for (const auto who : w_.instances()) {
      EXPECT_EQ(w_.status(who).evacuated_domains, domains) << who;
    }
  }
  void load_adapters() {
    send_load(w_, 3s, 10ms, kAdapters);
    w_.run_for(4s);
  }
  std::vector<std::string> engines_in(const std::string& domain) {
    auto out = w_.engines();
    std::erase_if(out,
                  [&](const auto& id) { return w_.domain_of(id) != domain; });
    return out;
  }
  std::size_t runs_in(const std::string& domain) {
    std::size_t out = 0;
    for (const auto& call : w_.calls()) {
      out += w_.domains_of_runs(call->id).contains(domain) ? 1 : 0;
    }
    return out;
  }
};

TEST_P(evacuation, its_targets_get_nothing_until_it_is_taken_back) {
  send_load(w_, 14s, 10ms, kAdapters);
  w_.run_for(3s);
  EXPECT_GT(runs_in(kEast), 0U);
  w_.evacuate(kEast);
  w_.run_for(kHeard);
  expect_known_by_all(1);
  const auto before = runs_in(kEast);
  w_.run_for(5s);
  EXPECT_EQ(runs_in(kEast), before);
  w_.take_back(kEast);
  w_.run_for(kHeard);
  expect_known_by_all(0);
  w_.run_for(7s);
  EXPECT_GT(runs_in(kEast), before);
  // Some find an adapter unloaded: 3 of 1,400 at 24 instances, and 5 where
  // nothing is evacuated.
  const auto seen = count(w_);
  EXPECT_LE(seen.refused, seen.served / 100);
  EXPECT_EQ(seen.served + seen.refused, w_.calls().size());
}

TEST_P(evacuation, two_domains_at_once_leave_the_third) {
  send_load(w_, 8s, 20ms, kAdapters);
  w_.run_for(2s);
  w_.evacuate(kEast);
  w_.evacuate(kWest);
  w_.run_for(kHeard);
  expect_known_by_all(2);
  const auto before = runs_in(kNorth);
  w_.run_for(4s);
  EXPECT_GT(runs_in(kNorth), before);
  w_.take_back(kWest);
  w_.run_for(kHeard);
  expect_known_by_all(1);
  w_.run_for(4s);
}

TEST_P(evacuation, those_that_the_store_turns_away_hear_it_from_others) {
  const auto who = w_.instances();
  for (std::size_t i = 0; i < who.size(); ++i) {
    if (i % 3 != 0) w_.deny_store(who[i], true);
  }
  w_.run_for(6s);
  send_load(w_, 6s, 10ms, kAdapters);
  w_.run_for(1s);
  w_.evacuate(kEast);
  w_.run_for(kHeard);
  expect_known_by_all(1);
  w_.run_for(3s);
  w_.take_back(kEast);
  w_.run_for(kHeard);
  expect_known_by_all(0);
  w_.run_for(4s);
}

TEST_P(evacuation, outlasts_the_death_of_all_instances) {
  w_.evacuate(kEast);
  w_.run_for(1s);
  for (const auto who : w_.instances()) w_.kill(who);
  w_.run_for(1s);
  for (const auto who : w_.instances()) w_.start(who);
  const auto from = w_.now();
  send_load(w_, 8s, 10ms, kAdapters);
  w_.run_for(10s);
  expect_known_by_all(1);
  EXPECT_EQ(runs_in(kEast), 0U);
  EXPECT_GT(count(w_, from).served, 500U);
}

TEST_P(evacuation, one_that_starts_without_the_store_knows_it_when_it_serves) {
  load_adapters();
  w_.evacuate(kEast);
  w_.run_for(2s);
  const auto before = runs_in(kEast);
  const auto who = w_.instances()[2];
  w_.kill(who);
  w_.deny_store(who, true);
  w_.run_for(1s);
  w_.start(who);
  for (int i = 0; i < 40; ++i) {
    w_.at(w_.now() + i * 25ms, [this, who, i] {
      w_.call_plain(who, true);
      w_.call_engine(who, fmt::format("a{}", i % kAdapters));
    });
  }
  w_.run_for(5s);
  EXPECT_EQ(w_.status(who).evacuated_domains, 1U);
  EXPECT_GT(w_.status(who).answered, 40U);
  EXPECT_EQ(runs_in(kEast), before);
}

TEST_P(evacuation, stands_however_long_the_store_is_silent) {
  load_adapters();
  w_.evacuate(kEast);
  w_.silence_store(true);
  send_load(w_, 15s, 20ms, kAdapters);
  w_.run_for(kHeard);
  expect_known_by_all(1);
  w_.run_for(15s);
  expect_known_by_all(1);
  w_.silence_store(false);
  w_.run_for(3s);
  w_.take_back(kEast);
  w_.run_for(kHeard);
  expect_known_by_all(0);
}

TEST_P(evacuation, is_heard_where_the_store_forgets_its_history_before) {
  // Who has just heard of a change pauses: the item is missed in between.
  w_.publish_version("a1", 1);
  w_.run_for(20ms);
  w_.evacuate(kEast);
  w_.run_for(5ms);
  w_.forget_history();
  send_load(w_, 4s, 10ms, kAdapters);
  w_.run_for(2 * kHeard);
  expect_known_by_all(1);
  w_.run_for(2s);
  // The same for its end: what a range read anew lacks has gone.
  w_.publish_version("a2", 1);
  w_.run_for(20ms);
  w_.take_back(kEast);
  w_.run_for(5ms);
  w_.forget_history();
  w_.run_for(2 * kHeard);
  expect_known_by_all(0);
  w_.run_for(2s);
}

TEST_P(evacuation, streams_that_run_there_go_on_to_their_end) {
  load_adapters();
  const auto from = w_.now();
  const auto before = runs_in(kEast);
  for (const auto who : w_.instances()) {
    for (int i = 0; i < kAdapters; ++i) {
      w_.call_engine(who, fmt::format("a{}", i));
    }
  }
  w_.run_for(100ms);
  EXPECT_GT(runs_in(kEast), before);
  w_.evacuate(kEast);
  w_.run_for(5s);
  for (const auto& call : w_.calls()) {
    if (call->sent < from || w_.runs_of(call->id) == 0) continue;
    EXPECT_TRUE(call->complete && call->status == kOk) << call->id;
    EXPECT_NE(call->body.find("end " + call->id), std::string::npos);
  }
}

TEST_P(evacuation, a_repeat_never_goes_there) {
  w_.evacuate(kEast);
  w_.run_for(1s);
  w_.lose_answers("plain-1", 1);
  for (const auto who : w_.instances()) {
    for (int i = 0; i < 4; ++i) w_.call_plain(who, true);
  }
  w_.run_for(3s);
  std::size_t repeated = 0;
  for (const auto& call : w_.calls()) {
    if (w_.runs_of(call->id) > 1) ++repeated;
  }
  EXPECT_GT(repeated, 0U);
  EXPECT_EQ(runs_in(kEast), 0U);
}

TEST_P(evacuation, targets_whose_holder_dies_get_another_but_no_orders) {
  load_adapters();
  w_.evacuate(kEast);
  w_.run_for(1s);
  std::map<std::string, std::size_t> before;
  for (const auto& id : engines_in(kEast)) before[id] = w_.orders_at(id);
  const auto who = w_.instances();
  for (std::size_t i = 1; i < who.size(); i += 2) w_.kill(who[i]);
  w_.run_for(12s);
  std::size_t held = 0;
  for (std::size_t i = 0; i < who.size(); i += 2) {
    held += w_.status(who[i]).held;
  }
  EXPECT_EQ(held, w_.engines().size());
  for (const auto& [id, orders] : before) EXPECT_EQ(w_.orders_at(id), orders);
  w_.take_back(kEast);
  w_.run_for(3s);
  for (const auto& [id, orders] : before) EXPECT_GT(w_.orders_at(id), orders);
}

// They may have lost all that they held, and by then their next report is not
// due: a question, the order that sets the fence and a question are.
TEST_P(evacuation, what_targets_hold_is_read_anew_after_it) {
  load_adapters();
  w_.evacuate(kEast);
  w_.run_for(1s);
  std::map<std::string, std::size_t> before;
  for (const auto& id : engines_in(kEast)) before[id] = w_.orders_at(id);
  w_.take_back(kEast);
  w_.run_for(1500ms);
  for (const auto& [id, orders] : before) {
    EXPECT_GE(w_.orders_at(id) - orders, 3U) << id;
  }
}

INSTANTIATE_TEST_SUITE_P(fleets, evacuation, testing::Values(5, 24, 72));

/** All targets of the services are in one domain. */
class only_domain : public testing::TestWithParam<std::size_t> {
 protected:
  gateway_world w_{options()};

  static gateway_world_options options() {
    auto out = options_of(GetParam());
    out.target_domains = {kEast};
    return out;
  }
  void SetUp() override { w_.run_for(kLargeSettled); }
  void TearDown() override { expect_rules_kept(w_); }
};

TEST_P(only_domain, requests_are_refused_at_once_and_served_after_its_return) {
  w_.evacuate(kEast);
  w_.run_for(kHeard);
  for (const auto who : w_.instances()) {
    w_.call_plain(who, true);
    w_.call_engine(who, "a1");
  }
  w_.run_for(5s);
  for (const auto& call : w_.calls()) {
    EXPECT_EQ(call->status, kUnavailable);
    EXPECT_LT(call->ended - call->sent, 5ms);
    EXPECT_GT(call->retry_after, 0ms);
  }
  for (const auto who : w_.instances()) {
    EXPECT_EQ(w_.status(who).all_evacuated, 2U);
  }
  w_.take_back(kEast);
  w_.run_for(2s);
  const auto from = w_.now();
  for (const auto who : w_.instances()) {
    w_.call_plain(who, true);
    w_.call_engine(who, "a1");
  }
  w_.run_for(5s);
  EXPECT_EQ(count(w_, from).served, 2 * w_.instances().size());
}

TEST_P(only_domain, a_request_that_waits_for_its_adapter_is_refused_too) {
  const auto entry = w_.instances()[0];
  auto& call = w_.call_engine(entry, "a1");
  w_.run_for(100ms);
  EXPECT_EQ(w_.runs_of(call.id), 0U);
  w_.evacuate(kEast);
  w_.run_for(kHeard);
  EXPECT_EQ(call.status, kUnavailable);
}

// What went wrong at the first target may have run there.
TEST_P(only_domain, a_repeat_without_a_target_promises_nothing) {
  w_.lose_answers("plain-0", 1);
  w_.lose_answers("plain-1", 1);
  w_.lose_answers("plain-2", 1);
  w_.evacuate(kEast);
  // Those that have not heard yet send it there.
  auto& call = w_.call_plain(w_.instances()[0], true);
  w_.run_for(5s);
  EXPECT_EQ(w_.runs_of(call.id), 1U);
  EXPECT_EQ(call.status, 502);
}

INSTANTIATE_TEST_SUITE_P(fleets, only_domain, testing::Values(5, 24));

}  // namespace
}  // namespace seamglade
