// seamglade - limits that targets name in answers, for all instances together
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "drawn_play.h"
#include "process/grant_ledger.h"
#include "process/target_table.h"

namespace seamglade {
namespace {

using gateway::member_address;

/** From a target's first word until its limit surely binds. */
constexpr duration kHeard = 3s;

gateway_world_options fleet_of(std::size_t instances) {
  gateway_world_options options;
  options.instances = instances;
  options.engines = 12;
  options.adapter_slots = 12;
  options.plain_targets = 4;
  options.target_domains = {"east", "west"};
  return options;
}

/** A fleet whose adapters are loaded and asked for by all instances. */
void warm_up(gateway_world& w) {
  w.run_for(w.instances().size() > 13 ? kLargeSettled : kSettled);
  send_load(w, 4s, 10ms, 20);
  w.run_for(4s);
}

/** A fleet before targets that name limits. */
class limited_world {
 protected:
  explicit limited_world(gateway_world_options options)
      : w_(std::move(options)) {
    warm_up(w_);
  }
  ~limited_world() = default;

  static std::map<std::string, double> limits() {
    return {{"llm-0", 2.3}, {"llm-1", 1}, {"llm-2", 0.2}, {"plain-0", 5}};
  }
  void name_limits() {
    for (const auto& [id, rate] : limits()) {
      w_.name_limit(id, {fmt::format("{}", rate), rate});
    }
  }
  /** Since then, all together have sent no more than each of the limits. */
  void expect_limits_kept(time_point from) {
    const auto seconds = static_cast<double>((w_.now() - from) / 1ms) / 1000;
    for (const auto& [id, rate] : limits()) {
      // What was kept may come at once: a quarter of a second's, or one.
      const auto most = rate * seconds + std::max(1.0, rate / 4);
      EXPECT_LE(w_.arrivals_at(id, from), most) << id;
    }
    EXPECT_EQ(w_.unheeded().over_limit, 0U);
  }
  /** A third of the instances is cut off twice, for 6 s; the limits hold. */
  void live_through_two_cuts() {
    const auto all = w_.instances();
    const std::vector<member_address> side(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(all.size() / 3));
    name_limits();
    send_load(w_, 30s, 10ms, 20);
    w_.run_for(kHeard);
    const auto heard = w_.now();
    for (int round = 0; round < 4; ++round) {
      w_.split(round % 2 == 0 ? side : std::vector<member_address>());
      w_.run_for(6s);
    }
    expect_limits_kept(heard);
    w_.run_for(6s);
  }

  gateway_world w_;
};

/** Named by its number of instances. */
class limited_fleet : public limited_world,
                      public testing::TestWithParam<std::size_t> {
 protected:
  limited_fleet() : limited_world(fleet_of(GetParam())) {}
};

/** 24 instances, named by the seed of the play. */
class cut_fleet : public limited_world,
                  public testing::TestWithParam<std::uint64_t> {
 protected:
  cut_fleet() : limited_world(options()) {}

  static gateway_world_options options() {
    auto out = fleet_of(24);
    out.seed = GetParam();
    return out;
  }
};

TEST_P(limited_fleet, all_together_send_no_more_than_the_limit) {
  const auto from = w_.now();
  name_limits();
  send_load(w_, 23s, 10ms, 20);
  w_.run_for(kHeard);
  const auto heard = w_.now();
  w_.run_for(20s);
  expect_limits_kept(heard);
  w_.run_for(4s);
  // Others had room.
  EXPECT_EQ(count(w_, from).refused, 0U);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, holds_on_both_sides_of_a_cut) {
  live_through_two_cuts();
  // Who holds a target is another matter: both sides of a cut may order.
  for (const auto& line : w_.violations()) {
    EXPECT_NE(line.find("take turns"), std::string::npos) << line;
  }
  expect_runs_kept(w_);
}

TEST_P(limited_fleet, both_sides_of_a_cut_keep_all_rules) {
  live_through_two_cuts();
  expect_rules_kept(w_);
}

TEST_P(cut_fleet, both_sides_of_a_cut_keep_all_rules) {
  live_through_two_cuts();
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, holds_where_grantors_die_freeze_or_stop) {
  name_limits();
  send_load(w_, 30s, 10ms, 20);
  w_.run_for(kHeard);
  const auto heard = w_.now();
  const auto grantor = [&](const std::string& id) {
    return *gateway::grantor_of(gateway::hash_of(id), w_.instances());
  };
  w_.kill(grantor("llm-0"));
  w_.run_for(4s);
  w_.start(grantor("llm-0"));
  w_.run_for(4s);
  w_.freeze(grantor("llm-1"), 2500ms);
  w_.run_for(6s);
  w_.stop(grantor("plain-0"));
  w_.run_for(8s);
  expect_limits_kept(heard);
  w_.run_for(6s);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, one_that_starts_anew_hears_of_it_before_it_sends) {
  name_limits();
  send_load(w_, 2s, 10ms, 20);
  w_.run_for(kHeard);
  const auto newcomer = w_.instances()[3];
  w_.kill(newcomer);
  w_.run_for(3s);
  w_.start(newcomer);
  w_.run_for(3s);
  const auto from = w_.now();
  EXPECT_EQ(w_.status(newcomer).limited, 4U);
  for (int i = 0; i < 100; ++i) {
    w_.call_engine(newcomer, fmt::format("a{}", i % 20));
    w_.call_plain(newcomer, true);
    w_.run_for(20ms);
  }
  w_.run_for(3s);
  expect_limits_kept(from);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, holds_where_all_start_anew_at_once) {
  name_limits();
  send_load(w_, 20s, 10ms, 20);
  w_.run_for(kHeard);
  for (const auto who : w_.instances()) w_.kill(who);
  for (const auto who : w_.instances()) w_.start(who);
  w_.run_for(24s);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, a_limit_is_used_while_callers_wait) {
  for (int i = 0; i < 4; ++i) {
    w_.name_limit(fmt::format("plain-{}", i), {"3", 3});
  }
  const auto entries = w_.instances();
  for (int i = 0; i < 23 * 25; ++i) {
    const auto entry = entries[static_cast<std::size_t>(i) % entries.size()];
    w_.at(w_.now() + i * 40ms,
          [this, entry, i] { w_.call_plain(entry, i % 2 == 0); });
  }
  w_.run_for(kHeard);
  const auto heard = w_.now();
  w_.run_for(20s);
  std::size_t used = 0;
  for (int i = 0; i < 4; ++i) {
    used += w_.arrivals_at(fmt::format("plain-{}", i), heard);
  }
  EXPECT_GE(used, 216U);  // 0.9 of 4 targets, 3 a second, 20 s
  EXPECT_LE(used, 244U);
  w_.run_for(5s);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, one_that_names_no_limit_any_more_is_used_whole) {
  name_limits();
  send_load(w_, 25s, 10ms, 20);
  w_.run_for(10s);
  for (const auto& [id, rate] : limits()) w_.name_limit(id, {});
  // The least gets a request in 5 s, and its answer ends it for all.
  w_.run_for(8s);
  const auto lifted = w_.now();
  w_.run_for(5s);
  for (const auto& [id, rate] : limits()) {
    EXPECT_GT(w_.arrivals_at(id, lifted), 10U) << id;
  }
  for (const auto who : w_.instances()) EXPECT_EQ(w_.status(who).limited, 0U);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, a_limit_that_falls_and_rises_is_the_last_one_named) {
  send_load(w_, 40s, 10ms, 20);
  w_.name_limit("llm-0", {"4", 4});
  w_.run_for(10s);
  w_.name_limit("llm-0", {"1", 1});
  w_.run_for(3s);
  auto from = w_.now();
  w_.run_for(10s);
  EXPECT_LE(w_.arrivals_at("llm-0", from), 11U);
  w_.name_limit("llm-0", {"4", 4});
  w_.run_for(5s);
  from = w_.now();
  w_.run_for(10s);
  EXPECT_LE(w_.arrivals_at("llm-0", from), 41U);
  // More than the lower one let through.
  EXPECT_GT(w_.arrivals_at("llm-0", from), 11U);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, a_life_has_limits_of_its_own) {
  w_.name_limit("llm-0", {"0.2", 0.2});
  send_load(w_, 30s, 10ms, 20);
  w_.run_for(8s);
  const auto again = w_.restart_engine("llm-0");
  w_.run_for(8s);
  const auto from = w_.now();
  w_.run_for(5s);
  EXPECT_GT(w_.arrivals_at(again, from), 10U);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, words_that_are_no_limit_bind_nobody) {
  const std::vector<std::string> words = {"0", "-2", "few", "nan", "1e300"};
  for (std::size_t i = 0; i < words.size(); ++i) {
    w_.name_limit(fmt::format("llm-{}", i), {words[i], 0});
  }
  send_load(w_, 10s, 10ms, 20);
  w_.run_for(kHeard);
  const auto from = w_.now();
  w_.run_for(7s);
  for (std::size_t i = 0; i < words.size(); ++i) {
    EXPECT_GT(w_.arrivals_at(fmt::format("llm-{}", i), from), 15U) << words[i];
  }
  EXPECT_EQ(count(w_).refused, 0U);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, a_limit_in_one_answer_of_two_holds) {
  w_.name_limit("llm-0", {"2", 2, 2});
  send_load(w_, 40s, 10ms, 20);
  w_.run_for(15s);
  const auto from = w_.now();
  w_.run_for(20s);
  // It is lifted where eight answers in a row name none.
  EXPECT_LE(w_.arrivals_at("llm-0", from), 60U);
  w_.run_for(10s);
  expect_rules_kept(w_);
}

TEST_P(limited_fleet, where_all_name_hardly_any_callers_are_told_at_once) {
  for (int i = 0; i < 4; ++i) {
    w_.name_limit(fmt::format("plain-{}", i), {"0.01", 0.01});
  }
  send_load(w_, 6s, 10ms, 20);
  w_.run_for(9s);
  const auto from = w_.now();
  for (const auto who : w_.instances()) {
    w_.call_plain(who, true);
    w_.call_plain(who, false);
  }
  w_.run_for(200ms);
  std::set<duration> times;
  for (const auto& call : w_.calls()) {
    if (call->sent < from) continue;
    EXPECT_EQ(call->status, kUnavailable);
    EXPECT_LE(call->ended - call->sent, 100ms);
    EXPECT_GT(call->retry_after, 10s);
    times.insert(call->retry_after);
  }
  // Not all for the same grant.
  EXPECT_GT(times.size(), w_.instances().size());
  expect_rules_kept(w_);
}

INSTANTIATE_TEST_SUITE_P(seeds, cut_fleet,
                         testing::Values<std::uint64_t>(2, 5, 31));
INSTANTIATE_TEST_SUITE_P(fleets, limited_fleet, testing::Values(6, 24));

}  // namespace
}  // namespace seamglade
