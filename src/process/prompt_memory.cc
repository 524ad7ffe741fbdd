// seamglade - which parts of prompts targets keep, as they told a moment ago
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/prompt_memory.h"

#include <algorithm>

namespace seamglade::gateway {
namespace {

/** Memory is kept in blocks of so many tokens, counted over the prompt. */
constexpr std::uint64_t kBlockTokens = 16;
/** Lists are dropped after this time: a target may keep thousands of parts. */
constexpr duration kDropAfter = 2s;

}  // namespace

void prompt_memory::asked(time_point now, engine_call_id call,
                          const target_id& target, std::uint64_t life) {
  auto& mine = lists_[target];
  mine.call = call;
  mine.asked = now;
  mine.asked_life = life;
}

void prompt_memory::answered(
    time_point now, engine_call_id call,
    const std::optional<std::vector<prompt_part>>& parts) {
  const auto found =
      std::find_if(lists_.begin(), lists_.end(),
                   [&](const auto& row) { return row.second.call == call; });
  if (found == lists_.end()) return;
  auto& mine = found->second;
  mine.call = 0;
  mine.answered = now;
  mine.life = mine.asked_life;
  mine.parts.reset();
  if (!parts) return;
  mine.parts.emplace();
  // A part may be kept more than once, by adapter.
  for (const auto& part : *parts) {
    auto& tokens = (*mine.parts)[part.id];
    tokens = std::max(tokens, part.tokens);
  }
}

part_word prompt_memory::word_of(time_point from, const target_id& target,
                                 std::uint64_t life, const prompt_part& part,
                                 std::uint64_t prompt_tokens) const {
  const auto found = lists_.find(target);
  if (found == lists_.end()) return part_word::not_asked;
  const auto& mine = found->second;
  if (!mine.answered || *mine.answered < from) {
    return mine.call != 0 ? part_word::pending : part_word::not_asked;
  }
  if (mine.life != life || !mine.parts) return part_word::unknown;
  const auto kept = mine.parts->find(part.id);
  if (kept == mine.parts->end() || kept->second == 0) return part_word::absent;
  const auto lacking = prompt_tokens % kBlockTokens;
  return kept->second + lacking >= part.tokens ? part_word::whole
                                               : part_word::in_part;
}

void prompt_memory::expire(time_point now) {
  std::erase_if(lists_, [&](const auto& row) {
    return now - row.second.asked > kDropAfter;
  });
}

}  // namespace seamglade::gateway
