// seamglade - the direct path: what targets have to do, and how fast they are
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** Weight of the newest request in a service's usual prompt. */
constexpr double kPromptWeight = 0.05;
/** Of what a holder tells of loads, one part in so many is taken over. */
constexpr std::int64_t kToldParts = 8;
/** How long a load is taken to last before anything was told of one. */
constexpr duration kUnknownLoadTime = 250ms;
/** Below this a prompt tells more of the first token than of reading. */
constexpr std::uint32_t kTellingTokens = 200;

}  // namespace

void gateway_core::impl::work_began(exchange& x, target_state& target) {
  ++target.own.running;
  loads_dirty_.insert(target.entry.id);
  if (x.facts.adapter.model.empty()) return;
  const auto before = target.work(now_).reading;
  if (before == 0) target.reading_known = now_;
  x.is_reading = true;
  x.tokens_ahead = before + x.facts.prompt_tokens;
  target.own.reading += x.facts.prompt_tokens;
  if (x.way->rank == 0) target.own.reading_urgent += x.facts.prompt_tokens;
  auto& usual = habits_[x.service->name].prompt_tokens;
  usual += kPromptWeight * (x.facts.prompt_tokens - usual);
  interest_dirty_.insert(x.target);
}

void gateway_core::impl::reading_ended(exchange& x) {
  if (!std::exchange(x.is_reading, false)) return;
  auto* target = target_of(x);
  if (target == nullptr) return;
  const auto tokens = x.facts.prompt_tokens;
  auto& own = target->own;
  own.reading -= std::min(own.reading, tokens);
  if (x.way->rank == 0) {
    own.reading_urgent -= std::min(own.reading_urgent, tokens);
  }
  target->reading_known = now_;
  loads_dirty_.insert(x.target);
  if (x.tokens_ahead < kTellingTokens) return;
  target->pace.learn(now_ - x.called_at, x.tokens_ahead);
  habits_[x.service->name].pace.learn(now_ - x.called_at, x.tokens_ahead);
}

void gateway_core::impl::work_ended(exchange& x, target_state& target) {
  if (x.is_reading) {
    // Nothing is learned of a call that ended without an event.
    x.tokens_ahead = 0;
    reading_ended(x);
  }
  if (target.own.running > 0) --target.own.running;
  loads_dirty_.insert(x.target);
  if (!x.facts.adapter.model.empty()) interest_dirty_.insert(x.target);
}

void gateway_core::impl::learn_load_time(duration told) {
  if (told_load_time_ == duration{}) told_load_time_ = told;
  told_load_time_ += (told - told_load_time_) / kToldParts;
}

duration gateway_core::impl::load_time() const {
  // Most of a large fleet hold no target: they would take loads to be quick
  // when the weight store is at its limit.
  const bool heard = told_load_time_ > duration{};
  if (keepers_.empty()) return heard ? told_load_time_ : kUnknownLoadTime;
  duration total{};
  for (const auto& [id, keeper] : keepers_) total += keeper->load_time();
  const auto own = total / static_cast<std::int64_t>(keepers_.size());
  return heard ? (own + told_load_time_) / 2 : own;
}

}  // namespace seamglade::gateway
