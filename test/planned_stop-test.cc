// seamglade - planned stops: what is taken, what is refused, and until when
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/planned_stop.h"

#include <algorithm>
#include <random>

#include "gateway_checks.h"

namespace seamglade {
namespace {

using gateway::planned_stop;
using gateway::run_times;

constexpr int kGatewayTimeout = 504;
/** A call is under way to its target for less. */
constexpr duration kOnItsWay = 2ms;

TEST(stop_schedule, keeps_its_order_for_any_grace) {
  const time_point began(5s);
  for (const duration grace :
       {duration(1ms), duration(7ms), duration(100ms), duration(1s),
        duration(2s), duration(8s), duration(20s), duration(1h)}) {
    const auto times = make_stop_schedule(began, grace);
    EXPECT_LE(times.began, times.close_idle_from);
    EXPECT_LE(times.close_idle_from, times.answer_by);
    EXPECT_LE(times.answer_by, times.end);
    EXPECT_LT(times.end, began + grace);
  }
}

TEST(run_times, knows_the_longest_of_the_last_runs) {
  run_times times;
  EXPECT_FALSE(times.bound());
  times.learn(400ms);
  EXPECT_EQ(times.bound(), duration(500ms));
  times.learn(4s);
  EXPECT_EQ(times.bound(), duration(4550ms));
  for (int i = 0; i < 32; ++i) times.learn(100ms);
  EXPECT_EQ(times.bound(), duration(162500us));
}

TEST(run_times, is_cautious_only_from_enough_runs) {
  run_times times;
  for (int i = 0; i < 15; ++i) times.learn(1s);
  EXPECT_FALSE(times.cautious_bound());
  times.learn(1500ms);
  EXPECT_EQ(times.cautious_bound(), duration(3s));
}

class stopping : public testing::Test {
 protected:
  stopping() { way_.prefix = "/orders/"; }

  time_point now_{100s};
  gateway::route way_;
  planned_stop stop_;
};

TEST_F(stopping, begins_everything_before_the_stop) {
  EXPECT_TRUE(stop_.may_begin(now_, way_, 1h));
  EXPECT_EQ(stop_.answer_by(now_ + 1h), now_ + 1h);
}

TEST_F(stopping, counts_the_whole_time_where_no_run_was_seen) {
  stop_.begin(make_stop_schedule(now_, 8s));
  EXPECT_TRUE(stop_.may_begin(now_, way_, 7s));
  EXPECT_FALSE(stop_.may_begin(now_, way_, 8s));
  EXPECT_FALSE(stop_.may_begin(now_ + 1s, way_, 7s));
}

TEST_F(stopping, goes_by_the_runs_of_the_route) {
  stop_.learn(way_, 1s);
  stop_.begin(make_stop_schedule(now_, 8s));
  const auto last = stop_.times().answer_by - 1175ms;
  EXPECT_TRUE(stop_.may_begin(last, way_, 25s));
  EXPECT_FALSE(stop_.may_begin(last + 1ms, way_, 25s));
  gateway::route other;
  other.prefix = "/other/";
  EXPECT_FALSE(stop_.may_begin(last, other, 25s));
}

TEST_F(stopping, counts_for_a_stream_that_goes_on_what_it_still_lacks) {
  stop_.learn(way_, 4s);
  stop_.begin(make_stop_schedule(now_, 8s));
  EXPECT_FALSE(stop_.may_begin(now_ + 4s, way_, 25s));
  EXPECT_TRUE(stop_.may_begin(now_ + 4s, way_, 25s, 3s));
}

// A stream that took longer than the few before it was taken and broken off.
TEST_F(stopping, begins_a_stream_only_with_time_to_spare) {
  way_.stream = true;
  stop_.learn(way_, 1s);
  stop_.begin(make_stop_schedule(now_, 8s));
  EXPECT_FALSE(stop_.may_begin(now_, way_, 25s));
  for (int i = 0; i < 15; ++i) stop_.learn(way_, 1s);
  const auto last = stop_.times().answer_by - 2s;
  EXPECT_TRUE(stop_.may_begin(last, way_, 25s));
  EXPECT_FALSE(stop_.may_begin(last + 1ms, way_, 25s));
}

TEST_F(stopping, lets_no_request_outlast_the_stop) {
  stop_.begin(make_stop_schedule(now_, 8s));
  EXPECT_EQ(stop_.answer_by(now_ + 1h), stop_.times().answer_by);
  EXPECT_EQ(stop_.answer_by(now_ + 1s), now_ + 1s);
}

TEST_F(stopping, follows_a_grace_that_changes) {
  stop_.begin(make_stop_schedule(now_, 8s));
  EXPECT_FALSE(stop_.may_begin(now_, way_, 10s));
  stop_.begin(make_stop_schedule(now_, 20s));
  EXPECT_TRUE(stop_.may_begin(now_, way_, 10s));
}

TEST_F(stopping, forgets_routes_that_are_gone) {
  stop_.learn(way_, 1s);
  stop_.keep_routes_of({});
  EXPECT_EQ(stop_.expected(way_, 25s), duration(25s));
}

/** How long the platform waits, and what callers ask meanwhile. */
struct stop_case {
  duration grace;
  duration work;
  duration deadline;
  duration timeout;
};

stop_case drawn_case(unsigned seed) {
  std::mt19937 random(seed);
  const auto between = [&](int least, int most) {
    return std::uniform_int_distribution<>(least, most)(random) * 1ms;
  };
  const auto work = between(50, 4000);
  return {between(1000, 20000), work, work + between(100, 10000),
          work + between(100, 20000)};
}

/** Instances that stop in turn while callers go on asking them. */
class stop_play {
 public:
  explicit stop_play(const stop_case& how, std::uint64_t seed = 1)
      : how_(how), world_(options_of(how, seed)) {
    for (const auto& id : world_.plain_targets()) {
      world_.slow_target(id, how.work);
    }
    world_.run_for(kSettled);
    call_all_for(how_.work * 3 + 2s);
    world_.run_for(how_.work * 2 + 1s);
  }

  gateway_world& world() { return world_; }

  /** All but the last stop, one second after the other. */
  void stop_in_turn() {
    const auto all = world_.instances();
    for (std::size_t i = 0; i + 1 < all.size(); ++i) {
      stop(all[i]);
      call_all_for(1s);
      world_.run_for(1s);
    }
    call_all_for(how_.grace);
    world_.run_for(how_.grace + how_.work + how_.deadline + 1s);
  }

  void stop(gateway::member_address who) {
    times_[who] = make_stop_schedule(world_.now(), how_.grace);
    world_.stop_and_end(who, how_.grace);
  }

  void expect_kept() {
    expect_rules_kept(world_);
    for (const auto& call : world_.calls()) expect_kept(*call);
  }

  std::size_t refused() { return count(world_).refused; }

 private:
  static gateway_world_options options_of(const stop_case& how,
                                          std::uint64_t seed) {
    gateway_world_options out;
    out.instances = 4;
    out.engines = 1;
    out.plain_targets = 3;
    out.seed = seed;
    out.admission = false;
    out.plain_timeout = how.timeout;
    out.deadline = how.deadline;
    return out;
  }

  void call_all_for(duration time) {
    const auto gap = std::max<duration>(50ms, how_.work / 8);
    for (duration when{}; when < time; when += gap) {
      world_.at(world_.now() + when, [this] {
        // Each instance sees both routes.
        const bool is_repeatable = ++rounds_ % 2 == 0;
        for (const auto who : world_.instances()) {
          if (world_.is_running(who)) world_.call_plain(who, is_repeatable);
        }
      });
    }
  }

  void expect_kept(const gateway_call& call) {
    EXPECT_FALSE(call.aborted) << call.id << " was cut off";
    const auto found = times_.find(call.entry);
    if (found == times_.end() || call.sent <= found->second.began) return;
    const auto& times = found->second;
    const auto until = world_.handed_until(call.id);
    EXPECT_LE(until, times.answer_by + kOnItsWay)
        << call.id << " had time beyond the stop";
    if (call.status != kUnavailable) return;
    const auto allowed = std::min(how_.deadline, how_.timeout);
    const auto longest = std::min(allowed, how_.work * 9 / 8 + 150ms);
    EXPECT_GT(call.sent + longest, times.answer_by)
        << call.id << " was refused without need, "
        << (call.sent - times.began) / 1ms << " ms into the stop";
  }

  stop_case how_;
  gateway_world world_;
  std::map<gateway::member_address, stop_schedule> times_;
  unsigned rounds_ = 0;
};

class stop_cases : public testing::TestWithParam<stop_case> {};

// Requests taken late in a stop were cut off when the process ended.
TEST_P(stop_cases, cut_off_nothing_and_refuse_only_what_would_not_end) {
  stop_play play(GetParam());
  play.stop_in_turn();
  play.expect_kept();
}

INSTANTIATE_TEST_SUITE_P(named, stop_cases,
                         testing::Values(stop_case{8s, 3s, 5s, 5s},
                                         stop_case{2s, 900ms, 1500ms, 1500ms},
                                         stop_case{20s, 3s, 5s, 5s},
                                         stop_case{8s, 300ms, 20s, 25s},
                                         stop_case{100ms, 30ms, 1s, 1s}));

// Others hand requests on to instances that stop, and stop themselves.
TEST(planned_stop, cuts_off_nothing_that_was_handed_on) {
  stop_play play({8s, 2s, 6s, 6s});
  auto& w = play.world();
  const auto cut = w.instances()[0];
  w.cut_targets(cut, fakes::target_cut::reset);
  for (int i = 0; i < 10; ++i) w.call_plain(cut, true);
  w.run_for(2s);
  w.call_plain(cut, true);
  w.run_for(100ms);
  EXPECT_GT(w.status(cut).relayed_out, 0U);
  play.stop_in_turn();
  play.expect_kept();
}

class drawn_stops : public testing::TestWithParam<unsigned> {};

TEST_P(drawn_stops, cut_off_nothing_and_refuse_only_what_would_not_end) {
  stop_play play(drawn_case(GetParam()), GetParam());
  play.stop_in_turn();
  play.expect_kept();
}

INSTANTIATE_TEST_SUITE_P(seeds, drawn_stops, testing::Range(1U, 51U));

/** Returns when a call is asked back that comes `late` into its stop. */
duration asked_back(stop_play& play, duration late) {
  auto& w = play.world();
  w.run_for(late);
  const auto& call = w.call_plain(w.instances()[0], false);
  w.run_for(10ms);
  EXPECT_EQ(call.status, kUnavailable);
  return call.retry_after;
}

TEST(planned_stop, asks_callers_back_at_once_while_others_stay) {
  stop_play play({8s, 3s, 5s, 5s});
  play.stop(play.world().instances()[0]);
  EXPECT_LE(asked_back(play, 7s), duration(100ms));
}

TEST(planned_stop, asks_callers_back_later_where_nobody_stays) {
  stop_play play({8s, 3s, 5s, 5s});
  for (const auto each : play.world().instances()) play.stop(each);
  EXPECT_GE(asked_back(play, 6s), duration(500ms));
}

// A run that takes longer than any before has an end that its caller sees.
TEST(planned_stop, answers_what_still_runs_at_its_end) {
  stop_play play({8s, 300ms, 20s, 25s});
  auto& w = play.world();
  for (const auto& id : w.plain_targets()) w.slow_target(id, 15s);
  const auto who = w.instances()[0];
  play.stop(who);
  const auto& call = w.call_plain(who, false);
  w.run_for(10s);
  EXPECT_TRUE(call.complete);
  EXPECT_EQ(call.status, kGatewayTimeout);
}

TEST(planned_stop, does_not_repeat_what_would_not_end) {
  stop_play play({8s, 3s, 7s, 7s});
  auto& w = play.world();
  const auto who = w.instances()[0];
  play.stop(who);
  // The call fits into the stop, and its repeat 30 ms later does not.
  w.run_for(4020ms);
  for (const auto& id : w.plain_targets()) w.break_target(id, true);
  const auto& call = w.call_plain(who, true);
  w.run_for(10s);
  EXPECT_TRUE(call.complete);
  EXPECT_EQ(w.runs_of(call.id), 1U);
}

// All routes went by the longest runs of any.
TEST(planned_stop, refuses_nothing_for_the_long_runs_of_another_route) {
  gateway_world_options options;
  options.plain_timeout = 8s;
  gateway_world w(options);
  const auto who = w.instances()[0];
  for (const auto& id : w.engines()) w.slow_target(id, 3s);
  w.run_for(kSettled);
  const auto& first = w.call_engine(who, "a1");
  w.call_plain(who, false);
  w.run_for(6s);
  EXPECT_EQ(first.status, kOk);
  w.stop_and_end(who, 8s);
  w.run_for(5s);
  const auto& slow = w.call_engine(who, "a1");
  const auto& quick = w.call_plain(who, false);
  w.run_for(4s);
  EXPECT_EQ(slow.status, kUnavailable);
  EXPECT_EQ(quick.status, kOk);
}

/** Streams of a plain service, one event each 100 ms, and an instance. */
class stream_stops : public testing::Test {
 protected:
  stream_stops() : world_(options()), who_(world_.instances()[0]) {
    send_events(30);
    world_.run_for(kSettled);
    constexpr int kSeen = 16;
    for (int i = 0; i < kSeen; ++i) world_.stream_plain(who_);
    world_.run_for(4s);
  }

  void send_events(std::size_t count) {
    fakes::fake_stream how;
    how.events = count;
    how.sends_whole_events = true;
    how.gap = 100ms;
    for (const auto& id : world_.plain_targets()) {
      world_.send_streams(id, how);
    }
  }

  gateway_world world_;
  gateway::member_address who_;

 private:
  static gateway_world_options options() {
    gateway_world_options out;
    out.plain_streams = true;
    return out;
  }
};

TEST_F(stream_stops, take_a_stream_that_ends_in_time_and_refuse_a_later_one) {
  world_.stop_and_end(who_, 8s);
  world_.run_for(1s);
  const auto& early = world_.stream_plain(who_);
  world_.run_for(2s);
  const auto& late = world_.stream_plain(who_);
  world_.run_for(6s);
  EXPECT_TRUE(early.complete);
  EXPECT_EQ(early.status, kOk);
  EXPECT_EQ(late.status, kUnavailable);
  expect_rules_kept(world_);
}

TEST_F(stream_stops, break_off_a_stream_that_outlasts_them_and_others_go_on) {
  send_events(75);
  const auto end = make_stop_schedule(world_.now(), 8s).end;
  world_.stop_and_end(who_, 8s);
  world_.run_for(500ms);
  const auto& cut = world_.stream_plain(who_);
  world_.run_for(8500ms);
  EXPECT_TRUE(cut.aborted);
  EXPECT_LT(cut.ended, end);
  const auto& taken_up = world_.take_up(world_.instances()[1], cut);
  world_.run_for(8s);
  EXPECT_TRUE(taken_up.complete);
  EXPECT_EQ(taken_up.status, kOk);
  EXPECT_EQ(cut.body.find("id: 75"), std::string::npos);
  EXPECT_NE(taken_up.body.find("id: 75"), std::string::npos);
}

}  // namespace
}  // namespace seamglade
