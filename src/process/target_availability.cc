// seamglade - whether a target takes new requests, by its own word in answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_availability.h"

#include <algorithm>

namespace seamglade::gateway {
namespace {

/**
 * Word of more rest is news from here on: streams that are turned away within
 * a moment all ask for the same one.
 */
constexpr duration kNewsOfRest = 500ms;
/** A longer rest is no more than this: a target that says so is out of use. */
constexpr duration kLongestRest = 24h;
/** The first byte of a trial comes in this time, or another may be sent. */
constexpr duration kTrialPatience = 500ms;
/**
 * What turns away without a word of rest is left alone for so long, twice as
 * long each time. An engine that turns all away runs nothing, looks idle and
 * draws requests: with four of twelve doing so for 9 s, 77 requests are turned
 * away and 3 callers refused in place of 552 and 402 (target_word-test).
 */
constexpr duration kFirstAssumedRest = 250ms;
constexpr duration kLongestAssumedRest = 2s;

}  // namespace

bool target_availability::leaves(target_life life) {
  if (is_leaving(life)) return false;
  leaving_ = life;
  return true;
}

bool target_availability::begin_rest(target_life life) {
  if (rest_life_ && *rest_life_ > life) return false;
  if (rest_life_ != life) {
    own_until_ = heard_until_ = assumed_until_ = trial_until_ = {};
    assumed_ = {};
  }
  rest_life_ = life;
  return true;
}

bool target_availability::asks_for_rest(time_point now, target_life life,
                                        duration rest) {
  if (!begin_rest(life)) return false;
  const auto known = std::max(own_until_, heard_until_);
  own_until_ = std::max(own_until_, now + std::min(rest, kLongestRest));
  return own_until_ > known + kNewsOfRest;
}

bool target_availability::turned_away(time_point now, target_life life,
                                      time_point sent) {
  // What was on its way already is no trial.
  if (sent < assumed_until_ || !begin_rest(life)) return false;
  assumed_ = std::clamp(assumed_ * 2, kFirstAssumedRest, kLongestAssumedRest);
  assumed_until_ = now + assumed_;
  doubted_at_ = now;
  // Others that were told of it need not be told again.
  return assumed_until_ > heard_until_;
}

bool target_availability::asks_another_for_rest(time_point now,
                                                target_life life,
                                                const hearsay& word) {
  const auto until = now + std::min(word.rest, kLongestRest);
  const bool is_alone = now >= far_until_ || far_domain_ == word.domain;
  if (!word.is_near && is_alone) {
    far_domain_ = word.domain;
    far_until_ = until;
    return false;
  }
  if (!begin_rest(life)) return false;
  const auto known = std::max(own_until_, heard_until_);
  heard_until_ = std::max(heard_until_, until);
  doubted_at_ = now;
  return heard_until_ > known;
}

bool target_availability::answered(time_point now, time_point sent) {
  // One that was sent before tells nothing of the rest.
  const auto since = std::max(own_until_, doubted_at_);
  if (!rest_life_ || now < since || sent < since) return false;
  rest_life_.reset();
  return true;
}

void target_availability::answered_another(time_point now, target_life life,
                                           bool is_near) {
  far_until_ = {};
  if (!is_near) return;
  if (rest_life_ != life) return;
  heard_until_ = assumed_until_ = {};
  if (now >= own_until_) rest_life_.reset();
}

bool target_availability::needs_trial(target_life life) const {
  return rest_life_ && *rest_life_ >= life;
}

bool target_availability::is_at_rest(time_point now, target_life life) const {
  return needs_trial(life) && now < own_until_;
}

duration target_availability::rest_left(time_point now,
                                        target_life life) const {
  if (!needs_trial(life)) return {};
  return std::max(duration{}, std::max(own_until_, assumed_until_) - now);
}

availability target_availability::state(time_point now, target_life life,
                                        duration turn) const {
  using enum availability;
  if (is_leaving(life)) return leaving;
  if (!needs_trial(life)) return open;
  const bool is_tried = now < trial_until_;
  // Without its own word to this instance, a doubt is no reason to wait.
  const bool was_told = own_until_ != time_point{};
  if (now < own_until_ || (is_tried && was_told)) return resting;
  const auto over = std::max({own_until_, heard_until_, assumed_until_});
  return is_tried || now < over + turn ? doubtful : open;
}

time_point target_availability::rests_until() const {
  return std::max(own_until_, trial_until_);
}

bool target_availability::begin_trial(time_point now, target_life life) {
  if (!needs_trial(life)) return false;
  trial_until_ = now + kTrialPatience;
  return true;
}

}  // namespace seamglade::gateway
