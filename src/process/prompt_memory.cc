// seamglade - which parts of prompts targets keep, as they told a moment ago
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/prompt_memory.h"

#include <algorithm>

namespace seamglade::gateway {
namespace {

/** Memory is kept in blocks: so many tokens of a part's end may lack. */
constexpr std::uint64_t kBlockTokens = 16;
/** Lists are dropped after this time: a target may keep thousands of parts. */
constexpr duration kDropAfter = 2s;

}  // namespace

void prompt_memory::asked(time_point now, engine_call_id call,
                          const target_id& target, std::uint64_t life) {
  lists_[target] = {call, now, life, true, std::nullopt};
}

void prompt_memory::answered(
    engine_call_id call, const std::optional<std::vector<prompt_part>>& parts) {
  const auto found =
      std::find_if(lists_.begin(), lists_.end(),
                   [&](const auto& row) { return row.second.call == call; });
  if (found == lists_.end()) return;
  auto& mine = found->second;
  mine.is_pending = false;
  if (!parts) return;
  mine.parts.emplace();
  // A part may be kept more than once, by adapter.
  for (const auto& part : *parts) {
    auto& tokens = (*mine.parts)[part.id];
    tokens = std::max(tokens, part.tokens);
  }
}

part_word prompt_memory::word_of(time_point from, const target_id& target,
                                 std::uint64_t life,
                                 const prompt_part& part) const {
  const auto found = lists_.find(target);
  if (found == lists_.end() || found->second.asked < from) {
    return part_word::not_asked;
  }
  const auto& mine = found->second;
  if (mine.life != life) return part_word::unknown;
  if (mine.is_pending) return part_word::pending;
  if (!mine.parts) return part_word::unknown;
  const auto kept = mine.parts->find(part.id);
  if (kept == mine.parts->end()) return part_word::absent;
  return kept->second + kBlockTokens > part.tokens ? part_word::whole
                                                   : part_word::in_part;
}

void prompt_memory::expire(time_point now) {
  std::erase_if(lists_, [&](const auto& row) {
    return now - row.second.asked > kDropAfter;
  });
}

}  // namespace seamglade::gateway
