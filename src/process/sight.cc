// seamglade - the part of the known fleet that an instance sees
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/sight.h"

namespace seamglade::gateway {
namespace {

/**
 * A silent member is taken to serve on elsewhere for so long: cuts between
 * regions last minutes.
 */
constexpr duration kMissing = 30min;

}  // namespace

void sight::look(time_point now, const fleet_view& view) {
  for (const auto who : view.silent) missing_.try_emplace(who, now);
  for (const auto who : view.staying) missing_.erase(who);
  std::erase_if(missing_,
                [&](const auto& pair) { return now - pair.second > kMissing; });
  const auto visible = static_cast<double>(view.staying.size());
  const auto known = visible + static_cast<double>(missing_.size());
  const auto part = known > 0 ? visible / known : 0;
  while (!parts_.empty() && parts_.back().second > part) parts_.pop_back();
  if (parts_.empty() || parts_.back().second < part) {
    parts_.emplace_back(now, part);
  }
  // One that was followed by a greater one held until that one came.
  while (parts_.size() > 1 && now - parts_[1].first >= settling_) {
    parts_.pop_front();
  }
}

double sight::part() const { return parts_.empty() ? 0 : parts_.back().second; }

double sight::settled_part() const {
  return parts_.empty() ? 0 : parts_.front().second;
}

}  // namespace seamglade::gateway
