// seamglade - the copy of the platform's store, alone
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "version/store_mirror.h"

#include <gtest/gtest.h>

namespace seamglade::gateway {
namespace {

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

TEST(store_mirror, a_copy_of_another_epoch_replaces_what_is_known) {
  store_mirror mirror;
  mirror.apply({9, true, {item("a", 8, "lost"), item("b", 3), item("c", 9)}});
  store_changes copy{6, true, {item("a", 4, "old"), item("b", 3)}};
  copy.epoch = 2;
  const auto [news, lost] = mirror.replace(copy);
  ASSERT_EQ(news.size(), 2U);
  EXPECT_EQ(news[0], item("a", 4, "old"));
  EXPECT_EQ(news[1], item("c", 6, std::nullopt));
  ASSERT_EQ(lost.size(), 2U);
  EXPECT_EQ(lost[0], item("a", 8, "lost"));
  EXPECT_EQ(lost[1], item("c", 9));
  EXPECT_EQ(mirror.position(), (store_position{2, 6}));
  EXPECT_TRUE(mirror.contains("b"));
  EXPECT_FALSE(mirror.contains("c"));
  // Its revision is given out again for another change.
  EXPECT_EQ(mirror.apply({8, false, {item("a", 8, "new")}}).size(), 1U);
  EXPECT_TRUE(mirror.changes_after(0).whole);
  EXPECT_EQ(mirror.changes_after(0).epoch, 2U);
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

TEST(store_mirror, a_quiet_change_goes_to_peers_with_the_next_one) {
  store_mirror mirror;
  mirror.apply({5, false, {item("a", 4), item("b", 5)}});
  mirror.apply({7, false, {item("a", 7, "quiet")}});
  mirror.keep_quiet("a");
  EXPECT_TRUE(mirror.changes_after(5).items.empty());
  EXPECT_EQ(mirror.changes_after(5).revision, 7U);
  EXPECT_EQ(mirror.changes_after(3).items.size(), 2U);
  mirror.apply({8, false, {item("a", 8, "told")}});
  ASSERT_EQ(mirror.changes_after(7).items.size(), 1U);
  EXPECT_EQ(mirror.changes_after(7).items[0].value, "told");
}

TEST(store_mirror, an_old_whole_copy_deletes_nothing_newer) {
  store_mirror mirror;
  mirror.apply({9, false, {item("a", 9)}});
  EXPECT_TRUE(mirror.apply({5, true, {item("b", 5)}}).size() == 1U);
  EXPECT_EQ(mirror.revision(), 9U);
  EXPECT_EQ(mirror.size(), 2U);
}

TEST(store_mirror, late_word_brings_back_nothing_that_a_whole_copy_lacks) {
  store_mirror mirror;
  mirror.apply({20, true, {{"a", 3, "1"}}});
  EXPECT_TRUE(mirror.apply({0, false, {{"b", 11, "1"}}}).empty());
  const store_changes late = {12, true, {{"a", 3, "1"}, {"b", 11, "1"}}};
  EXPECT_TRUE(mirror.apply(late).empty());
  EXPECT_EQ(mirror.apply({0, false, {{"b", 21, "1"}}}).size(), 1U);
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

}  // namespace
}  // namespace seamglade::gateway
