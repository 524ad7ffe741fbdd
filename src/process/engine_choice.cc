// seamglade - what it would cost a request to run on one target or another
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/engine_choice.h"

#include <algorithm>

namespace seamglade::gateway {
namespace {

using residence = engine_option::residence;

/** A load of what is still in the target's memory: a tenth of the usual. */
constexpr duration kRecentLoad = 35ms;
/** From a wish to the order, and from the end of a load to the word of it. */
constexpr duration kWordDelay = 30ms;
/** A load under way is expected to last this much longer at least. */
constexpr duration kLoadLeft = 20ms;
/** Loads of adapters that a target takes side by side. */
constexpr std::size_t kParallelLoads = 4;
/** Until a stream ends where all places are in use. */
constexpr duration kNoRoomWait = 900ms;
/** Until one of a full target's requests ends. */
constexpr duration kSlotWait = 150ms;
/**
 * What a load from the weight store costs, in loads: it is priced, and others
 * wait for the store meanwhile.
 */
constexpr double kStoreLoadCost = 2.0;
constexpr duration kRecentLoadCost = 20ms;
/** For each step down the rendezvous order: instances are to agree. */
constexpr duration kOrderCost = 250ms;
/**
 * Of another failure domain: the way there and back, 2 to 3 ms, and the price
 * of the bytes between them, which counts for the rest.
 */
constexpr duration kFarCost = 25ms;
/**
 * ... and of another region: its way is some 14 ms longer, its bytes dearer.
 * Less than what changes of home have to gain (kHomeGain), so that distance
 * decides among equals and a busy region still overflows into others.
 */
constexpr duration kOtherRegionCost = 45ms;
/** For a full target; in part for one that is full in part. */
constexpr duration kFullCost = 150ms;
/** What a limit costs a load at most: longer than any load takes. */
constexpr duration kMostGrantGap = 5s;
/** What a change of the home has to gain. */
constexpr duration kHomeGain = 80ms;

duration reading_time(const engine_option& option, double tokens) {
  return duration(static_cast<std::int64_t>(tokens * option.us_per_token));
}

/** Until the adapter is there; none: nobody can order it. */
std::optional<duration> load_wait(const engine_option& option,
                                  const choice_facts& facts) {
  if (option.adapter == residence::ready) return duration{};
  if (option.adapter == residence::loading) {
    return kLoadLeft +
           std::max(duration{}, facts.load_time - option.loading_for);
  }
  if (!option.has_holder) return std::nullopt;
  auto wait = kWordDelay;
  wait += option.adapter == residence::recent ? kRecentLoad : facts.load_time;
  wait += facts.load_time *
          static_cast<std::int64_t>(option.loads / kParallelLoads);
  if (!option.has_room) wait += kNoRoomWait;
  return wait;
}

}  // namespace

duration reading_ahead(const engine_option& option, const choice_facts& facts) {
  // One prompt is read at a time; urgent ones go before all that wait.
  const auto read =
      std::min(option.read_for, reading_time(option, option.work.reading));
  const auto all = reading_time(option, option.work.reading) - read;
  if (!facts.is_urgent) return all;
  const auto later = option.work.reading - option.work.reading_urgent;
  const auto urgent = reading_time(option, option.work.reading_urgent);
  // Of the others, the one that is being read is half done as a rule.
  const auto current = std::min<double>(later, facts.usual_prompt);
  return std::min(all, urgent + reading_time(option, current / 2));
}

std::optional<duration> expected_start(const engine_option& option,
                                       const choice_facts& facts) {
  const auto load = load_wait(option, facts);
  if (!load) return std::nullopt;
  auto ahead = reading_ahead(option, facts);
  if (option.work.running >= option.slots) {
    ahead += kSlotWait * (1 + option.work.running - option.slots);
  }
  return std::max(*load, ahead) + reading_time(option, facts.prompt_tokens);
}

std::optional<duration> cost_of(const engine_option& option,
                                const choice_facts& facts) {
  auto cost = expected_start(option, facts);
  if (!cost) return cost;
  *cost += kFullCost * option.work.running / option.slots;
  *cost += by_distance(option.distance, kFarCost, kOtherRegionCost);
  if (option.is_home) *cost -= kHomeGain;
  if (option.is_cold) *cost += kColdCost;
  *cost += option.grant_wait;
  // An adapter loaded here could hardly be used.
  if (option.adapter != residence::ready) {
    *cost += std::min(option.grant_gap, kMostGrantGap);
  }
  if (option.adapter == residence::recent) *cost += kRecentLoadCost;
  if (option.adapter == residence::absent) {
    *cost += duration(static_cast<std::int64_t>(
        kStoreLoadCost * static_cast<double>(facts.load_time.count())));
    *cost += kOrderCost * static_cast<std::int64_t>(option.order);
  }
  return cost;
}

}  // namespace seamglade::gateway
