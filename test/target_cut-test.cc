// seamglade - instances that are partitioned from all targets
//
// Callers, the store and the other instances still reach such an instance.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_checks.h"

namespace seamglade {
namespace {

using fakes::target_cut;
using gateway::member_address;

/** A cut is judged from this time after it began. */
constexpr duration kContact = 3s;
constexpr duration kCutTime = 12s;
/** Between two requests of the whole fleet. */
constexpr duration kGap = 15ms;
constexpr int kAdapters = 12;
/** Instances that one request may be handed on to. */
constexpr std::size_t kMostRelays = 3;

gateway_world_options checkout(std::uint64_t seed) {
  gateway_world_options options;
  options.instances = 6;
  options.engines = 12;
  options.plain_targets = 4;
  options.adapter_slots = 12;
  options.seed = seed;
  return options;
}

struct served_share {
  std::size_t sent = 0;
  std::size_t served = 0;

  double value() const {
    return sent == 0 ? 1
                     : static_cast<double>(served) / static_cast<double>(sent);
  }
};

/** What became of the requests of a time, at some instances and at others. */
struct comparison {
  served_share there;
  served_share elsewhere;
};

comparison compare(gateway_world& w, const std::vector<member_address>& some,
                   time_point from, time_point until) {
  comparison out;
  for (const auto& call : w.calls()) {
    if (call->sent < from || call->sent >= until) continue;
    const bool is_there =
        std::find(some.begin(), some.end(), call->entry) != some.end();
    auto& share = is_there ? out.there : out.elsewhere;
    ++share.sent;
    if (call->complete && call->status == kOk) ++share.served;
  }
  return out;
}

/** Lets a fleet settle, and sends it a steady load from then on. */
void settle_under_load(gateway_world& w, duration time) {
  w.run_for(kSettled);
  send_load(w, time, kGap, kAdapters);
  w.run_for(3s);
}

/** Cuts the first `count` instances off for a time, under a steady load. */
comparison play_cut(gateway_world& w, std::size_t count, target_cut how) {
  settle_under_load(w, kCutTime + 6s);
  auto cut = w.instances();
  cut.resize(count);
  const auto began = w.now();
  for (const auto who : cut) w.cut_targets(who, how);
  w.run_for(kCutTime);
  for (const auto who : cut) w.cut_targets(who, target_cut::none);
  w.run_for(12s);
  return compare(w, cut, began + kContact, began + kCutTime);
}

/** The rule allows two thirds of the others' share; the aim is all of it. */
constexpr double kLeastPart = 0.95;

void expect_alike(const comparison& got) {
  EXPECT_GE(got.elsewhere.value(), kLeastPart)
      << got.elsewhere.served << " of " << got.elsewhere.sent;
  EXPECT_GE(got.there.value(), kLeastPart * got.elsewhere.value())
      << got.there.served << " of " << got.there.sent << ", elsewhere "
      << got.elsewhere.served << " of " << got.elsewhere.sent;
}

class target_cut_play : public testing::TestWithParam<target_cut> {};

TEST_P(target_cut_play, callers_of_a_cut_off_instance_are_served_like_others) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    gateway_world w(checkout(seed));
    const auto got = play_cut(w, 1, GetParam());
    ASSERT_GT(got.there.sent, 50U);
    expect_alike(got);
    expect_rules_kept(w);
  }
}

TEST_P(target_cut_play, also_where_only_one_instance_reaches_targets) {
  gateway_world w(checkout(4));
  const auto got = play_cut(w, 5, GetParam());
  expect_alike(got);
  expect_rules_kept(w);
}

TEST_P(target_cut_play, no_request_is_blamed_for_a_partition) {
  gateway_world w(checkout(5));
  play_cut(w, 2, GetParam());
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).quarantines, 0U);
  }
}

std::string name_of(const testing::TestParamInfo<target_cut>& info) {
  switch (info.param) {
    case target_cut::none:
      break;
    case target_cut::hang:
      return "hang";
    case target_cut::reset:
      return "reset";
    case target_cut::refuse_new:
      return "refuse_new";
    case target_cut::accept_and_reset:
      return "accept_and_reset";
    case target_cut::accept_and_hang:
      return "accept_and_hang";
  }
  return "none";
}

INSTANTIATE_TEST_SUITE_P(, target_cut_play,
                         testing::Values(target_cut::hang, target_cut::reset,
                                         target_cut::refuse_new,
                                         target_cut::accept_and_reset,
                                         target_cut::accept_and_hang),
                         name_of);

TEST(target_cut, an_instance_knows_within_two_seconds_that_it_is_cut_off) {
  gateway_world w(checkout(6));
  settle_under_load(w, 12s);
  const auto who = w.instances().front();
  w.cut_targets(who, target_cut::hang);
  w.run_for(2s);
  EXPECT_TRUE(w.status(who).is_cut_off);
  w.cut_targets(who, target_cut::none);
  w.run_for(1s);
  EXPECT_FALSE(w.status(who).is_cut_off);
}

// Only the one target that is called owes a byte: no other shows the cut.
TEST(target_cut,
     callers_of_one_service_with_one_target_are_served_like_others) {
  for (const auto how : {target_cut::accept_and_hang, target_cut::hang}) {
    for (const std::uint64_t seed : {16, 17, 18}) {
      auto options = checkout(seed);
      options.plain_targets = 1;
      gateway_world w(options);
      w.run_for(kSettled);
      const auto all = w.instances();
      std::size_t turn = 0;
      for (auto t = 0ms; t < kCutTime + 6s; t += 60ms) {
        const auto who = all[turn++ % all.size()];
        const bool is_repeatable = turn % 2 == 0;
        w.at(w.now() + t,
             [&w, who, is_repeatable] { w.call_plain(who, is_repeatable); });
      }
      w.run_for(3s);
      const auto began = w.now();
      w.cut_targets(all.front(), how);
      w.run_for(kCutTime);
      w.cut_targets(all.front(), target_cut::none);
      w.run_for(12s);
      const auto got =
          compare(w, {all.front()}, began + kContact, began + kCutTime);
      ASSERT_GT(got.there.sent, 20U);
      expect_alike(got);
      expect_rules_kept(w);
    }
  }
}

TEST(target_cut, one_target_that_is_silent_for_long_is_no_cut) {
  auto options = checkout(19);
  options.plain_targets = 1;
  gateway_world w(options);
  w.run_for(kSettled);
  const auto all = w.instances();
  for (auto t = 0ms; t < 8s; t += 100ms) {
    w.at(w.now() + t, [&w, who = all.front()] { w.call_plain(who, true); });
  }
  w.run_for(1s);
  w.slow_target(w.plain_targets().front(), 5s);
  w.run_for(10s);
  EXPECT_EQ(w.status(all.front()).target_cuts, 0U);
}

TEST(target_cut, targets_of_a_cut_off_holder_get_another_that_loads) {
  gateway_world w(checkout(9));
  w.run_for(kSettled);
  send_load(w, 14s, kGap, kAdapters);
  const auto who = w.instances().front();
  ASSERT_GT(w.status(who).held, 0U);
  w.cut_targets(who, target_cut::hang);
  w.run_for(8s);
  std::size_t held = 0;
  for (const auto one : w.instances()) held += w.status(one).held;
  EXPECT_EQ(w.status(who).held, 0U);
  EXPECT_EQ(held, w.engines().size());
  w.cut_targets(who, target_cut::none);
  w.run_for(8s);
  expect_rules_kept(w);
}

TEST(target_cut, an_instance_that_hands_on_dies_or_its_helper_does) {
  for (const std::uint64_t seed : {10, 11, 12}) {
    gateway_world w(checkout(seed));
    w.run_for(kSettled);
    send_load(w, 16s, kGap, kAdapters);
    w.run_for(2s);
    const auto all = w.instances();
    for (std::size_t i = 0; i < 4; ++i) {
      w.cut_targets(all[i], target_cut::hang);
    }
    w.run_for(4s);
    w.kill(all[4]);
    w.run_for(2s);
    w.start(all[4]);
    w.kill(all[0]);
    w.run_for(2s);
    w.start(all[0]);
    w.freeze(all[5], 2s);
    w.run_for(12s);
    EXPECT_GT(w.relays(), 100U);
    expect_rules_kept(w);
    EXPECT_EQ(count(w).open, 0U);
  }
}

TEST(target_cut, a_service_that_is_down_costs_few_inner_calls_a_request) {
  auto options = checkout(15);
  options.instances = 12;
  gateway_world w(options);
  w.run_for(kSettled);
  for (int i = 0; i < 4; ++i) {
    w.crash_target(fmt::format("plain-{}", i), 20s);
  }
  const auto entries = w.instances();
  constexpr std::size_t kCalls = 24;
  for (std::size_t i = 0; i < kCalls; ++i) {
    w.at(w.now() + i * 500ms,
         [&w, who = entries[i % entries.size()]] { w.call_plain(who, false); });
  }
  w.run_for(16s);
  EXPECT_LE(w.relays(), kMostRelays * kCalls);
  expect_rules_kept(w);
}

TEST(target_cut, what_is_handed_on_ends_with_its_caller) {
  gateway_world w(checkout(13));
  w.run_for(kSettled);
  send_load(w, 6s, kGap, kAdapters);
  const auto who = w.instances().front();
  w.cut_targets(who, target_cut::hang);
  w.run_for(3s);
  auto& call = w.call_engine(who, "a1");
  w.run_for(30ms);
  w.leave(call);
  w.run_for(10s);
  for (const auto one : w.instances()) {
    EXPECT_EQ(w.status(one).calling + w.status(one).waiting, 0U);
  }
}

TEST(target_cut, a_target_that_is_silent_for_a_second_keeps_its_calls) {
  gateway_world w(checkout(14));
  settle_under_load(w, 10s);
  const auto target = w.engines().front();
  w.slow_target(target, 1100ms);
  w.run_for(1s);
  w.slow_target(target, 0ms);
  w.run_for(10s);
  const auto got = count(w);
  EXPECT_EQ(got.other + got.open, 0U);
  EXPECT_EQ(w.relays(), 0U);
  expect_rules_kept(w);
}

TEST(target_cut, a_lost_failure_domain_is_no_cut) {
  auto options = checkout(7);
  options.target_domains = {"east", "west", "north"};
  options.instance_domains = {"west", "east", "north"};
  gateway_world w(options);
  settle_under_load(w, 12s);
  w.lose_domain("east");
  w.run_for(6s);
  for (const auto who : w.instances()) {
    if (w.domain_of(who) == "east") continue;
    EXPECT_EQ(w.status(who).target_cuts, 0U);
  }
}

TEST(target_cut, calm_shows_no_target_out_of_reach) {
  gateway_world w(checkout(8));
  w.run_for(kSettled);
  send_load(w, 20s, kGap, kAdapters);
  w.run_for(25s);
  for (const auto who : w.instances()) {
    EXPECT_EQ(w.status(who).target_cuts, 0U);
    EXPECT_EQ(w.status(who).out_of_reach, 0U);
  }
}

class late_grant : public testing::TestWithParam<std::uint64_t> {};

// A place that is granted after the request was handed on is given back.
TEST_P(late_grant, a_request_that_was_handed_on_runs_once) {
  gateway_world w(checkout(GetParam()));
  w.run_for(kSettled);
  const auto all = w.instances();
  const auto cut_off = all.front();
  for (int i = 0; i < 40; ++i) {
    w.at(w.now() + i * 400ms, [&w, all, cut_off] {
      w.cut_targets(cut_off, target_cut::refuse_new);
      for (std::size_t n = 1; n < 4; ++n) w.freeze(all.at(n), 120ms);
    });
    w.at(w.now() + i * 400ms + 90ms,
         [&w, cut_off] { w.cut_targets(cut_off, target_cut::none); });
  }
  for (auto t = 0ms; t < 16s; t += 4ms) {
    w.at(w.now() + t, [&w, cut_off] { w.call_plain(cut_off, false); });
  }
  w.run_for(20s);
  EXPECT_GT(w.relays(), 20U);
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(seeds, late_grant,
                         testing::Range<std::uint64_t>(1, 4));

// Guards against targets blamed for an instance's own want of connections.
TEST(target_cut, an_instance_without_room_for_connections_blames_no_target) {
  gateway_world_options options;
  options.plain_targets = 3;
  gateway_world w(options);
  w.run_for(kSettled);
  const auto who = w.instances()[0];
  w.deny_connections(who, true);
  std::vector<fakes::gateway_call*> refused;
  for (int i = 0; i < 30; ++i) {
    refused.push_back(&w.call_plain(who, i % 2 == 0));
    refused.push_back(&w.call_engine(who, fmt::format("a{}", i % 4)));
    w.run_for(100ms);
  }
  for (const auto* call : refused) {
    EXPECT_EQ(call->status, kUnavailable);
    EXPECT_GT(call->retry_after, 0ms);
    EXPECT_EQ(w.runs_of(call->id), 0U);
  }
  EXPECT_EQ(w.status(who).target_cuts, 0U);
  w.deny_connections(who, false);
  auto& plain = w.call_plain(who, false);
  auto& stream = w.call_engine(who, "a1");
  w.run_for(2s);
  EXPECT_EQ(plain.status, kOk);
  EXPECT_EQ(stream.status, kOk);
  expect_rules_kept(w);
}

}  // namespace
}  // namespace seamglade
