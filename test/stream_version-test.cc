// seamglade - a stream goes on only at the software version that began it
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "version_play.h"

namespace seamglade {
namespace {

/** Of what is taken up goes on, of what begins: the rule allows half of it. */
constexpr double kLeastPart = 0.95;
constexpr duration kLoad = 12s;

void expect_versions_kept(version_play& play) {
  const auto got = play.counts();
  EXPECT_TRUE(got.joined.empty()) << all(got.joined);
  EXPECT_TRUE(got.broken_order.empty()) << all(got.broken_order);
  expect_rules_kept(play.world());
}

void expect_goes_on(const version_counts& got) {
  EXPECT_GE(got.went_on_share(), kLeastPart * got.begun_share())
      << got.went_on << " of " << got.taken_up << " went on, " << got.begun
      << " of " << got.sent << " began";
}

class stream_version : public testing::TestWithParam<std::uint64_t> {
 protected:
  stream_version() : play_(version_play::options(GetParam())) {}

  gateway_world& world() { return play_.world(); }
  gateway::member_address instance(std::size_t number) {
    return world().instances().at(number);
  }
  /** Has something happen so far apart, four times. */
  void repeat(duration gap, const std::function<void(std::size_t)>& task) {
    for (std::size_t i = 0; i < 4; ++i) {
      world().at(world().now() + gap * (i + 1), [task, i] { task(i); });
    }
  }

  version_play play_;
};

TEST_P(stream_version, a_broken_stream_is_resumed_at_the_version_it_began_at) {
  play_.load(kLoad);
  repeat(2s, [this](std::size_t i) {
    world().crash_target(world().engines().at(i * 3), 500ms);
    world().at(world().now() + 600ms, [this] { play_.send_streams(); });
  });
  world().run_for(kLoad + 9s);
  expect_versions_kept(play_);
}

// A target whose connections break is not one that may have been upgraded.
TEST_P(stream_version, a_stream_that_a_living_target_resets_goes_on) {
  play_.break_streams(0.4);
  play_.load(kLoad);
  world().run_for(kLoad + 9s);
  const auto got = play_.counts();
  EXPECT_GE(got.taken_up, 40U);
  expect_versions_kept(play_);
  expect_goes_on(got);
}

TEST_P(stream_version, a_stream_of_a_killed_instance_goes_on_elsewhere) {
  play_.load(kLoad);
  repeat(2500ms, [this](std::size_t i) {
    world().kill(instance(i));
    world().at(world().now() + 1s, [this, i] { world().start(instance(i)); });
  });
  world().run_for(kLoad + 9s);
  const auto got = play_.counts();
  EXPECT_GE(got.taken_up, 40U);
  expect_versions_kept(play_);
  expect_goes_on(got);
}

TEST_P(stream_version, a_stream_is_taken_up_twice_and_thrice) {
  play_.load(kLoad);
  repeat(2s, [this](std::size_t i) {
    for (int again = 0; again < 3; ++again) {
      world().at(world().now() + again * 300ms, [this, i] {
        for (std::size_t n = 0; n < 4; ++n) play_.reset_callers(instance(n));
        play_.reset_callers(instance(4 + i % 2));
      });
    }
  });
  world().run_for(kLoad + 9s);
  const auto got = play_.counts();
  EXPECT_GE(got.taken_up, 100U);
  expect_versions_kept(play_);
  expect_goes_on(got);
}

TEST_P(stream_version, a_stream_of_a_frozen_instance_goes_on_elsewhere) {
  play_.load(kLoad);
  repeat(2500ms, [this](std::size_t i) {
    play_.reset_callers(instance(i));
    world().freeze(instance(i), 2s);
  });
  world().run_for(kLoad + 9s);
  const auto got = play_.counts();
  EXPECT_GE(got.taken_up, 20U);
  expect_versions_kept(play_);
}

TEST_P(stream_version, streams_of_an_instance_cut_off_from_others_are_kept) {
  play_.load(kLoad);
  world().at(world().now() + 2s, [this] { world().cut(instance(0), true); });
  world().at(world().now() + 8s, [this] { world().cut(instance(0), false); });
  repeat(2s, [this](std::size_t i) {
    play_.reset_callers(instance(0));
    play_.reset_callers(instance(i + 1));
  });
  world().run_for(kLoad + 9s);
  expect_versions_kept(play_);
}

TEST_P(stream_version, all_instances_are_killed) {
  play_.load(kLoad);
  world().at(world().now() + 4s, [this] {
    for (const auto who : world().instances()) world().kill(who);
  });
  world().at(world().now() + 4500ms, [this] {
    for (const auto who : world().instances()) world().start(who);
  });
  world().run_for(kLoad + 9s);
  expect_versions_kept(play_);
}

TEST_P(stream_version, a_stream_is_handed_on_and_broken_off_there) {
  play_.load(kLoad);
  world().at(world().now() + 1s, [this] {
    for (std::size_t n = 0; n < 3; ++n) {
      world().cut_targets(instance(n), fakes::target_cut::hang);
    }
  });
  repeat(2500ms, [this](std::size_t i) {
    world().crash_target(world().engines().at(i * 3), 500ms);
    world().at(world().now() + 600ms, [this] { play_.send_streams(); });
    play_.reset_callers(instance(i % 3));
  });
  world().run_for(kLoad + 9s);
  EXPECT_GT(world().relays(), 100U);
  expect_versions_kept(play_);
}

TEST_P(stream_version, what_is_handed_on_runs_on_as_few_targets_as_allowed) {
  play_.load(kLoad);
  world().at(world().now() + 1s, [this] {
    for (std::size_t n = 0; n < 3; ++n) {
      world().cut_targets(instance(n), fakes::target_cut::hang);
    }
  });
  for (std::size_t i = 0; i < 8; ++i) {
    world().at(world().now() + 4s + i * 700ms, [this, i] {
      world().crash_target(world().engines().at(i), 500ms);
    });
  }
  // Helpers die where they have resumed streams.
  for (std::size_t i = 3; i < 6; ++i) {
    world().at(world().now() + 3s + i * 700ms,
               [this, i] { world().kill(instance(i)); });
    world().at(world().now() + 4s + i * 700ms,
               [this, i] { world().start(instance(i)); });
  }
  world().run_for(kLoad + 9s);
  EXPECT_GT(world().relays(), 100U);
  expect_versions_kept(play_);
}

TEST_P(stream_version, a_target_is_upgraded_in_place) {
  play_.load(kLoad);
  repeat(2s, [this](std::size_t i) {
    const auto late = i % 2 == 0 ? 0ms : 800ms;
    world().upgrade_in_place(world().engines().at(i * 3), i < 2 ? "v3" : "v2",
                             700ms, late);
  });
  repeat(2300ms, [this](std::size_t i) { play_.reset_callers(instance(i)); });
  world().run_for(kLoad + 9s);
  expect_versions_kept(play_);
}

INSTANTIATE_TEST_SUITE_P(seeds, stream_version,
                         testing::Range<std::uint64_t>(1, 4));

TEST(stream_versions, a_version_that_has_gone_is_refused_at_once) {
  auto options = version_play::options(11);
  options.engines = 2;
  version_play play(options);
  auto& w = play.world();
  play.load(4s);
  w.run_for(3s);
  const auto all = w.engines();
  w.drain_target(all.at(0));
  w.run_for(500ms);
  for (const auto who : w.instances()) play.reset_callers(who);
  w.run_for(12s);
  std::size_t refused = 0;
  for (const auto& call : w.calls()) {
    if (call->earlier == nullptr) continue;
    if (call->status != kUnavailable) continue;
    ++refused;
    EXPECT_LE(call->ended - call->sent, 150ms) << call->id;
    EXPECT_EQ(w.runs_of(call->id), 0U) << call->id;
  }
  EXPECT_GT(refused, 3U);
  expect_versions_kept(play);
}

TEST(stream_versions, a_stream_that_nobody_knows_is_not_joined_to_another) {
  version_play play(version_play::options(12));
  auto& w = play.world();
  gateway_call invented;
  invented.id = "never-sent";
  invented.adapter = "a1";
  invented.body = "id: 3\n\n";
  for (int i = 0; i < 10; ++i) {
    const auto& call = w.take_up(w.instances().front(), invented);
    w.run_for(2s);
    EXPECT_EQ(call.status, kUnavailable);
    EXPECT_LE(call.ended - call.sent, 150ms);
    EXPECT_EQ(w.runs_of(call.id), 0U);
  }
}

TEST(stream_versions, one_version_alone_takes_up_what_nobody_knows) {
  auto options = version_play::options(13);
  options.software = {"v1"};
  version_play play(options);
  auto& w = play.world();
  play.load(8s);
  // Nobody is left who has seen the streams begin.
  w.at(w.now() + 4s, [&w] {
    for (const auto who : w.instances()) w.kill(who);
  });
  w.at(w.now() + 4500ms, [&w] {
    for (const auto who : w.instances()) w.start(who);
  });
  w.at(w.now() + 7s, [&] {
    for (const auto who : w.instances()) play.reset_callers(who);
  });
  w.run_for(17s);
  const auto got = play.counts();
  EXPECT_GE(got.taken_up, 40U);
  expect_goes_on(play.counts(w.now() - 15s));
  expect_versions_kept(play);
}

TEST(stream_versions, a_large_fleet_keeps_streams_at_their_versions) {
  auto options = version_play::options(14);
  options.instances = 40;
  options.engines = 30;
  version_play play(options);
  auto& w = play.world();
  play.load(kLoad);
  for (std::size_t i = 0; i < 8; ++i) {
    w.at(w.now() + (i + 1) * 1200ms, [&, i] {
      for (std::size_t n = 0; n < 4; ++n) w.kill(w.instances().at(4 * i + n));
    });
  }
  w.run_for(kLoad + 9s);
  const auto got = play.counts();
  EXPECT_GE(got.taken_up, 40U);
  expect_versions_kept(play);
  expect_goes_on(got);
}

}  // namespace
}  // namespace seamglade
