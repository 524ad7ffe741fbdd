// seamglade - the direct path: a fleet too large for everyone to tell everyone
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_checks.h"

namespace seamglade {
namespace {

gateway_world_options large() {
  gateway_world_options options;
  options.instances = 24;
  options.engines = 12;
  return options;
}

std::size_t held_in_all(gateway_world& w) {
  std::size_t held = 0;
  for (const auto who : w.instances()) held += w.status(who).held;
  return held;
}

TEST(large_fleet, meets_and_gives_each_target_one_holder) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).members_alive, 24U);
  }
  EXPECT_EQ(held_in_all(w), w.engines().size());
  expect_rules_kept(w);
}

TEST(large_fleet, serves_and_loads_an_adapter_once) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  for (const auto who : w.instances()) w.call_engine(who, "a1");
  w.run_for(3s);
  EXPECT_EQ(count(w).served, w.instances().size());
  EXPECT_EQ(w.loads(), 1U);
  expect_rules_kept(w);
}

// Half of the holders die, so that some adapters are loaded elsewhere than at
// the first target of their order. While the store is silent, an instance that
// asks nobody what is where has 7 of 40 loaded again, one that asks 3.
TEST(large_fleet, what_another_instance_had_loaded_is_not_loaded_elsewhere) {
  auto options = large();
  options.adapter_slots = 40;
  gateway_world w(options);
  w.run_for(kLargeSettled);
  w.silence_store(true);
  const auto who = w.instances();
  for (std::size_t i = 2; i < who.size(); i += 2) w.kill(who[i]);
  w.run_for(3s);
  const auto call_all = [&](std::size_t from) {
    for (int adapter = 0; adapter < 40; ++adapter) {
      w.at(w.now() + adapter * 20ms, [&w, &who, from, adapter] {
        w.call_engine(who[from], fmt::format("a{}", adapter));
      });
    }
  };
  call_all(1);
  w.run_for(10s);
  const auto before = w.loads();
  call_all(3);
  w.run_for(4s);
  EXPECT_LE(w.loads() - before, 4U);
  expect_rules_kept(w);
}

TEST(large_fleet, operators_configuration_is_in_force_soon) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  w.publish_configuration(7, "/other/");
  // Sooner than word of mouth could bring it.
  w.run_for(100ms);
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).configuration, 7U);
  }
}

// With a watch of its own at each of 60 instances three configurations cost 199
// calls in six seconds, watchers of everything included; now 90.
TEST(large_fleet, what_operators_write_costs_few_calls) {
  auto options = large();
  options.instances = 60;
  gateway_world w(options);
  w.run_for(20s);
  const auto before = w.store_calls();
  for (std::uint64_t version = 7; version < 10; ++version) {
    w.publish_configuration(version, "/other/");
    w.run_for(300ms);
    for (const auto who : w.instances()) {
      EXPECT_EQ(w.status(who).configuration, version);
    }
    w.run_for(1700ms);
  }
  EXPECT_LT(w.store_calls() - before, 110U);
}

TEST(large_fleet, a_configuration_is_read_where_no_copies_come_through) {
  auto options = large();
  options.instances = 60;
  gateway_world w(options);
  w.run_for(kLargeSettled);
  w.block_copies(true);
  w.publish_configuration(7, "/other/");
  w.run_for(600ms);
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).configuration, 7U);
  }
}

// Those that watch for the fleet are cut off from it a moment before, so that
// nobody tells the others; the store serves all.
TEST(large_fleet, a_configuration_is_read_where_nobody_tells_of_it) {
  auto options = large();
  options.instances = 60;
  gateway_world w(options);
  w.run_for(kLargeSettled);
  w.slow_datagrams(10s);
  w.block_copies(true);
  w.run_for(100ms);
  w.publish_configuration(7, "/other/");
  w.run_for(2600ms);
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).configuration, 7U);
  }
}

TEST(large_fleet, operators_are_heard_at_once_again_after_a_silent_store) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  w.silence_store(true);
  w.run_for(7s);
  w.silence_store(false);
  w.run_for(3s);
  w.publish_configuration(7, "/other/");
  // Sooner than word of mouth could bring it.
  w.run_for(100ms);
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).configuration, 7U);
  }
}

TEST(large_fleet, a_configuration_reaches_those_that_the_store_turns_away) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  const auto who = w.instances();
  for (std::size_t i = 0; i < who.size(); ++i) {
    if (i % 3 != 0) w.deny_store(who[i], true);
  }
  w.run_for(6s);
  w.publish_configuration(7, "/other/");
  w.run_for(2500ms);
  for (const auto each : who) EXPECT_EQ(w.status(each).configuration, 7U);
}

TEST(large_fleet, a_leaving_target_gets_no_work_after_a_second) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  send_load(w, 6s, 10ms, 6);
  w.run_for(2s);
  w.drain_target("plain-0");
  w.drain_target(w.engines()[0]);
  w.run_for(1s);
  const auto before = w.runs_at("plain-0");
  w.run_for(5s);
  EXPECT_EQ(w.runs_at("plain-0"), before);
  expect_rules_kept(w);
}

TEST(large_fleet, a_watcher_tells_all_of_a_leaving_target_at_once) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  w.drain_target("plain-0");
  // The watchers' pause after a change, and one message.
  w.run_for(450ms);
  const auto before = w.runs_at("plain-0");
  for (const auto who : w.instances()) {
    for (int i = 0; i < 4; ++i) w.call_plain(who, false);
  }
  w.run_for(1s);
  EXPECT_EQ(w.runs_at("plain-0"), before);
}

// Requests reached targets more than three seconds after these had said that
// they leave. Seventeen left at once; the instance that watched the store told
// its 90 fellows with 22 whole entries each, 6 KB, and a link of 10 Mbit/s that
// holds 50 ms dropped all but the first nine of them, 5 ms apart, in the order
// of addresses. The others, the same ones each time, learned by copies, later
// and later.
TEST(large_fleet, many_that_leave_at_once_are_known_as_soon_as_one) {
  auto options = large();
  options.instances = 60;
  options.engines = 40;
  gateway_world w(options);
  w.run_for(kLargeSettled);
  // 10 Mbit/s.
  w.limit_links(1250);
  auto leaving = w.engines();
  leaving.resize(30);
  for (const auto& id : leaving) w.drain_target(id);
  w.drain_target("plain-0");
  // The watchers' pause after a change, and one message.
  w.run_for(450ms);
  const auto before = w.runs_at("plain-0");
  for (const auto who : w.instances()) {
    for (int i = 0; i < 4; ++i) w.call_plain(who, false);
  }
  w.run_for(1s);
  EXPECT_EQ(w.runs_at("plain-0"), before);
}

TEST(large_fleet, an_entry_that_goes_is_gone_also_for_one_with_an_old_copy) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  const auto late = w.instances()[7];
  w.cut(late, true);
  w.deny_store(late, true);
  w.run_for(5s);
  w.lapse_target("plain-1");
  w.run_for(100ms);
  w.cut(late, false);
  w.run_for(1500ms);
  const auto before = w.runs_at("plain-1");
  for (int i = 0; i < 20; ++i) w.call_plain(late, false);
  w.run_for(1s);
  EXPECT_EQ(w.runs_at("plain-1"), before);
}

TEST(large_fleet, few_instances_read_the_whole_store) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  const auto before = w.store_calls();
  // Loads change the targets' entries all the time.
  send_load(w, 10s, 20ms, 40);
  w.run_for(10s);
  const auto calls_a_second = (w.store_calls() - before) / 10;
  // Three watchers of everything, and what all ask about operators' writes.
  EXPECT_LT(calls_a_second, 14U) << calls_a_second;
}

// 100 instances asked a silent store 77 times a second, now 55; one that resets
// calls at once was asked more often.
TEST(large_fleet, asks_a_store_that_is_down_seldom_and_is_back_soon) {
  auto options = large();
  options.instances = 100;
  gateway_world w(options);
  w.run_for(kLargeSettled);
  w.silence_store(true);
  w.run_for(20s);
  const auto before = w.store_calls();
  w.run_for(20s);
  EXPECT_LT((w.store_calls() - before) / 20, 65U);
  w.silence_store(false);
  w.run_for(3s);
  w.publish_configuration(7, "/other/");
  w.run_for(1s);
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).configuration, 7U);
  }
}

TEST(large_fleet, the_targets_of_a_dead_holder_get_another) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  send_load(w, 20s, 20ms, 30);
  const auto who = w.instances();
  for (std::size_t i = 0; i < who.size(); i += 2) w.kill(who[i]);
  w.run_for(500ms);
  for (std::size_t i = 0; i < who.size(); i += 2) w.start(who[i]);
  w.run_for(12s);
  EXPECT_EQ(held_in_all(w), w.engines().size());
  w.run_for(10s);
  expect_rules_kept(w);
}

TEST(large_fleet, all_restarted_at_once_serve_again) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  send_load(w, 2s, 20ms, 30);
  w.run_for(2s);
  for (const auto who : w.instances()) w.kill(who);
  w.run_for(1s);
  for (const auto who : w.instances()) w.start(who);
  w.run_for(6s);
  EXPECT_EQ(held_in_all(w), w.engines().size());
  auto& call = w.call_engine(w.instances()[0], "a77");
  w.run_for(2s);
  EXPECT_EQ(call.status, kOk);
  expect_rules_kept(w);
}

// By their pauses it took 3.9 s before: a sum, not measured.
TEST(large_fleet, all_restarted_at_once_load_adapters_within_three_seconds) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  for (const auto who : w.instances()) w.kill(who);
  w.run_for(1s);
  for (const auto who : w.instances()) w.start(who);
  w.run_for(2s);
  EXPECT_EQ(held_in_all(w), w.engines().size());
  auto& call = w.call_engine(w.instances()[0], "a77");
  w.run_for(1s);
  EXPECT_EQ(call.status, kOk);
  expect_rules_kept(w);
}

TEST(large_fleet, a_planned_stop_hands_targets_over_soon) {
  gateway_world w(large());
  w.run_for(kLargeSettled);
  const auto who = w.instances();
  for (std::size_t i = 0; i < 6; ++i) w.stop(who[i]);
  w.run_for(500ms);
  EXPECT_EQ(held_in_all(w), w.engines().size());
  expect_rules_kept(w);
}

}  // namespace
}  // namespace seamglade
