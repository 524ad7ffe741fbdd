// seamglade - a bound on the bytes that an instance holds for others
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/byte_budget.h"

#include <algorithm>

namespace seamglade::detail {

std::size_t byte_budget::bound_for(listener_use use, std::size_t bytes) const {
  if (bytes > kSmallRequest) return bound_ / 2;
  const auto sixteenth = bound_ / 16;
  return use == listener_use::callers ? sixteenth * 9 : sixteenth * 10;
}

void byte_budget::relieve() {
  while (unsent_ > unsent_bound()) {
    const auto most =
        std::max_element(shares_.begin(), shares_.end(),
                         [](const share& one, const share& other) {
                           return one.unsent_ < other.unsent_;
                         });
    // The share ends while it runs.
    const auto break_off = most->break_off_;
    break_off();
  }
}

byte_budget::share::share(byte_budget& budget, listener_use use,
                          std::function<void()> break_off)
    : budget_(budget), use_(use), break_off_(std::move(break_off)) {
  budget_.shares_.push_back(*this);
}

byte_budget::share::~share() {
  release();
  set_unsent(0);
}

bool byte_budget::share::reserve(std::size_t bytes) {
  const auto others = budget_.reserved_ - reserved_;
  const bool fits = others + bytes <= budget_.bound_for(use_, bytes);
  if (bytes > reserved_ && !fits) return false;
  budget_.reserved_ = others + bytes;
  reserved_ = bytes;
  return true;
}

void byte_budget::share::release() {
  budget_.reserved_ -= reserved_;
  reserved_ = 0;
}

void byte_budget::share::set_unsent(std::size_t bytes) {
  budget_.unsent_ += bytes - unsent_;
  unsent_ = bytes;
}

}  // namespace seamglade::detail
