// seamglade - what targets' lists prove of a part of a prompt
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/prompt_memory.h"

#include <gtest/gtest.h>

namespace seamglade::gateway {
namespace {

constexpr time_point kStart{1000s};
constexpr std::uint64_t kLife = 7;
constexpr std::uint64_t kPrompt = 463;
const prompt_part kPart{"c15", 197};

class prompt_memory_of_one : public testing::Test {
 protected:
  void list(engine_call_id call, std::uint64_t tokens, duration after = {}) {
    memory_.asked(kStart + after, call, "t1", kLife);
    memory_.answered(kStart + after, call, {{{"c15", tokens}, {"x", 900}}});
  }
  part_word word(duration from = {}, std::uint64_t life = kLife) {
    return memory_.word_of(kStart + from, "t1", life, kPart, kPrompt);
  }

  prompt_memory memory_;
};

TEST_F(prompt_memory_of_one, only_the_rest_of_a_block_may_lack) {
  list(1, 182);
  EXPECT_EQ(word(), part_word::whole);
  list(2, 181);
  EXPECT_EQ(word(), part_word::in_part);
  list(3, 0);
  EXPECT_EQ(word(), part_word::absent);
  EXPECT_EQ(memory_.word_of(kStart, "t1", kLife, {"c16", 8}, kPrompt),
            part_word::absent);
}

TEST_F(prompt_memory_of_one, a_list_of_another_life_proves_nothing) {
  list(1, 197);
  EXPECT_EQ(word({}, kLife + 1), part_word::unknown);
}

TEST_F(prompt_memory_of_one, a_target_without_a_list_proves_nothing) {
  EXPECT_EQ(word(), part_word::not_asked);
  memory_.asked(kStart, 1, "t1", kLife);
  EXPECT_EQ(word(), part_word::pending);
  memory_.answered(kStart, 1, std::nullopt);
  EXPECT_EQ(word(), part_word::unknown);
}

// A later request's question took the list from one that waited for others.
TEST_F(prompt_memory_of_one, a_list_stands_until_the_next_one_is_here) {
  list(1, 197);
  memory_.asked(kStart + 300ms, 2, "t1", kLife);
  EXPECT_EQ(word(), part_word::whole);
  EXPECT_EQ(word(50ms), part_word::pending);
  memory_.answered(kStart + 700ms, 2, {{{"c15", 16}}});
  EXPECT_EQ(word(), part_word::in_part);
}

TEST_F(prompt_memory_of_one, lists_are_dropped) {
  list(1, 197);
  memory_.expire(kStart + 3s);
  EXPECT_EQ(word(), part_word::not_asked);
}

}  // namespace
}  // namespace seamglade::gateway
