// seamglade - keys and limits of workspaces, on fleets under virtual time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <random>

#include "gateway_checks.h"
#include "process/member_order.h"
#include "seamglade/rendezvous.h"

namespace seamglade {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kTooMany = 429;
constexpr auto kPause = 3s;

/** The second one may ask far more than it does, the third has no limit. */
gateway_world_options keyed(std::size_t instances) {
  gateway_world_options options;
  options.instances = instances;
  options.engines = 4;
  options.workspaces = {{"red", {"red-1", "red-2"}, 20000, 20000},
                        {"blue", {"blue-1"}, 1e9, 1e9},
                        {"green", {"green-1"}, 0, 0}};
  return options;
}

/** Sends requests of a key for a time; the entry is picked in turn. */
void send_keyed(gateway_world& w, const std::string& key, duration time,
                duration gap, std::uint32_t tokens) {
  const auto entries = w.instances();
  for (int i = 0; i * gap < time; ++i) {
    const auto entry = entries[static_cast<std::size_t>(i) % entries.size()];
    w.at(w.now() + i * gap,
         [&w, entry, key, tokens] { w.call_with_key(entry, key, tokens); });
  }
}

std::size_t with_status(gateway_world& w, int status, time_point from = {}) {
  std::size_t out = 0;
  for (const auto& call : w.calls()) {
    if (call->sent >= from && call->complete && call->status == status) ++out;
  }
  return out;
}

class keys : public testing::TestWithParam<std::size_t> {
 protected:
  gateway_world w_{keyed(GetParam())};
  const gateway::member_address first_ = w_.instances()[0];

  void SetUp() override { w_.run_for(kLargeSettled); }
  int status_of(std::vector<http_header> headers, bool is_public = false) {
    auto& call = w_.call_with_headers(first_, std::move(headers), is_public);
    w_.run_for(1s);
    return call.status;
  }
};

TEST_P(keys, a_request_runs_for_the_workspace_that_holds_its_key) {
  for (const auto who : w_.instances()) {
    w_.call_with_key(who, "red-2", 10);
    w_.call_with_key(who, "blue-1", 10);
  }
  w_.run_for(1s);
  EXPECT_EQ(count(w_).served, 2 * w_.instances().size());
  expect_rules_kept(w_);
}

TEST_P(keys, what_shows_no_known_key_is_refused_as_such) {
  EXPECT_EQ(status_of({}), kUnauthorized);
  EXPECT_EQ(status_of({{"Authorization", "Bearer never"}}), kUnauthorized);
  EXPECT_EQ(status_of({{"Authorization", "Bearer "}}), kUnauthorized);
  EXPECT_EQ(status_of({{"Authorization", "Basic red-1"}}), kUnauthorized);
  EXPECT_EQ(status_of({{"authorization", "Bearer red-1"},
                       {"Authorization", "Bearer blue-1"}}),
            kUnauthorized);
  EXPECT_EQ(status_of({{"x-tenant", "red"}}), kUnauthorized);
  expect_rules_kept(w_);
}

TEST_P(keys, a_public_route_needs_none_and_passes_none_on) {
  EXPECT_EQ(status_of({}, true), kOk);
  EXPECT_EQ(status_of({{"Authorization", "Bearer red-1"}}, true), kOk);
  EXPECT_EQ(status_of({{"X-Tenant", "red"}}, true), kOk);
  expect_rules_kept(w_);
}

TEST_P(keys, one_that_is_added_works_soon_and_one_taken_away_no_more) {
  w_.add_key("red", "red-3");
  w_.run_for(kPause);
  const auto added = w_.now();
  for (const auto who : w_.instances()) w_.call_with_key(who, "red-3", 10);
  w_.run_for(1s);
  EXPECT_EQ(with_status(w_, kOk, added), w_.instances().size());
  w_.take_key("red-3");
  w_.run_for(kPause);
  const auto taken = w_.now();
  for (const auto who : w_.instances()) w_.call_with_key(who, "red-3", 10);
  w_.run_for(1s);
  EXPECT_EQ(with_status(w_, kUnauthorized, taken), w_.instances().size());
  expect_rules_kept(w_);
}

TEST_P(keys, an_instance_without_word_takes_no_request_with_a_key) {
  w_.cut(first_, true);
  w_.deny_store(first_, true);
  w_.take_key("red-1");
  w_.run_for(5s);
  const auto& keyed_call = w_.call_with_key(first_, "red-1", 10);
  const auto& other = w_.call_with_key(first_, "blue-1", 10);
  const auto& open = w_.call_with_headers(first_, {}, true);
  w_.run_for(1s);
  EXPECT_EQ(keyed_call.status, kUnavailable);
  EXPECT_GT(keyed_call.retry_after, 0ms);
  EXPECT_LT(keyed_call.ended - keyed_call.sent, 5ms);
  EXPECT_EQ(other.status, kUnavailable);
  EXPECT_EQ(open.status, kOk);
  w_.cut(first_, false);
  w_.deny_store(first_, false);
  w_.run_for(kPause);
  const auto& again = w_.call_with_key(first_, "blue-1", 10);
  w_.run_for(1s);
  EXPECT_EQ(again.status, kOk);
  expect_rules_kept(w_);
}

TEST_P(keys, one_taken_away_before_the_store_was_restored_stays_so) {
  w_.copy_store();
  w_.take_key("red-1");
  w_.run_for(1s);
  w_.silence_store(true);
  w_.run_for(1500ms);
  w_.restore_store(6s);
  w_.silence_store(false);
  w_.run_for(200ms);
  // Two start anew before the store has the later configuration again.
  for (const auto who : {first_, w_.instances().back()}) {
    w_.kill(who);
    w_.start(who);
  }
  send_keyed(w_, "red-1", 8s, 20ms, 10);
  send_keyed(w_, "blue-1", 8s, 20ms, 10);
  w_.run_for(9s);
  const auto from = w_.now();
  send_keyed(w_, "blue-1", 1s, 20ms, 10);
  w_.run_for(kPause);
  EXPECT_EQ(with_status(w_, kOk, from), 50U);
  expect_rules_kept(w_);
}

TEST_P(keys, those_that_the_store_turns_away_go_by_the_word_of_others) {
  const auto who = w_.instances();
  for (std::size_t i = 0; i < who.size(); ++i) {
    if (i % 3 != 0) w_.deny_store(who[i], true);
  }
  w_.run_for(8s);
  const auto from = w_.now();
  send_keyed(w_, "blue-1", 6s, 20ms, 10);
  w_.run_for(8s);
  EXPECT_EQ(with_status(w_, kOk, from), 300U);
  expect_rules_kept(w_);
}

// What peers and the store said before the pause arrives after it.
TEST_P(keys, words_that_waited_through_a_pause_are_as_old_as_they_are) {
  for (int length = 5200; length < 6800; length += 100) {
    w_.run_for(1s);
    const auto key = fmt::format("red-{}", length);
    w_.add_key("red", key);
    w_.run_for(kPause);
    const auto who = w_.instances()[static_cast<std::size_t>(length / 100) %
                                    w_.instances().size()];
    w_.freeze(who, length * 1ms);
    w_.deny_store(who, true);
    w_.run_for(50ms);
    w_.take_key(key);
    w_.at(w_.now() + (length - 60) * 1ms,
          [this, who, key] { w_.call_with_key(who, key, 10); });
    w_.run_for(length * 1ms);
    w_.cut(who, true);
    w_.run_for(1s);
    w_.cut(who, false);
    w_.deny_store(who, false);
  }
  expect_rules_kept(w_);
}

TEST_P(keys, the_word_of_a_newer_configuration_confirms_no_older_one) {
  w_.deny_store(first_, true);
  w_.block_copies(true);
  w_.run_for(2s);
  w_.take_key("green-1");
  w_.run_for(5100ms);
  const auto& call = w_.call_with_key(first_, "green-1", 10);
  w_.run_for(1s);
  EXPECT_EQ(call.status, kUnavailable);
  expect_rules_kept(w_);
}

TEST_P(keys, a_late_answer_of_the_store_tells_of_when_it_was_asked) {
  for (int phase = 0; phase < 10; ++phase) {
    const auto key = fmt::format("green-late-{}", phase);
    w_.add_key("green", key);
    w_.run_for(kPause + phase * 110ms);
    w_.slow_store(1400ms);
    w_.run_for(1400ms);
    w_.cut(first_, true);
    w_.deny_store(first_, true);
    w_.take_key(key);
    // What the store said before still arrives.
    w_.run_for(5050ms);
    for (int i = 0; i < 20; ++i) {
      w_.call_with_key(first_, key, 10);
      w_.run_for(50ms);
    }
    w_.cut(first_, false);
    w_.deny_store(first_, false);
    w_.slow_store(4ms);
  }
  expect_rules_kept(w_);
}

TEST_P(keys, a_word_is_no_younger_than_when_it_was_asked_for) {
  w_.deny_store(first_, true);
  w_.run_for(1s);
  w_.slow_datagrams(1500ms);
  w_.run_for(6s);
  w_.take_key("green-1");
  // What was said before that still arrives; what was said after does not.
  w_.run_for(1495ms);
  w_.cut(first_, true);
  w_.run_for(3600ms);
  for (int i = 0; i < 20; ++i) {
    w_.call_with_key(first_, "green-1", 10);
    w_.run_for(50ms);
  }
  expect_rules_kept(w_);
}

INSTANTIATE_TEST_SUITE_P(fleets, keys, testing::Values(5, 24));

class limits : public testing::TestWithParam<std::size_t> {
 protected:
  gateway_world w_{keyed(GetParam())};

  void SetUp() override { w_.run_for(kLargeSettled); }
  void restart_all(duration down) {
    for (const auto who : w_.instances()) w_.kill(who);
    w_.run_for(down);
    for (const auto who : w_.instances()) w_.start(who);
  }
};

TEST_P(limits, bind_all_instances_together_and_are_given_out) {
  // Five times what the workspace may ask.
  send_keyed(w_, "red-1", 20s, 10ms, 1000);
  w_.run_for(20s);
  const auto spent = w_.spent("red", 10s);
  EXPECT_GT(spent, 0.9 * 20000 * 10);
  EXPECT_LT(spent, 1.1 * 20000 * 10 + 20000);
  EXPECT_GT(with_status(w_, kTooMany), 1000U);
  expect_rules_kept(w_);
}

TEST_P(limits, a_refusal_comes_at_once_and_says_when_to_come_back) {
  send_keyed(w_, "red-1", 4s, 10ms, 1000);
  w_.run_for(6s);
  EXPECT_GT(with_status(w_, kTooMany), 100U);
  for (const auto& call : w_.calls()) {
    if (call->status != kTooMany) continue;
    EXPECT_LT(call->ended - call->sent, 30ms);
    EXPECT_GT(call->retry_after, 0ms);
  }
}

TEST_P(limits, refuse_nothing_below_them) {
  send_keyed(w_, "red-1", 20s, 100ms, 1400);
  w_.run_for(22s);
  EXPECT_EQ(count(w_).served, 200U);
}

TEST_P(limits, do_not_hold_for_other_workspaces) {
  send_keyed(w_, "red-1", 10s, 10ms, 1000);
  send_keyed(w_, "blue-1", 10s, 50ms, 5000);
  w_.run_for(12s);
  std::size_t blue = 0;
  for (const auto& call : w_.calls()) {
    if (call->key == "blue-1" && call->status == kOk) ++blue;
  }
  EXPECT_EQ(blue, 200U);
}

TEST_P(limits, hold_on_both_sides_of_a_cut) {
  const auto who = w_.instances();
  send_keyed(w_, "red-1", 40s, 10ms, 1000);
  w_.run_for(5s);
  w_.split(
      {who.begin(), who.begin() + static_cast<std::ptrdiff_t>(who.size() / 2)});
  w_.run_for(20s);
  EXPECT_LT(w_.spent("red", 10s), 1.15 * 20000 * 10 + 20000);
  w_.split({});
  w_.run_for(20s);
  expect_rules_kept(w_);
}

TEST_P(limits, hold_through_restarts_of_all_and_stops_in_turn) {
  const auto who = w_.instances();
  send_keyed(w_, "red-1", 40s, 10ms, 1000);
  w_.run_for(8s);
  restart_all(300ms);
  w_.run_for(10s);
  for (std::size_t i = 0; i < who.size(); i += 2) {
    w_.stop(who[i]);
    w_.at(w_.now() + 3s, [this, each = who[i]] {
      w_.kill(each);
      w_.start(each);
    });
    w_.run_for(700ms);
  }
  w_.run_for(12s);
  expect_rules_kept(w_);
}

// Each start gives new accounts something, also where few know each other yet.
TEST_P(limits, hold_where_all_are_restarted_again_and_again) {
  send_keyed(w_, "red-1", 30s, 5ms, 1500);
  w_.run_for(6s);
  for (int round = 0; round < 3; ++round) {
    restart_all(500ms);
    w_.run_for(2s);
  }
  w_.run_for(12s);
  expect_rules_kept(w_);
}

TEST_P(limits, are_given_out_when_an_accountant_dies) {
  send_keyed(w_, "red-1", 20s, 100ms, 900);
  w_.run_for(5s);
  const auto first =
      gateway::first_members(stable_hash("red"), w_.instances(), 1);
  w_.kill(first[0]);
  w_.run_for(18s);
  std::size_t refused = 0;
  for (const auto& call : w_.calls()) {
    if (call->complete && call->status != kOk) ++refused;
  }
  EXPECT_LE(refused, 4U);
  expect_rules_kept(w_);
}

TEST_P(limits, a_lower_one_is_in_force_soon) {
  send_keyed(w_, "red-1", 30s, 10ms, 1000);
  w_.run_for(8s);
  w_.set_limit("red", 5000, 5000);
  w_.run_for(4s);
  w_.run_for(10s);
  EXPECT_LT(w_.spent("red", 10s), 1.1 * 5000 * 10 + 11000);
  EXPECT_GT(w_.spent("red", 10s), 0.8 * 5000 * 10);
}

INSTANTIATE_TEST_SUITE_P(fleets, limits, testing::Values(5, 24, 72));

/** Draws a fault that bears on keys or limits. */
void strike(gateway_world& w, std::mt19937_64& random, int round) {
  const auto who = w.instances();
  const auto one = who[random() % who.size()];
  const auto length = 500ms + (random() % 7000) * 1ms;
  switch (random() % 7) {
    case 0:
      w.freeze(one, length);
      break;
    case 1:
      w.cut(one, true);
      w.at(w.now() + length, [&w, one] { w.cut(one, false); });
      break;
    case 2: {
      const auto share = 2 + random() % 3;
      w.split({who.begin(),
               who.begin() + static_cast<std::ptrdiff_t>(who.size() / share)});
      w.at(w.now() + length, [&w] { w.split({}); });
      break;
    }
    case 3:
      for (std::size_t i = random() % 3; i < who.size(); i += 3) {
        w.deny_store(who[i], true);
        w.at(w.now() + length,
             [&w, each = who[i]] { w.deny_store(each, false); });
      }
      break;
    case 4:
      for (const auto each : who) {
        w.kill(each);
        w.at(w.now() + 300ms, [&w, each] {
          w.kill(each);
          w.start(each);
        });
      }
      break;
    case 5:
      w.silence_store(true);
      w.at(w.now() + length, [&w] { w.silence_store(false); });
      break;
    default:
      // Configurations in quick succession.
      for (int i = 0; i < 8; ++i) {
        w.at(w.now() + i * 180ms, [&w, round, i] {
          const auto key = fmt::format("red-{}-{}", round, i);
          w.add_key("red", key);
          w.at(w.now() + 2s, [&w, key] { w.take_key(key); });
          w.at(w.now() + 1s, [&w, key] { send_keyed(w, key, 12s, 90ms, 300); });
        });
      }
      break;
  }
}

class workspace_soak : public testing::TestWithParam<int> {};

TEST_P(workspace_soak, no_key_outlives_its_bound_and_no_limit_is_passed) {
  const std::size_t instances = GetParam() % 5 == 0 ? 72 : 20;
  auto options = keyed(instances);
  options.engines = 2;
  options.seed = static_cast<std::uint64_t>(GetParam());
  gateway_world w(options);
  std::mt19937_64 random(options.seed * 191);
  w.run_for(kLargeSettled);
  send_keyed(w, "red-1", 40s, 25ms, 1500);
  for (int round = 0; round < 8; ++round) {
    strike(w, random, round);
    w.run_for(200ms + (random() % 5000) * 1ms);
    if (round == 4) w.take_key("red-1");
  }
  w.run_for(20s);
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(seeds, workspace_soak, testing::Range(1, 21));

}  // namespace
}  // namespace seamglade
