// seamglade - what it would cost a request to run on one target or another
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_ENGINE_CHOICE_H_
#define SEAMGLADE_SRC_PROCESS_ENGINE_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/** One target on which a request could run, as far as is known. */
struct engine_option {
  enum class residence : std::uint8_t {
    ready,
    loading,
    /** Not there, but still in the target's memory. */
    recent,
    absent
  };
  residence adapter = residence::absent;
  /** How long the load under way has lasted. */
  duration loading_for{};
  /** Loads under way at the target. */
  std::size_t loads = 0;
  /** Somebody can order a load. */
  bool has_holder = false;
  /** A place for adapters is empty or not in use. */
  bool has_room = false;
  proximity distance = proximity::other_region;
  /** The request already waits for a load there. */
  bool is_home = false;
  /** It started lately, and is slow. */
  bool is_cold = false;
  /** Until it may get a request, where it bears few. */
  duration grant_wait{};
  /** Between two requests that it may get; zero: it names no limit. */
  duration grant_gap{};
  /** Place in the adapter's rendezvous order, from 0. */
  std::size_t order = 0;
  target_work work;
  /** How long the target has read since its work was told. */
  duration read_for{};
  std::uint32_t slots = 1;
  double us_per_token = 0;
};

/** What the choice needs to know of the request and its service. */
struct choice_facts {
  std::uint32_t prompt_tokens = 0;
  /** How long the service's prompts are as a rule. */
  std::uint32_t usual_prompt = 0;
  bool is_urgent = false;
  /** How long a load from the weight store takes. */
  duration load_time{};
};

/**
 * What a cold target costs a request beyond its place in the queue: its prompt
 * is read slowly, and a grant is taken that another may need more.
 */
inline constexpr duration kColdCost = 200ms;

/** Returns how long the target reads before it comes to the request. */
duration reading_ahead(const engine_option& option, const choice_facts& facts);

/** Returns when the first event would come; none: the target can't load. */
std::optional<duration> expected_start(const engine_option& option,
                                       const choice_facts& facts);

/** Returns expected_start() and what the choice costs others, in time. */
std::optional<duration> cost_of(const engine_option& option,
                                const choice_facts& facts);

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_ENGINE_CHOICE_H_
