// seamglade - parts of the direct path, each alone
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>

#include "process/event_log.h"
#include "process/gateway_metrics.h"
#include "process/gateway_shell.h"
#include "process/retry_budget.h"
#include "process/roster.h"
#include "process/target_keeper.h"
#include "process/target_table.h"
#include "request/event_stream.h"
#include "seamglade/gateway_config.h"
#include "version/store_mirror.h"

namespace seamglade::gateway {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

store_item item(const std::string& key, std::uint64_t revision,
                std::optional<std::string> value = "v") {
  return {key, revision, std::move(value)};
}

TEST(store_mirror, takes_items_forward_only) {
  store_mirror mirror;
  EXPECT_EQ(mirror.apply({5, false, {item("a", 5, "new")}}).size(), 1U);
  EXPECT_TRUE(mirror.apply({4, false, {item("a", 4, "old")}}).empty());
  EXPECT_TRUE(mirror.apply({5, false, {item("a", 5, "same")}}).empty());
  EXPECT_EQ(mirror.revision(), 5U);
}

TEST(store_mirror, leaves_out_what_the_other_has_but_of_no_whole_copy) {
  store_mirror mirror;
  mirror.apply({5, false, {item("a", 4), item("b", 5)}});
  const auto is_a = [](std::string_view key, std::uint64_t) {
    return key == "a";
  };
  EXPECT_EQ(mirror.changes_after(1, is_a).items.size(), 1U);
  store_mirror whole;
  whole.apply({5, true, {item("a", 4), item("b", 5)}});
  const auto copy = whole.changes_after(1, is_a);
  EXPECT_TRUE(copy.whole);
  EXPECT_EQ(copy.items.size(), 2U);
}

TEST(store_mirror, a_whole_copy_deletes_what_it_lacks) {
  store_mirror mirror;
  mirror.apply({5, false, {item("a", 3), item("b", 5)}});
  const auto news = mirror.apply({9, true, {item("b", 5)}});
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news[0].key, "a");
  EXPECT_FALSE(news[0].value);
}

TEST(store_mirror, an_old_whole_copy_deletes_nothing_newer) {
  store_mirror mirror;
  mirror.apply({9, false, {item("a", 9)}});
  EXPECT_TRUE(mirror.apply({5, true, {item("b", 5)}}).size() == 1U);
  EXPECT_EQ(mirror.revision(), 9U);
  EXPECT_EQ(mirror.size(), 2U);
}

TEST(store_mirror, tells_a_peer_what_it_lacks_deletions_too) {
  store_mirror source;
  source.apply({5, false, {item("a", 3), item("b", 5)}});
  store_mirror copy;
  copy.apply(source.changes_after(0));
  source.apply({7, false, {item("a", 6, std::nullopt), item("c", 7)}});
  const auto changes = source.changes_after(copy.revision());
  EXPECT_FALSE(changes.whole);
  EXPECT_EQ(changes.items.size(), 2U);
  const auto news = copy.apply(changes);
  EXPECT_EQ(news.size(), 2U);
  EXPECT_EQ(copy.revision(), 7U);
}

TEST(store_mirror, a_peer_that_missed_forgotten_deletions_gets_it_whole) {
  store_mirror source;
  source.apply({2, false, {item("kept", 1), item("gone", 2)}});
  store_mirror copy;
  copy.apply(source.changes_after(0));
  std::uint64_t revision = 3;
  source.apply({revision, false, {item("gone", revision, std::nullopt)}});
  for (int i = 0; i < 1100; ++i) {
    const auto key = "k" + std::to_string(i);
    source.apply({++revision, false, {item(key, revision)}});
    source.apply({++revision, false, {item(key, revision, std::nullopt)}});
  }
  const auto changes = source.changes_after(copy.revision());
  EXPECT_TRUE(changes.whole);
  const auto news = copy.apply(changes);
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news[0].key, "gone");
}

roster make_roster(member_address self,
                   std::vector<member_address> seeds = {}) {
  roster_options options;
  options.self = self;
  options.incarnation = 1;
  options.seeds = std::move(seeds);
  return roster(std::move(options));
}

TEST(roster, a_member_lives_while_its_beat_rises) {
  auto r = make_roster(1);
  r.beat(kStart);
  r.merge(kStart, 2, {{2, 0, 1, 1, false}});
  EXPECT_TRUE(r.is_alive(kStart, 2));
  const auto later = kStart + r.patience() + 1ms;
  r.merge(later, 3, {{3, 0, 1, 1, false}, {2, 0, 1, 1, false}});
  EXPECT_FALSE(r.is_alive(later, 2));
  r.merge(later, 3, {{2, 0, 1, 2, false}});
  EXPECT_TRUE(r.is_alive(later, 2));
}

TEST(roster, hearsay_of_an_unknown_member_is_no_sign_of_life) {
  auto r = make_roster(1);
  r.merge(kStart, 2, {{2, 0, 1, 1, false}, {3, 0, 1, 7, false}});
  EXPECT_FALSE(r.is_alive(kStart, 3));
  r.merge(kStart + 300ms, 2, {{3, 0, 1, 8, false}});
  EXPECT_TRUE(r.is_alive(kStart + 300ms, 3));
}

TEST(roster, outdoes_what_is_told_of_its_former_life) {
  auto r = make_roster(1);
  r.merge(kStart, 2, {{2, 0, 1, 1, false}, {1, 0, 50, 9, false}});
  EXPECT_GT(r.sample().front().incarnation, 50U);
}

TEST(roster, one_that_hears_too_few_is_isolated) {
  auto r = make_roster(1);
  r.beat(kStart);
  for (member_address m = 2; m <= 5; ++m) {
    r.merge(kStart, m, {{m, 0, 1, 1, false}});
  }
  EXPECT_FALSE(r.is_isolated(kStart));
  const auto later = kStart + r.patience() + 1ms;
  EXPECT_TRUE(r.is_isolated(later));
  r.merge(later, 2, {{2, 0, 1, 2, false}});
  r.merge(later, 3, {{3, 0, 1, 2, false}});
  EXPECT_FALSE(r.is_isolated(later));
}

TEST(roster, new_members_known_by_hearsay_make_nobody_isolated) {
  auto r = make_roster(1);
  r.beat(kStart);
  r.merge(kStart, 2, {{2, 0, 1, 1, false}});
  std::vector<member_row> rows{{2, 0, 1, 2, false}};
  for (member_address m = 10; m < 20; ++m) rows.push_back({m, 0, 1, 1, false});
  r.merge(kStart + 100ms, 2, rows);
  EXPECT_FALSE(r.is_isolated(kStart + 100ms));
}

TEST(roster, tells_when_it_last_met_a_member) {
  auto r = make_roster(1);
  EXPECT_FALSE(r.last_met());
  r.merge(kStart, 2, {{2, 0, 1, 1, false}});
  r.merge(kStart + 1s, 2, {{2, 0, 1, 2, false}});
  EXPECT_EQ(r.last_met(), kStart);
}

TEST(roster, one_alone_with_silent_seeds_waits_before_it_trusts_itself) {
  auto r = make_roster(1, {2, 3});
  r.beat(kStart);
  EXPECT_TRUE(r.is_isolated(kStart + 5s));
  EXPECT_FALSE(r.is_isolated(kStart + 20s));
  auto single = make_roster(1, {1});
  single.beat(kStart);
  EXPECT_FALSE(single.is_isolated(kStart + 1s));
}

engine_profile profile(std::uint32_t slots) {
  engine_profile out;
  out.slots = 64;
  out.adapter_slots = slots;
  out.weights_mb = 1000;
  out.models.push_back({"m", 500, 10, 600ms});
  return out;
}

engine_report report(std::uint64_t sequence,
                     std::vector<std::string> adapters) {
  engine_report out;
  out.sequence = sequence;
  out.models.push_back({"m", 1});
  for (auto& name : adapters) out.adapters.push_back({{"m", name}, 1});
  return out;
}

adapter_interest wants(const std::string& name) {
  adapter_interest row;
  row.name = {"m", name};
  row.waiting = 1;
  return row;
}

/** A keeper that has read and confirmed a report, and the time then. */
struct confirmed_keeper {
  explicit confirmed_keeper(std::uint32_t slots,
                            std::vector<std::string> held = {})
      : keeper("t", profile(slots), 7, takeover_check::agreeing_reports) {
    const auto first = report(1, std::move(held));
    EXPECT_EQ(keeper.next_step(now, true).what, keeper_step::kind::report);
    keeper.report_read(now, now, first);
    EXPECT_FALSE(keeper.is_known());
    now += 500ms;
    EXPECT_EQ(keeper.next_step(now, true).what, keeper_step::kind::report);
    keeper.report_read(now, now, first);
    EXPECT_TRUE(keeper.is_known());
  }
  time_point now = kStart;
  target_keeper keeper;
};

TEST(target_keeper, gives_no_order_before_two_reports_agree) {
  target_keeper keeper("t", profile(2), 7, takeover_check::agreeing_reports);
  keeper.set_interest(kStart, 1, {wants("a")});
  auto now = kStart;
  keeper.next_step(now, true);
  keeper.report_read(now, now, report(1, {}));
  now += 450ms;
  keeper.set_interest(now, 1, {wants("a")});
  EXPECT_EQ(keeper.next_step(now, true).what, keeper_step::kind::report);
  // Somebody else's load: start over.
  keeper.report_read(now, now, report(2, {"x"}));
  EXPECT_FALSE(keeper.is_known());
  EXPECT_EQ(keeper.next_step(now, true).what, keeper_step::kind::none);
}

TEST(target_keeper, loads_what_is_waited_for_and_reports_it_ready) {
  confirmed_keeper c(2);
  c.keeper.set_interest(c.now, 1, {wants("a")});
  const auto step = c.keeper.next_step(c.now, true);
  EXPECT_EQ(step.what, keeper_step::kind::order);
  EXPECT_EQ(step.name.adapter, "a");
  c.keeper.order_answered(c.now, engine_order_status::started);
  ASSERT_EQ(c.keeper.places().size(), 1U);
  EXPECT_FALSE(c.keeper.places()[0].ready);
  c.now += 200ms;
  c.keeper.next_step(c.now, true);
  c.keeper.report_read(c.now, c.now, report(2, {"a"}));
  EXPECT_TRUE(c.keeper.places()[0].ready);
}

TEST(target_keeper, makes_room_before_it_loads_and_spares_what_is_used) {
  confirmed_keeper c(2, {"x", "y"});
  c.now += 1s;
  auto used = wants("x");
  used.waiting = 0;
  used.running = 1;
  c.keeper.set_interest(c.now, 1, {used, wants("a")});
  auto step = c.keeper.next_step(c.now, true);
  EXPECT_EQ(step.order, engine_order_kind::unload);
  EXPECT_EQ(step.name.adapter, "y");
  c.keeper.order_answered(c.now, engine_order_status::done);
  step = c.keeper.next_step(c.now, true);
  EXPECT_EQ(step.order, engine_order_kind::load);
  EXPECT_EQ(step.name.adapter, "a");
}

TEST(target_keeper, an_unanswered_load_keeps_its_place_until_a_report_tells) {
  confirmed_keeper c(1);
  c.keeper.set_interest(c.now, 1, {wants("a"), wants("b")});
  c.keeper.next_step(c.now, true);
  c.keeper.order_answered(c.now, engine_order_status::unanswered);
  EXPECT_EQ(c.keeper.places().size(), 1U);
  c.now += 400ms;
  c.keeper.set_interest(c.now, 1, {wants("a"), wants("b")});
  EXPECT_EQ(c.keeper.next_step(c.now, true).what, keeper_step::kind::report);
  // Too soon after the order: it proves nothing.
  c.keeper.report_read(c.now, c.now, report(1, {}));
  EXPECT_EQ(c.keeper.places().size(), 1U);
  c.now += 400ms;
  c.keeper.next_step(c.now, true);
  c.keeper.report_read(c.now, c.now, report(1, {}));
  EXPECT_TRUE(c.keeper.places().empty());
}

TEST(target_keeper, a_load_that_was_long_on_its_way_keeps_its_place) {
  confirmed_keeper c(1);
  c.keeper.set_interest(c.now, 1, {wants("a"), wants("b")});
  c.keeper.next_step(c.now, true);
  // The answer takes a second; a report just after it lags behind the order.
  c.now += 1s;
  c.keeper.order_answered(c.now, engine_order_status::started);
  c.now += 600ms;
  EXPECT_EQ(c.keeper.next_step(c.now, true).what, keeper_step::kind::report);
  c.keeper.report_read(c.now, c.now, report(1, {}));
  EXPECT_EQ(c.keeper.places().size(), 1U);
  EXPECT_TRUE(c.keeper.take_dropped().empty());
}

bool is_ready(const target_keeper& keeper, const std::string& name) {
  const auto places = keeper.places();
  return std::any_of(places.begin(), places.end(), [&](const auto& place) {
    return place.ready && place.what.name.adapter == name;
  });
}

/** Has an adapter loaded: ordered now, ended `took` later by its answer. */
void load_by_answer(confirmed_keeper& c, const std::string& name,
                    duration took) {
  c.keeper.set_interest(c.now, 1, {wants(name)});
  const auto ordered = c.now;
  EXPECT_EQ(c.keeper.next_step(c.now, true).name.adapter, name);
  c.keeper.order_answered(c.now, engine_order_status::started);
  for (int asked = 0; asked < 100; ++asked) {
    c.now = c.keeper.next_wakeup();
    const auto step = c.keeper.next_step(c.now, true);
    ASSERT_TRUE(step.repeated);
    ASSERT_EQ(step.name.adapter, name);
    const bool ended = c.now - ordered >= took;
    c.keeper.order_answered(c.now, ended ? engine_order_status::done
                                         : engine_order_status::started);
    if (ended) return;
    EXPECT_FALSE(is_ready(c.keeper, name));
  }
  FAIL() << "never ended";
}

TEST(target_keeper, learns_from_a_repeated_order_that_a_load_has_ended) {
  confirmed_keeper c(2);
  load_by_answer(c, "a", 280ms);
  EXPECT_TRUE(c.keeper.places()[0].ready);
  EXPECT_EQ(c.keeper.loads(), 1U);
}

TEST(target_keeper, asks_at_the_time_that_loads_have_been_seen_to_take) {
  confirmed_keeper c(49);
  for (int i = 0; i < 30; ++i) {
    load_by_answer(c, "a" + std::to_string(i), 500ms);
    c.keeper.set_interest(c.now, 1, {});
  }
  EXPECT_GT(c.keeper.load_time(), 450ms);
  EXPECT_LT(c.keeper.load_time(), 560ms);
  for (int i = 0; i < 18; ++i) {
    load_by_answer(c, "b" + std::to_string(i), 50ms);
    c.keeper.set_interest(c.now, 1, {});
  }
  EXPECT_LT(c.keeper.load_time(), 300ms);
}

TEST(target_keeper,
     a_repeated_order_that_the_target_cant_take_changes_nothing) {
  confirmed_keeper c(1);
  c.keeper.set_interest(c.now, 1, {wants("a")});
  c.keeper.next_step(c.now, true);
  c.keeper.order_answered(c.now, engine_order_status::started);
  c.now = c.keeper.next_wakeup();
  ASSERT_TRUE(c.keeper.next_step(c.now, true).repeated);
  c.keeper.order_answered(c.now, engine_order_status::busy);
  ASSERT_EQ(c.keeper.places().size(), 1U);
  EXPECT_FALSE(c.keeper.places()[0].ready);
}

TEST(target_keeper, a_repeated_order_without_an_answer_is_left_to_reports) {
  confirmed_keeper c(1);
  c.keeper.set_interest(c.now, 1, {wants("a")});
  c.keeper.next_step(c.now, true);
  c.keeper.order_answered(c.now, engine_order_status::started);
  c.now = c.keeper.next_wakeup();
  ASSERT_TRUE(c.keeper.next_step(c.now, true).repeated);
  c.keeper.order_answered(c.now, engine_order_status::unanswered);
  EXPECT_EQ(c.keeper.places().size(), 1U);
  c.now += 2s;
  EXPECT_EQ(c.keeper.next_step(c.now, true).what, keeper_step::kind::report);
}

TEST(target_keeper, asks_soon_about_what_the_target_held_lately) {
  confirmed_keeper c(1);
  load_by_answer(c, "a", 250ms);
  c.now += 1s;
  c.keeper.set_interest(c.now, 1, {wants("b")});
  ASSERT_EQ(c.keeper.next_step(c.now, true).order, engine_order_kind::unload);
  c.keeper.order_answered(c.now, engine_order_status::done);
  load_by_answer(c, "b", 250ms);
  c.now += 1s;
  c.keeper.set_interest(c.now, 1, {wants("a")});
  ASSERT_EQ(c.keeper.next_step(c.now, true).order, engine_order_kind::unload);
  c.keeper.order_answered(c.now, engine_order_status::done);
  c.keeper.next_step(c.now, true);
  c.keeper.order_answered(c.now, engine_order_status::started);
  EXPECT_LE(c.keeper.next_wakeup() - c.now, 40ms);
}

TEST(target_keeper, a_lagging_report_does_not_bring_back_what_was_unloaded) {
  confirmed_keeper c(1, {"x"});
  c.now += 1s;
  c.keeper.set_interest(c.now, 1, {wants("a")});
  c.keeper.next_step(c.now, true);
  c.keeper.order_answered(c.now, engine_order_status::done);
  EXPECT_TRUE(c.keeper.places().empty());
  c.keeper.next_step(c.now, true);
  c.keeper.order_answered(c.now, engine_order_status::started);
  c.now += 150ms;
  c.keeper.next_step(c.now, true);
  c.keeper.report_read(c.now, c.now, report(1, {"x"}));
  ASSERT_EQ(c.keeper.places().size(), 1U);
  EXPECT_EQ(c.keeper.places()[0].what.name.adapter, "a");
}

/** Steps a new keeper to its fence order, and answers the first report. */
keeper_step first_order(target_keeper& keeper, const engine_report& first) {
  EXPECT_EQ(keeper.next_step(kStart, true).what, keeper_step::kind::report);
  keeper.report_read(kStart, kStart, first);
  return keeper.next_step(kStart, true);
}

TEST(target_keeper, its_first_order_under_a_fence_changes_nothing) {
  target_keeper keeper("t", profile(2), 7, takeover_check::fence_order);
  keeper.set_interest(kStart, 1, {wants("a")});
  const auto step = first_order(keeper, report(1, {"x"}));
  EXPECT_EQ(step.what, keeper_step::kind::order);
  EXPECT_EQ(step.order, engine_order_kind::load);
  EXPECT_EQ(step.name.str(), "m");
  EXPECT_EQ(step.version, 1U);
  EXPECT_FALSE(keeper.is_known());
}

TEST(target_keeper, knows_the_target_by_a_report_asked_after_its_fence) {
  target_keeper keeper("t", profile(2), 7, takeover_check::fence_order);
  first_order(keeper, report(1, {}));
  auto now = kStart + 100ms;
  keeper.order_answered(now, engine_order_status::done);
  now += 200ms;
  keeper.set_interest(now, 1, {wants("a")});
  EXPECT_EQ(keeper.next_step(now, true).what, keeper_step::kind::none);
  now += 200ms;
  EXPECT_EQ(keeper.next_step(now, true).what, keeper_step::kind::report);
  // The former holder's last load came before the fence: it is counted.
  keeper.report_read(now, now, report(2, {"x", "y"}));
  EXPECT_TRUE(keeper.is_known());
  EXPECT_EQ(keeper.places().size(), 2U);
  EXPECT_EQ(keeper.next_step(now, true).what, keeper_step::kind::none);
}

TEST(target_keeper, a_renewed_fence_begins_with_what_a_report_tells) {
  confirmed_keeper c(2);
  c.keeper.set_interest(c.now, 1, {wants("a")});
  c.keeper.next_step(c.now, true);
  c.keeper.order_answered(c.now, engine_order_status::unanswered);
  c.keeper.renew_fence(c.now, 8);
  EXPECT_EQ(c.keeper.fence(), 8U);
  EXPECT_FALSE(c.keeper.is_known());
  EXPECT_EQ(c.keeper.next_step(c.now, true).what, keeper_step::kind::report);
}

TEST(target_keeper, a_version_that_replaces_another_takes_a_place_meanwhile) {
  confirmed_keeper c(2, {"x", "y"});
  auto newer = wants("x");
  newer.version = 2;
  c.now += 300ms;
  c.keeper.set_interest(c.now, 1, {newer});
  const auto step = c.keeper.next_step(c.now, true);
  ASSERT_EQ(step.what, keeper_step::kind::order);
  EXPECT_EQ(step.order, engine_order_kind::unload);
  EXPECT_EQ(step.name.adapter, "y");
}

TEST(target_keeper, a_replacement_that_is_not_taken_leaves_the_old_version) {
  confirmed_keeper c(2, {"x"});
  auto newer = wants("x");
  newer.version = 2;
  c.keeper.set_interest(c.now, 1, {newer});
  const auto step = c.keeper.next_step(c.now, true);
  ASSERT_EQ(step.order, engine_order_kind::load);
  ASSERT_EQ(step.version, 2U);
  c.keeper.order_answered(c.now, engine_order_status::busy);
  ASSERT_EQ(c.keeper.places().size(), 1U);
  EXPECT_EQ(c.keeper.places()[0].what.version, 1U);
  EXPECT_TRUE(c.keeper.places()[0].ready);
}

TEST(target_table, ejects_after_failures_in_a_row_and_lets_back_in) {
  target_table table;
  for (const auto* id : {"a", "b", "c"}) {
    target_entry entry;
    entry.id = id;
    entry.service = "s";
    table.list(kStart, entry);
  }
  auto* bad = table.find("a");
  table.failed(kStart, *bad, false);
  table.failed(kStart, *bad, false);
  EXPECT_EQ(table.usable(kStart, "s").size(), 3U);
  table.failed(kStart, *bad, false);
  EXPECT_EQ(table.usable(kStart, "s").size(), 2U);
  EXPECT_EQ(table.usable(kStart + 10s, "s").size(), 3U);
}

TEST(target_table, with_most_targets_out_all_are_used) {
  target_table table;
  for (const auto* id : {"a", "b", "c"}) {
    target_entry entry;
    entry.id = id;
    entry.service = "s";
    table.list(kStart, entry);
  }
  table.failed(kStart, *table.find("a"), true);
  table.failed(kStart, *table.find("b"), true);
  EXPECT_EQ(table.usable(kStart, "s").size(), 3U);
}

TEST(retry_budget, grants_a_share_of_requests_and_some_more) {
  retry_budget budget;
  budget.configure(0.1, 10, 10s);
  int granted = 0;
  auto now = kStart;
  for (int i = 0; i < 1000; ++i) {
    budget.request(now);
    if (budget.take(now)) ++granted;
    now += 10ms;
  }
  EXPECT_LE(granted, 1000 / 10 + 10);
  EXPECT_GE(granted, 1000 / 10);
}

TEST(event_stream, hands_out_whole_events_only) {
  event_stream events;
  events.add("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ(events.take_events(), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.take_events(), "");
  events.add("ta: b\n\n");
  EXPECT_EQ(events.take_events(), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
}

TEST(peer_messages, survive_the_wire) {
  heartbeat beat;
  beat.rows = {{1, 2, 3, 4, true},
               {5, 6, 7, 8, false, member_standing::suspect}};
  beat.members = 195;
  beat.store_revision = 9;
  beat.store_age = 10ms;
  beat.watching = true;
  beat.claims = {{11, 12, 13}};
  beat.loads = {{14, {15, 1200, 400}}};
  interest_message interest{
      7,
      {{{"m", "a"}, 2, 1, 3, 0, 40ms}, {{"m", "b"}, 0, 0, 1, 2, 0ms}},
      {1, 800, 0}};
  residency_message residency{
      7, 8, 9, {3, 1200, 400}, 310ms, {{{{"m", "a"}, 2}, true}}};
  for (const peer_message& message :
       {peer_message(beat), peer_message(interest), peer_message(residency),
        peer_message(loads_message{{{14, {2, 900, 30}}}}),
        peer_message(probe_request{4, 5}),
        peer_message(probe_answer{4, beat.rows})}) {
    const auto decoded = decode_peer_message(encode_peer_message(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), message);
  }
  EXPECT_FALSE(decode_peer_message("no frame"));
  EXPECT_FALSE(decode_store_changes("no frame"));
}

constexpr const char* kSettings =
    "[gateway]\nid = n1\nfailure_domain = z\ncaller_address = 10.0.0.1:1\n"
    "ready_address = 10.0.0.1:2\npeer_address = 10.0.0.1:3\n"
    "metrics_address = 10.0.0.1:4\nstore_address = 10.0.0.9:5\n";

TEST(gateway_config, reads_what_the_platform_fills_in) {
  const auto checked = check_gateway_config(
      std::string(kSettings) + "seeds = 10.0.0.1:3,10.0.0.2:3\n" +
      "lease = 3000ms\nfenced = no\nretry_ratio = 0.25\nretry_extra = 54\n" +
      "retry_window = 10s\ngrace = 8s\n");
  EXPECT_TRUE(checked.failures.empty());
  EXPECT_EQ(checked.config.seeds.size(), 2U);
  EXPECT_FALSE(checked.config.fenced);
  EXPECT_EQ(checked.config.retry_ratio, 0.25);
  EXPECT_TRUE(is_gateway_config(kSettings));
  EXPECT_FALSE(is_gateway_config("[instance]\nid = n\n"));
}

TEST(gateway_config, names_the_key_and_line_of_each_fault) {
  const auto checked = check_gateway_config(
      std::string(kSettings) + "seeds = nowhere\nlease = soon\nother = 1\n");
  ASSERT_EQ(checked.failures.size(), 3U);
  EXPECT_EQ(checked.failures[0].line, 9);
  EXPECT_EQ(checked.failures[2].code, errc::unknown_key);
  EXPECT_EQ(check_gateway_config("[gateway]\n").failures.size(), 7U);
}

/** A pipe whose reader may stall. */
struct full_pipe {
  full_pipe() { EXPECT_EQ(pipe(ends), 0); }
  ~full_pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string read_all() {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string out;
    char buffer[4096];
    for (ssize_t got = 0; (got = read(ends[0], buffer, sizeof(buffer))) > 0;) {
      out.append(buffer, static_cast<std::size_t>(got));
    }
    return out;
  }
  int ends[2] = {-1, -1};
};

TEST(event_log, writes_json_and_bounds_each_kind) {
  const detail::base_handle base(event_base_new());
  full_pipe pipe;
  detail::event_log log(base.get(), pipe.ends[1], "n\"1");
  for (int i = 0; i < 150; ++i) {
    log.write(kStart, {"dispatch", {{"request", "a\nb"}, {"n", i}}, false});
  }
  EXPECT_EQ(log.dropped(), 50U);
  log.write(kStart + 1s, {"dispatch", {}, false});
  const auto text = pipe.read_all();
  EXPECT_NE(text.find("\"instance\":\"n\\\"1\""), std::string::npos);
  EXPECT_NE(text.find("\"request\":\"a\\u000ab\",\"n\":7}"), std::string::npos);
  EXPECT_NE(text.find("\"event\":\"lines_left_out\",\"kind\":\"dispatch\","
                      "\"lines\":50"),
            std::string::npos);
}

TEST(event_log, a_stalled_reader_stops_nothing_and_memory_stays_bounded) {
  const detail::base_handle base(event_base_new());
  full_pipe pipe;
  detail::event_log log(base.get(), pipe.ends[1], "n1");
  auto now = kStart;
  for (int i = 0; i < 20000; ++i) {
    log.write(now, {"failed", {{"text", std::string(60, 'x')}}, true});
    now += 10ms;
  }
  EXPECT_GT(log.dropped(), 15000U);
}

TEST(gateway_shell, a_closed_connection_does_not_end_the_process) {
  signal(SIGPIPE, SIG_DFL);
  gateway_config config;
  config.id = "n1";
  for (auto* address :
       {&config.caller_address, &config.ready_address, &config.peer_address,
        &config.metrics_address, &config.store_address}) {
    *address = "127.0.0.1:0";
  }
  detail::gateway_shell shell(config, "/nonexistent");
  ASSERT_TRUE(shell.start());
  struct sigaction now {};
  sigaction(SIGPIPE, nullptr, &now);
  EXPECT_EQ(now.sa_handler, SIG_IGN);
}

TEST(gateway_metrics, are_prometheus_text_and_json) {
  gateway_status status;
  status.requests = 5;
  status.ready = true;
  const auto page = detail::metrics_page(status, {}, 0);
  EXPECT_NE(page.find("seamglade_requests_total 5"), std::string::npos);
  EXPECT_NE(page.find("# TYPE seamglade_ready gauge"), std::string::npos);
  EXPECT_NE(detail::status_page(status).find("\"ready\":true"),
            std::string::npos);
}

}  // namespace
}  // namespace seamglade::gateway
