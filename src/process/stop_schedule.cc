// seamglade - the times of a planned stop, from how long the platform waits
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/stop_schedule.h"

#include <algorithm>

namespace seamglade {
namespace {

/** The process ends so long before it would be killed ... */
constexpr duration kEndMargin = 400ms;
/** ... or this part of the grace before, if that is less. */
constexpr int kEndMarginPart = 5;
/** Last answers have so long to leave the process ... */
constexpr duration kLastAnswers = 100ms;
/** ... or this part of the grace. */
constexpr int kLastAnswersPart = 20;
/** The platform has heard by then that the process takes no connections. */
constexpr duration kCloseIdle = 2500ms;

}  // namespace

stop_schedule make_stop_schedule(time_point began, duration grace) {
  stop_schedule out;
  out.began = began;
  out.end = began + grace - std::min(kEndMargin, grace / kEndMarginPart);
  out.answer_by = out.end - std::min(kLastAnswers, grace / kLastAnswersPart);
  out.close_idle_from = std::min(began + kCloseIdle, out.answer_by);
  return out;
}

}  // namespace seamglade
