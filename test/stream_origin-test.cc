// seamglade - what an instance keeps of streams, versions and restarts
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>

#include "process/origin_table.h"
#include "process/restart_doubt.h"
#include "process/version_history.h"

namespace seamglade::gateway {
namespace {

constexpr time_point kStart{1000s};
constexpr stream_origin kFirst{1, 11};
constexpr stream_origin kSecond{1, 12};

TEST(origin_table, keeps_where_a_stream_began) {
  origin_table table;
  EXPECT_FALSE(table.find(5));
  EXPECT_TRUE(table.note(kStart, {5, kFirst}));
  EXPECT_FALSE(table.note(kStart, {5, kFirst}));
  EXPECT_EQ(table.find(5), kFirst);
}

TEST(origin_table, two_origins_of_one_stream_leave_none_in_either_order) {
  for (const bool is_turned : {false, true}) {
    origin_table table;
    table.note(kStart, {5, is_turned ? kSecond : kFirst});
    EXPECT_TRUE(table.note(kStart, {5, is_turned ? kFirst : kSecond}));
    ASSERT_TRUE(table.find(5));
    EXPECT_FALSE(table.find(5)->is_certain());
    // It is not certain again.
    EXPECT_FALSE(table.note(kStart, {5, kFirst}));
    EXPECT_FALSE(table.find(5)->is_certain());
  }
}

TEST(origin_table, forgets_what_is_older_than_a_stream_may_be) {
  origin_table table;
  table.note(kStart, {5, kFirst});
  table.note(kStart + 1s, {6, kFirst});
  table.expire(kStart + 10500ms, 10s);
  EXPECT_FALSE(table.find(5));
  EXPECT_TRUE(table.find(6));
}

TEST(origin_table, is_bounded_whatever_callers_send) {
  origin_table table;
  for (stream_key key = 1; key <= 2 * origin_table::kMost; ++key) {
    table.note(kStart, {key, kFirst});
    table.keep_untold(key);
  }
  EXPECT_EQ(table.size(), origin_table::kMost);
  EXPECT_FALSE(table.find(1));
  EXPECT_TRUE(table.find(2 * origin_table::kMost));
  EXPECT_EQ(table.take_untold(kFirst.service).size(), origin_table::kMost);
}

TEST(origin_table, names_the_untold_of_a_service_once) {
  origin_table table;
  table.note(kStart, {5, kFirst});
  table.note(kStart, {6, {2, 11}});
  table.keep_untold(5);
  table.keep_untold(6);
  const std::vector<origin_row> expected{{5, kFirst}};
  EXPECT_EQ(table.take_untold(1), expected);
  EXPECT_TRUE(table.take_untold(1).empty());
}

TEST(origin_table, names_the_newest_rows) {
  origin_table table;
  for (stream_key key = 1; key <= 3; ++key) table.note(kStart, {key, kFirst});
  const std::vector<origin_row> expected{{2, kFirst}, {3, kFirst}};
  EXPECT_EQ(table.newest(2), expected);
  EXPECT_EQ(table.newest(9).size(), 3U);
}

TEST(version_history, is_mixed_until_a_version_was_gone_for_long_enough) {
  version_history history;
  EXPECT_FALSE(history.only_version(1));
  history.seen(kStart, 1, 11);
  EXPECT_EQ(history.only_version(1), 11U);
  history.seen(kStart + 1s, 1, 12);
  EXPECT_TRUE(history.is_mixed(1));
  EXPECT_FALSE(history.only_version(1));
  EXPECT_FALSE(history.is_mixed(2));
  history.expire(kStart + 9s, 10s);
  EXPECT_TRUE(history.is_mixed(1));
  history.expire(kStart + 10500ms, 10s);
  EXPECT_EQ(history.only_version(1), 12U);
}

TEST(restart_doubt, a_target_that_refused_is_doubted_until_the_store_tells) {
  restart_doubt doubt;
  doubt.refused(kStart, kStart - 1s);
  EXPECT_TRUE(doubt.is_open(kStart, kStart - 1s));
  // Its entry may be on its way.
  EXPECT_TRUE(doubt.is_open(kStart + 2s, kStart + 500ms));
  EXPECT_TRUE(doubt.is_open(kStart + 4s, kStart + 3500ms));
  EXPECT_FALSE(doubt.is_open(kStart + 4s, kStart + 3600ms));
  doubt.refused(kStart + 5s, kStart + 3600ms);
  EXPECT_TRUE(doubt.is_open(kStart + 5s, kStart + 3600ms));
  doubt.told();
  EXPECT_FALSE(doubt.is_open(kStart + 5s, std::nullopt));
}

TEST(restart_doubt, a_broken_connection_is_no_restart_if_bytes_go_on_coming) {
  restart_doubt doubt;
  doubt.broke(kStart, std::nullopt);
  EXPECT_FALSE(doubt.is_open(kStart + 200ms, std::nullopt));
  doubt.heard(kStart + 200ms, kStart + 100ms);
  EXPECT_FALSE(doubt.is_open(kStart + 5s, std::nullopt));
}

TEST(restart_doubt, bytes_that_were_on_their_way_prove_nothing) {
  restart_doubt doubt;
  doubt.broke(kStart, std::nullopt);
  doubt.heard(kStart + 10ms, kStart - 1s);
  EXPECT_TRUE(doubt.is_open(kStart + 1s, std::nullopt));
  // A call that was sent later may run in the next life.
  doubt.heard(kStart + 1s, kStart + 500ms);
  EXPECT_TRUE(doubt.is_open(kStart + 1s, std::nullopt));
  // One that was sent before has not ended with its target.
  doubt.heard(kStart + 1s, kStart - 1s);
  EXPECT_FALSE(doubt.is_open(kStart + 1s, std::nullopt));
}

}  // namespace
}  // namespace seamglade::gateway
