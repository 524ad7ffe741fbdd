// seamglade - a bound on the connections that an instance opens
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/connection_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace seamglade::detail {
namespace {

/** An eighth is kept for control, within these. */
constexpr std::size_t kControlPart = 8;
constexpr std::size_t kLeastControl = 2;
constexpr std::size_t kMostControl = 64;

std::size_t part_of_requests(std::size_t bound) {
  const auto control =
      std::clamp(bound / kControlPart, kLeastControl, kMostControl);
  return bound > control ? bound - control : 1;
}

}  // namespace

connection_budget::connection_budget(std::size_t bound)
    : bound_(bound), for_requests_(part_of_requests(bound)) {}

std::size_t& connection_budget::open_for(connection_use use) {
  return open_.at(static_cast<std::size_t>(use));
}

connection_budget::place_list& connection_budget::idle_for(connection_use use) {
  return idle_.at(static_cast<std::size_t>(use));
}

std::size_t connection_budget::open() const {
  return std::accumulate(open_.begin(), open_.end(), std::size_t{0});
}

std::size_t connection_budget::idle() const {
  return std::accumulate(
      idle_.begin(), idle_.end(), std::size_t{0},
      [](std::size_t sum, const place_list& one) { return sum + one.size(); });
}

bool connection_budget::is_part_full(connection_use use) const {
  if (use == connection_use::control) return false;
  return open_.at(static_cast<std::size_t>(use)) >= for_requests_;
}

bool connection_budget::make_room(connection_use use) {
  const bool is_full_for_use = is_part_full(use);
  if (!is_full_for_use && open() < bound_) return true;
  auto* idle = &idle_for(connection_use::requests);
  if (idle->empty() && !is_full_for_use) {
    idle = &idle_for(connection_use::control);
  }
  if (idle->empty()) {
    ++counts_.refused;
    return false;
  }
  ++counts_.replaced;
  // A copy: the place ends with its connection.
  const auto close = idle->front().close_;
  close();
  return true;
}

connection_budget::place::place(connection_budget& budget, connection_use use,
                                std::function<void()> close)
    : budget_(budget), use_(use), close_(std::move(close)) {
  ++budget_.open_for(use_);
}

connection_budget::place::~place() { --budget_.open_for(use_); }

void connection_budget::place::rest() {
  budget_.idle_for(use_).push_back(*this);
}

bool connection_budget::place::carry(connection_use use) {
  if (use != use_) {
    if (budget_.is_part_full(use)) return false;
    --budget_.open_for(use_);
    use_ = use;
    ++budget_.open_for(use_);
  }
  unlink();
  return true;
}

}  // namespace seamglade::detail
