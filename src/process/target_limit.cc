// seamglade - how many requests a target takes, by its own word in answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_limit.h"

namespace seamglade::gateway {
namespace {

/** A limit that is back so soon after it was lifted was never gone. */
constexpr duration kBackSoon = 10s;
/** Such a target is believed to name none after so many answers without. */
constexpr unsigned kUnnamedIfUnsteady = 8;
/**
 * Word of an unchanged limit is younger only beyond this: what instances tell
 * each other in turn would else grow younger on every way.
 */
constexpr duration kTellingTakes = 100ms;

}  // namespace

bool target_limit::begin(target_life life) {
  if (life_ && *life_ > life) return false;
  if (life_ != life) *this = {};
  life_ = life;
  return true;
}

void target_limit::set(time_point now, double rate, time_point at) {
  const bool was_lifted = lifted_ != time_point{};
  if (rate > 0 && was_lifted && now - lifted_ < kBackSoon) is_unsteady_ = true;
  if (rate <= 0) lifted_ = now;
  rate_ = rate;
  at_ = at;
  unnamed_ = 0;
}

bool target_limit::named(time_point now, target_life life, double rate,
                         time_point sent) {
  if (!begin(life)) return false;
  unnamed_ = 0;
  if (rate == rate_) {
    at_ = now;
    return false;
  }
  const bool is_lower = rate_ <= 0 || rate < rate_;
  if (!is_lower && sent <= at_) return false;
  set(now, rate, is_lower ? now : sent);
  return true;
}

bool target_limit::unnamed(time_point now, target_life life, time_point sent) {
  if (life_ != life || rate_ <= 0 || sent <= at_) return false;
  if (is_unsteady_ && ++unnamed_ < kUnnamedIfUnsteady) return false;
  set(now, 0, sent);
  return true;
}

bool target_limit::told(time_point now, const notice& heard) {
  // As broken as a target's own word may be.
  if (!(heard.rate >= 0)) return false;
  const bool is_first = life_ != heard.life && heard.rate <= 0;
  if (is_first || !begin(heard.life) || heard.at <= at_) return false;
  if (heard.rate == rate_) {
    if (heard.at > at_ + kTellingTakes) at_ = heard.at;
    return false;
  }
  set(now, heard.rate, heard.at);
  return true;
}

std::optional<double> target_limit::rate(target_life life) const {
  const bool is_of_life = life_ && *life_ >= life;
  if (!is_of_life || rate_ <= 0) return std::nullopt;
  return rate_;
}

std::optional<target_limit::notice> target_limit::to_tell() const {
  if (!life_) return std::nullopt;
  return notice{*life_, rate_, at_};
}

}  // namespace seamglade::gateway
