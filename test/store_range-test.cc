// seamglade - a read of the store gets on, or says that it does not
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "version/store_range.h"

#include <gtest/gtest.h>

#include "version/copy_bounds.h"

namespace seamglade::gateway {
namespace {

using step = store_range::step;

constexpr store_epoch kEpoch = 1;

store_answer page(const std::vector<std::string>& keys, bool more,
                  std::uint64_t at = 10, const std::string& value = "{}") {
  store_answer out;
  for (const auto& key : keys) out.items.push_back({key, 1, value});
  if (!keys.empty()) out.last_key = keys.back();
  out.received = keys.size();
  out.more = more;
  out.revision = at;
  return out;
}

/** A read that has begun. */
class begun_range : public testing::Test {
 protected:
  begun_range() { range_.begin(now_); }

  step take(store_answer answer, store_epoch epoch = kEpoch) {
    now_ += 1ms;
    return range_.take(std::move(answer), epoch, now_);
  }

  store_range range_;
  time_point now_ = time_point() + 1h;
};

TEST_F(begun_range, is_whole_at_the_end_of_its_last_part_alone) {
  EXPECT_EQ(range_.scope(), store_scope::operators);
  EXPECT_EQ(take(page({"op/a"}, true)), step::goes_on);
  EXPECT_EQ(range_.after_key(), "op/a");
  EXPECT_EQ(take(page({"op/b"}, false)), step::goes_on);
  EXPECT_EQ(range_.scope(), store_scope::targets);
  EXPECT_EQ(range_.after_key(), "");
  EXPECT_EQ(take(page({"servers/1"}, true)), step::goes_on);
  EXPECT_EQ(take(page({}, false)), step::whole);
  const auto copy = range_.finish();
  EXPECT_TRUE(copy.whole);
  EXPECT_EQ(copy.epoch, kEpoch);
  EXPECT_EQ(copy.items.size(), 3U);
}

TEST_F(begun_range, has_the_revision_of_its_first_page) {
  take(page({"op/a"}, false, 10));
  EXPECT_EQ(take(page({"servers/1"}, false, 20)), step::whole);
  EXPECT_EQ(range_.finish().revision, 10U);
}

TEST_F(begun_range, is_stuck_at_an_empty_page_with_more) {
  EXPECT_EQ(take(page({}, true)), step::stuck);
  EXPECT_EQ(range_.pages(), 0U);
  take(page({"op/a"}, true));
  EXPECT_EQ(take(page({}, true)), step::stuck);
  EXPECT_EQ(range_.after_key(), "op/a");
  EXPECT_EQ(take(page({"op/b"}, false)), step::goes_on);
}

TEST_F(begun_range, is_stuck_where_the_last_key_does_not_rise) {
  take(page({"op/b"}, true));
  for (const bool more : {true, false}) {
    EXPECT_EQ(take(page({"op/b"}, more)), step::stuck);
    EXPECT_EQ(take(page({"op/a"}, more)), step::stuck);
  }
  EXPECT_EQ(range_.items(), 1U);
  EXPECT_EQ(take(page({"op/c"}, true)), step::goes_on);
}

// Bytes above 127 rise as the store's keys do.
TEST_F(begun_range, takes_any_bytes_of_keys_in_their_order) {
  EXPECT_EQ(take(page({"op/z"}, true)), step::goes_on);
  EXPECT_EQ(take(page({"op/\xc3\xa9"}, true)), step::goes_on);
  EXPECT_EQ(take(page({"op/\xff"}, true)), step::goes_on);
}

// Other writers' items are received and read by nobody here.
TEST_F(begun_range, goes_on_behind_a_page_of_which_nothing_is_read) {
  auto answer = page({}, true);
  answer.last_key = "op/x";
  answer.received = 500;
  EXPECT_EQ(take(answer), step::goes_on);
  EXPECT_EQ(range_.after_key(), "op/x");
}

TEST_F(begun_range, takes_no_page_of_another_history) {
  take(page({"op/a"}, false));
  EXPECT_EQ(take(page({"servers/1"}, false), kEpoch + 1), step::other_epoch);
  EXPECT_EQ(take(page({"servers/1"}, false), 0), step::other_epoch);
}

TEST_F(begun_range, goes_on_after_a_failure_unless_it_is_old) {
  take(page({"op/a"}, true));
  EXPECT_TRUE(range_.may_go_on(now_ + 9s));
  EXPECT_FALSE(range_.may_go_on(now_ + 11s));
  range_.end();
  EXPECT_FALSE(range_.may_go_on(now_));
}

TEST_F(begun_range, keeps_no_more_than_its_bound_and_every_key) {
  const std::string value(1UL << 20U, 'x');
  std::size_t pages = 0;
  while (pages * value.size() < 3 * kMostCopyBytes) {
    const auto key = "op/" + std::to_string(1000 + pages++);
    ASSERT_EQ(take(page({key}, true, 10, value)), step::goes_on);
  }
  take(page({}, false));
  take(page({"servers/1"}, false));
  EXPECT_GT(range_.left_out(), 0U);
  const auto copy = range_.finish();
  EXPECT_EQ(copy.items.size(), pages + 1);
  std::size_t bytes = 0;
  for (const auto& item : copy.items) {
    ASSERT_TRUE(item.value);
    bytes += item.key.size() + item.value->size();
  }
  EXPECT_LE(bytes, kMostCopyBytes);
  EXPECT_EQ(copy.items.back().value, "{}");
}

}  // namespace
}  // namespace seamglade::gateway
