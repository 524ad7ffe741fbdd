// seamglade - loads and unloads at one target, decided by its holder
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_keeper.h"

#include <gtest/gtest.h>

namespace seamglade::gateway {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

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
  row.adapter = hash_of(row.name);
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
    return place.ready && place.adapter == hash_of(adapter_name{"m", name});
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

// An answer to an order before passed for that to the question about a load.
TEST(target_keeper, each_load_is_an_order_of_its_own_also_of_one_adapter) {
  confirmed_keeper c(4);
  const adapter_name name{"m", "a"};
  EXPECT_EQ(c.keeper.order_about(name), 0U);
  c.keeper.set_interest(c.now, 1, {wants("a")});
  EXPECT_EQ(c.keeper.next_step(c.now, true).name, name);
  c.keeper.note_order(name, 7);
  EXPECT_EQ(c.keeper.order_about(name), 7U);
  // Not taken: the next load is another order.
  c.keeper.order_answered(c.now, engine_order_status::busy);
  EXPECT_EQ(c.keeper.order_about(name), 0U);
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
  EXPECT_EQ(c.keeper.places()[0].adapter, hash_of(adapter_name{"m", "a"}));
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
  EXPECT_EQ(c.keeper.places()[0].version, 1U);
  EXPECT_TRUE(c.keeper.places()[0].ready);
}

TEST(target_keeper, loads_first_what_can_still_be_in_time) {
  confirmed_keeper c(4);
  auto late = wants("late");
  late.waited = 900ms;
  auto in_time = wants("in_time");
  in_time.slack = 600ms;
  c.keeper.set_interest(c.now, 1, {late, in_time});
  EXPECT_EQ(c.keeper.next_step(c.now, true).name.adapter, "in_time");
  c.keeper.order_answered(c.now, engine_order_status::started);
  EXPECT_EQ(c.keeper.next_step(c.now, true).name.adapter, "late");
}

TEST(target_keeper, what_has_less_time_left_than_a_load_takes_is_late) {
  confirmed_keeper c(4);
  auto late = wants("late");
  late.slack = 100ms;
  auto in_time = wants("in_time");
  in_time.slack = 400ms;
  c.keeper.set_interest(c.now, 1, {late, in_time});
  EXPECT_EQ(c.keeper.next_step(c.now, true).name.adapter, "in_time");
}

/** Has loads end by the answer to a repeated order, `took` after they began. */
void load_in(confirmed_keeper& c, int count, duration took) {
  for (int i = 0; i < count; ++i) {
    c.keeper.set_interest(c.now, 1, {wants("x" + std::to_string(i))});
    auto step = c.keeper.next_step(c.now, true);
    if (step.what != keeper_step::kind::order || step.repeated) continue;
    if (step.order == engine_order_kind::unload) {
      c.keeper.order_answered(c.now, engine_order_status::done);
      step = c.keeper.next_step(c.now, true);
    }
    c.keeper.order_answered(c.now, engine_order_status::started);
    c.now += took;
    c.keeper.set_interest(c.now, 1, {});
    while (c.keeper.next_step(c.now, true).repeated) {
      c.keeper.order_answered(c.now, engine_order_status::done);
    }
  }
}

std::size_t loads_side_by_side(confirmed_keeper& c) {
  std::vector<adapter_interest> rows;
  for (int i = 0; i < 8; ++i) rows.push_back(wants("y" + std::to_string(i)));
  c.keeper.set_interest(c.now, 1, rows);
  std::size_t begun = 0;
  while (c.keeper.next_step(c.now, true).what == keeper_step::kind::order) {
    c.keeper.order_answered(c.now, engine_order_status::started);
    ++begun;
  }
  return begun;
}

TEST(target_keeper, reads_anew_before_it_gives_orders_again) {
  confirmed_keeper c(2, {"a", "b"});
  c.now += 10s;
  c.keeper.read_anew(c.now);
  EXPECT_FALSE(c.keeper.is_known());
  c.keeper.set_interest(c.now, 1, {wants("a")});
  EXPECT_EQ(c.keeper.next_step(c.now, true).what, keeper_step::kind::report);
  EXPECT_FALSE(c.keeper.is_idle());
  // It has lost what it held.
  c.keeper.report_read(c.now, c.now, report(1, {}));
  EXPECT_TRUE(c.keeper.is_idle());
  EXPECT_EQ(c.keeper.next_step(c.now, true).what, keeper_step::kind::none);
  c.now += 500ms;
  EXPECT_EQ(c.keeper.next_step(c.now, true).what, keeper_step::kind::report);
  c.keeper.report_read(c.now, c.now, report(1, {}));
  c.keeper.set_interest(c.now, 1, {wants("a")});
  const auto step = c.keeper.next_step(c.now, true);
  EXPECT_EQ(step.what, keeper_step::kind::order);
  EXPECT_EQ(step.order, engine_order_kind::load);
}

TEST(target_keeper, has_fewer_loads_under_way_where_they_are_slow) {
  confirmed_keeper quick(40);
  EXPECT_EQ(loads_side_by_side(quick), 4U);
  confirmed_keeper slow(40);
  load_in(slow, 20, 1200ms);
  EXPECT_LE(loads_side_by_side(slow), 2U);
}

}  // namespace
}  // namespace seamglade::gateway
