// seamglade - at which software version streams began
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/origin_table.h"

#include <algorithm>

namespace seamglade::gateway {

bool origin_table::note(time_point now, const origin_row& row) {
  const auto [at, is_new] = origins_.try_emplace(row.stream, row.origin);
  if (is_new) {
    order_.emplace_back(now, row.stream);
    if (origins_.size() > kMost) drop_oldest();
    return true;
  }
  auto& known = at->second;
  if (known == row.origin || !known.is_certain()) return false;
  known.software = 0;
  return true;
}

std::vector<origin_row> origin_table::take_untold(service_hash service) {
  std::vector<origin_row> out;
  for (auto at = untold_.begin(); at != untold_.end();) {
    const auto found = origins_.find(*at);
    if (found == origins_.end()) {
      at = untold_.erase(at);
      continue;
    }
    if (found->second.service != service) {
      ++at;
      continue;
    }
    out.push_back({found->first, found->second});
    at = untold_.erase(at);
  }
  return out;
}

std::optional<stream_origin> origin_table::find(stream_key stream) const {
  const auto found = origins_.find(stream);
  if (found == origins_.end()) return std::nullopt;
  return found->second;
}

std::vector<origin_row> origin_table::newest(std::size_t most) const {
  std::vector<origin_row> out;
  const auto count = std::min(most, order_.size());
  for (auto at = order_.end() - static_cast<std::ptrdiff_t>(count);
       at != order_.end(); ++at) {
    out.push_back({at->second, origins_.at(at->second)});
  }
  return out;
}

void origin_table::expire(time_point now, duration longest_stream) {
  while (!order_.empty() && now - order_.front().first > longest_stream) {
    drop_oldest();
  }
}

void origin_table::drop_oldest() {
  const auto stream = order_.front().second;
  origins_.erase(stream);
  untold_.erase(stream);
  order_.pop_front();
}

}  // namespace seamglade::gateway
