// seamglade - which parts of prompts targets keep, as they told a moment ago
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_PROMPT_MEMORY_H_
#define SEAMGLADE_SRC_PROCESS_PROMPT_MEMORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "seamglade/gateway.h"

namespace seamglade::gateway {

/** What a target's list tells of one part of a prompt. */
enum class part_word : std::uint8_t {
  /** It was not asked lately. */
  not_asked,
  pending,
  /** It did not answer, or may have started again since. */
  unknown,
  absent,
  /** It keeps less of the part than the request names. */
  in_part,
  whole,
};

/** Lists of targets by their ids, each kept for a moment. */
class prompt_memory {
 public:
  /** A list counts for so long after it came. */
  static constexpr duration kFresh = 250ms;

  /** Notes that a target is asked; `life`: its start, in Unix ms. */
  void asked(time_point now, engine_call_id call, const target_id& target,
             std::uint64_t life);
  /** Takes the answer to a call; none: there was none, or no list. */
  void answered(time_point now, engine_call_id call,
                const std::optional<std::vector<prompt_part>>& parts);
  /**
   * `from`: a list that came before does not count; `life`: of the target now;
   * `prompt_tokens`: of all parts.
   */
  part_word word_of(time_point from, const target_id& target,
                    std::uint64_t life, const prompt_part& part,
                    std::uint64_t prompt_tokens) const;
  void expire(time_point now);

 private:
  struct list {
    /** The question under way, and the target's life then; 0: none. */
    engine_call_id call = 0;
    std::uint64_t asked_life = 0;
    time_point asked;
    /** The last answer stands until the next one is here. */
    std::optional<time_point> answered;
    std::uint64_t life = 0;
    /** None: the target did not answer. */
    std::optional<std::unordered_map<std::string, std::uint64_t>> parts;
  };
  std::map<target_id, list> lists_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_PROMPT_MEMORY_H_
