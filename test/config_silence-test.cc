// seamglade - configurations while open connections fall silent
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

#include "gateway_checks.h"

namespace seamglade {
namespace {

/** What is acknowledged is in force everywhere after this time. */
constexpr duration kInForce = 2s;
constexpr duration kLatestSilence = 2s;
constexpr duration kStep = 100ms;
constexpr std::size_t kLargeFleet = 24;
constexpr std::size_t kManyRoutes = 700;
/** What a slow store's answers take. */
constexpr duration kSlowAnswer = 240ms;

struct silent_play {
  std::size_t instances;
  std::uint64_t seed;
};

/** Open connections fall silent before a configuration is acknowledged. */
class silent_connections : public testing::TestWithParam<silent_play> {
 protected:
  static gateway_world_options options() {
    gateway_world_options out;
    out.instances = GetParam().instances;
    out.seed = GetParam().seed;
    return out;
  }

  static void settle(gateway_world& w) {
    w.run_for(GetParam().instances == kLargeFleet ? kLargeSettled : kSettled);
  }

  /** Returns how many instances lack a version. */
  static std::size_t lacking(gateway_world& w, std::uint64_t version) {
    const auto all = w.instances();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(),
        [&](auto who) { return w.status(who).configuration != version; }));
  }
};

TEST_P(silent_connections, a_configuration_is_in_force_everywhere_in_time) {
  for (duration before{}; before <= kLatestSilence; before += kStep) {
    gateway_world w(options());
    settle(w);
    w.silence_connections();
    w.run_for(before);
    w.publish_configuration(2, "/added/");
    w.run_for(kInForce);
    EXPECT_EQ(lacking(w, 2), 0U) << "silent " << before / 1ms << " ms before";
  }
}

TEST_P(silent_connections, each_of_many_silences_is_found) {
  gateway_world w(options());
  settle(w);
  for (std::uint64_t version = 2; version < 12; ++version) {
    w.silence_connections();
    w.run_for(version * 70ms);
    w.publish_configuration(version, "/added/");
    w.run_for(kInForce);
    EXPECT_EQ(lacking(w, version), 0U) << version;
  }
}

TEST_P(silent_connections, nothing_is_sent_to_a_target_that_left_meanwhile) {
  gateway_world w(options());
  settle(w);
  send_load(w, 12s, 10ms, 10);
  for (const auto* target : {"plain-0", "llm-1", "llm-3"}) {
    w.silence_connections();
    w.run_for(50ms);
    w.drain_target(target);
    w.run_for(4s);
  }
  expect_rules_kept(w);
}

TEST_P(silent_connections, a_large_configuration_is_in_force_in_time) {
  for (duration before{}; before <= kLatestSilence; before += 5 * kStep) {
    gateway_world w(options());
    settle(w);
    w.publish_configuration(2, "/llm/", kManyRoutes);
    w.run_for(kInForce);
    EXPECT_EQ(lacking(w, 2), 0U) << "in calm";
    w.silence_connections();
    w.run_for(before);
    w.publish_configuration(3, "/added/", kManyRoutes);
    w.run_for(kInForce);
    EXPECT_EQ(lacking(w, 3), 0U) << "silent " << before / 1ms << " ms before";
  }
}

TEST_P(silent_connections, no_call_to_the_store_is_repeated_in_calm) {
  gateway_world w(options());
  settle(w);
  w.publish_configuration(2, "/added/");
  w.run_for(30s);
  EXPECT_EQ(w.repeated_store_calls(), 0U);
}

TEST_P(silent_connections, no_call_to_a_slow_store_is_repeated) {
  gateway_world w(options());
  settle(w);
  w.slow_store(kSlowAnswer);
  w.publish_configuration(2, "/added/");
  w.run_for(30s);
  EXPECT_EQ(lacking(w, 2), 0U);
  EXPECT_EQ(w.repeated_store_calls(), 0U);
}

/** An instance without a world, and all that it has done. */
class lone_instance {
 public:
  lone_instance()
      : platform_(gateway::make_platform_dialect()),
        core_(options(), *platform_) {}

  void take(gateway::any_event event) {
    now_ += 1ms;
    for (auto& any : core_.handle(now_, std::move(event))) {
      actions_.push_back(std::move(any));
    }
  }

  void wait(duration time) {
    now_ += time;
    take(gateway::event::tick{});
  }

  /** The store answers the last call of a kind. */
  template <typename Call>
  void answer(gateway::store_epoch epoch, std::uint64_t revision) {
    answer(last<Call>().call, epoch, revision);
  }

  void answer(gateway::store_call_id call, gateway::store_epoch epoch,
              std::uint64_t revision) {
    gateway::event::store_read read;
    read.call = call;
    read.how = gateway::event::store_read::outcome::answered;
    read.epoch = epoch;
    read.answer.revision = revision;
    take(read);
    take(gateway::event::tick{});
  }

  template <typename Action>
  Action last() const {
    Action out;
    for (const auto& any : actions_) {
      if (const auto* found = std::get_if<Action>(&any)) out = *found;
    }
    return out;
  }

  gateway::gateway_status status() const { return core_.status(now_); }

 private:
  static gateway::gateway_options options() {
    gateway::gateway_options out;
    out.self = 1;
    return out;
  }

  std::unique_ptr<gateway::dialect> platform_;
  gateway::gateway_core core_;
  time_point now_ = time_point() + 1h;
  std::vector<gateway::any_action> actions_;
};

// Its revisions are of the former history, so the copy may lack items.
TEST(store_copies, one_asked_for_before_the_store_was_restored_is_not_taken) {
  using gateway::action::range_store;
  using gateway::action::watch_store;
  lone_instance one;
  one.take(gateway::event::tick{});
  // An epoch counts once two answers name it, those to both parts of a read.
  one.answer<range_store>(1, 10);
  one.answer<range_store>(1, 10);
  gateway::heartbeat beat;
  beat.epoch = 1;
  beat.store_revision = 100;
  one.take(gateway::event::datagram{2, beat});
  const auto fetch = one.last<gateway::action::fetch_changes>();
  ASSERT_NE(fetch.call, 0U);
  one.answer<watch_store>(2, 3);
  // A read takes a call for each of its two parts.
  one.answer<range_store>(2, 3);
  one.answer<range_store>(2, 3);
  ASSERT_EQ(one.status().store_epoch, 2U);

  gateway::event::peer_changes copy;
  copy.call = fetch.call;
  copy.from = fetch.from;
  copy.changes.emplace();
  copy.changes->epoch = 2;
  copy.changes->revision = 20;
  one.take(copy);
  EXPECT_EQ(one.status().store_revision, 3U);
}

TEST(store_calls, a_watch_whose_answer_is_too_large_is_replaced_by_pages) {
  using gateway::action::range_store;
  using gateway::action::watch_store;
  lone_instance one;
  one.take(gateway::event::tick{});
  one.answer<range_store>(1, 10);
  one.answer<range_store>(1, 10);
  const auto before = one.last<range_store>().call;
  gateway::event::store_read large;
  large.call = one.last<watch_store>().call;
  large.how = gateway::event::store_read::outcome::too_large;
  one.take(large);
  one.wait(400ms);
  ASSERT_NE(one.last<range_store>().call, before);
  one.answer<range_store>(1, 20);
  one.answer<range_store>(1, 21);
  EXPECT_EQ(one.status().store_revision, 20U);
  EXPECT_EQ(one.last<watch_store>().after, 20U);
}

TEST(store_calls, watches_that_are_answered_at_once_are_not_asked_without_end) {
  using gateway::action::range_store;
  using gateway::action::watch_store;
  lone_instance one;
  one.take(gateway::event::tick{});
  one.answer<range_store>(1, 10);
  one.answer<range_store>(1, 10);
  std::set<gateway::store_call_id> calls;
  for (auto spent = 0ms; spent < 2s; spent += 10ms) {
    const auto watch = one.last<watch_store>();
    calls.insert(watch.call);
    one.answer(watch.call, 1, 10);
    one.wait(10ms);
  }
  EXPECT_LE(calls.size(), 20U);
}

TEST(store_calls, a_store_without_history_is_not_read_without_end) {
  using gateway::action::range_store;
  using gateway::action::watch_store;
  lone_instance one;
  one.take(gateway::event::tick{});
  std::set<gateway::store_call_id> pages;
  for (auto spent = 0ms; spent < 2s; spent += 10ms) {
    const auto page = one.last<range_store>();
    pages.insert(page.call);
    one.answer(page.call, 1, 10);
    gateway::event::store_read gone;
    gone.call = one.last<watch_store>().call;
    gone.how = gateway::event::store_read::outcome::history_gone;
    gone.epoch = 1;
    one.take(gone);
    one.wait(10ms);
  }
  EXPECT_LE(pages.size(), 40U);
}

// Its position is what the watch from there was refused for.
TEST(store_copies, one_that_is_no_further_ends_no_read_of_pages) {
  using gateway::action::range_store;
  using gateway::action::watch_store;
  lone_instance one;
  one.take(gateway::event::tick{});
  one.answer<range_store>(1, 10);
  one.answer<range_store>(1, 10);
  gateway::heartbeat beat;
  beat.epoch = 1;
  beat.store_revision = 12;
  one.take(gateway::event::datagram{2, beat});
  const auto fetch = one.last<gateway::action::fetch_changes>();
  ASSERT_NE(fetch.call, 0U);
  gateway::event::store_read gone;
  gone.call = one.last<watch_store>().call;
  gone.how = gateway::event::store_read::outcome::history_gone;
  gone.epoch = 1;
  one.take(gone);
  one.wait(1ms);
  gateway::event::peer_changes copy;
  copy.call = fetch.call;
  copy.from = fetch.from;
  copy.changes.emplace();
  copy.changes->epoch = 1;
  copy.changes->revision = 10;
  one.take(copy);
  const auto watches = one.last<watch_store>().call;
  one.answer<range_store>(1, 20);
  one.answer<range_store>(1, 20);
  EXPECT_EQ(one.status().store_revision, 20U);
  EXPECT_GT(one.last<watch_store>().call, watches);
}

TEST(store_calls, a_late_answer_counts_where_no_new_connection_comes_up) {
  using gateway::action::range_store;
  using gateway::action::watch_store;
  lone_instance one;
  one.take(gateway::event::tick{});
  one.answer<range_store>(1, 10);
  one.answer<range_store>(1, 10);
  const auto watch = one.last<watch_store>();
  one.wait(watch.wait + 400ms);
  const auto repeated = one.last<watch_store>();
  ASSERT_NE(repeated.call, watch.call);
  ASSERT_TRUE(repeated.on_new_connection);
  gateway::event::store_read failed;
  failed.call = repeated.call;
  one.take(failed);
  one.answer(watch.call, 1, 11);
  EXPECT_EQ(one.status().store_revision, 11U);
}

std::vector<silent_play> plays() {
  std::vector<silent_play> out;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    out.push_back({6, seed});
    out.push_back({kLargeFleet, seed});
  }
  return out;
}

INSTANTIATE_TEST_SUITE_P(fleets, silent_connections, testing::ValuesIn(plays()),
                         [](const auto& play) {
                           return fmt::format("{}_instances_{}",
                                              play.param.instances,
                                              play.param.seed);
                         });

}  // namespace
}  // namespace seamglade
