// seamglade - what a target's holder has told, and what one lacks of it
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/residency_log.h"

#include <gtest/gtest.h>

#include <string>

namespace seamglade::gateway {
namespace {

adapter_place place(int number, std::uint32_t running = 0, bool ready = true) {
  return {hash_of(adapter_name{"m", "a" + std::to_string(number)}), 1, ready,
          running};
}

residency_message told(const residency_log& log, const known_word& known) {
  residency_message out;
  log.tell(out, known);
  return out;
}

known_word known_of(const residency_message& word) {
  return {word.fence, word.edition};
}

TEST(residency_log, tells_all_to_one_that_knows_nothing) {
  residency_log log;
  log.note(5, 3, {place(1), place(2, 4)});
  residency_message known;
  ASSERT_TRUE(merge_word(known, told(log, {})));
  EXPECT_EQ(known.places.size(), 2U);
  EXPECT_EQ(find_place(known.places, place(2).adapter)->running, 4U);
  EXPECT_EQ(known_of(known), (known_word{5, 3}));
}

TEST(residency_log, tells_no_place_again_but_what_runs_there) {
  residency_log log;
  log.note(5, 3, {place(1), place(2)});
  residency_message known;
  merge_word(known, told(log, {}));
  log.note(5, 3, {place(1, 2), place(2, 700)});
  const auto word = told(log, known_of(known));
  EXPECT_TRUE(word.places.empty());
  ASSERT_TRUE(merge_word(known, word));
  EXPECT_EQ(find_place(known.places, place(1).adapter)->running, 2U);
  EXPECT_EQ(find_place(known.places, place(2).adapter)->running, 255U);
  log.note(5, 3, {place(1), place(2)});
  ASSERT_TRUE(merge_word(known, told(log, known_of(known))));
  EXPECT_EQ(find_place(known.places, place(1).adapter)->running, 0U);
}

TEST(residency_log, tells_changes_and_what_went) {
  residency_log log;
  log.note(5, 3, {place(1), place(2), place(3)});
  residency_message known;
  merge_word(known, told(log, {}));
  log.note(5, 4, {place(1), place(3), place(4, 0, false)});
  const auto word = told(log, known_of(known));
  EXPECT_EQ(word.places.size(), 1U);
  EXPECT_EQ(word.gone.size(), 1U);
  ASSERT_TRUE(merge_word(known, word));
  EXPECT_EQ(known.places.size(), 3U);
  EXPECT_FALSE(find_place(known.places, place(4).adapter)->ready);
  EXPECT_EQ(find_place(known.places, place(2).adapter), nullptr);
}

TEST(residency_log, a_lost_word_is_made_up_for_by_the_next_question) {
  residency_log log;
  log.note(5, 3, {place(1)});
  residency_message known;
  merge_word(known, told(log, {}));
  log.note(5, 4, {place(1), place(2)});
  const auto lost = told(log, known_of(known));
  log.note(5, 5, {place(2)});
  // One built on the lost word is not taken, and changes nothing.
  EXPECT_FALSE(merge_word(known, told(log, known_of(lost))));
  EXPECT_EQ(known.edition, 3U);
  EXPECT_EQ(known.places.size(), 1U);
  ASSERT_TRUE(merge_word(known, told(log, known_of(known))));
  EXPECT_EQ(known.places.size(), 1U);
  EXPECT_NE(find_place(known.places, place(2).adapter), nullptr);
}

TEST(residency_log, changes_that_come_late_do_not_undo_newer_ones) {
  residency_log log;
  log.note(5, 3, {place(1)});
  residency_message known;
  merge_word(known, told(log, {}));
  log.note(5, 4, {place(1), place(2)});
  const auto late = told(log, known_of(known));
  log.note(5, 5, {place(1)});
  merge_word(known, told(log, known_of(known)));
  EXPECT_FALSE(merge_word(known, late));
  EXPECT_EQ(known.places.size(), 1U);
}

TEST(residency_log, a_new_holder_tells_all) {
  residency_log log;
  log.note(5, 9, {place(1), place(2)});
  residency_message known;
  merge_word(known, told(log, {}));
  log.note(6, 2, {place(2)});
  const auto word = told(log, known_of(known));
  EXPECT_EQ(word.since, 0U);
  ASSERT_TRUE(merge_word(known, word));
  EXPECT_EQ(known.places.size(), 1U);
  // An edition of another fence is nothing to build on.
  EXPECT_EQ(told(log, {5, 2}).since, 0U);
}

TEST(residency_log, tells_all_where_more_went_than_it_remembers) {
  residency_log log;
  std::uint64_t edition = 1;
  log.note(5, edition, {place(0), place(99)});
  residency_message known;
  merge_word(known, told(log, {}));
  for (int i = 1; i < 60; ++i) log.note(5, ++edition, {place(i), place(99)});
  EXPECT_EQ(told(log, known_of(known)).since, 0U);
  ASSERT_TRUE(merge_word(known, told(log, known_of(known))));
  EXPECT_EQ(known.places.size(), 2U);
  EXPECT_EQ(told(log, {5, edition - 3}).since, edition - 3);
}

}  // namespace
}  // namespace seamglade::gateway
