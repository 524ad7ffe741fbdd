// seamglade - which failure domains lie near each other
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_REGION_MAP_H_
#define SEAMGLADE_SRC_PROCESS_REGION_MAP_H_

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "seamglade/gateway_types.h"

namespace seamglade::gateway {

/**
 * The region of each failure domain; one that is not named is its own. Where
 * none is named nothing is known of distances: all are one region.
 */
class region_map {
 public:
  using regions = std::map<std::string, std::string, std::less<>>;

  region_map() = default;
  explicit region_map(regions of_domains) : regions_(std::move(of_domains)) {}

  bool has_several() const {
    return std::any_of(regions_.begin(), regions_.end(),
                       [&](const auto& named) {
                         return named.second != regions_.begin()->second;
                       });
  }

  std::string_view region_of(std::string_view domain) const {
    const auto found = regions_.find(domain);
    return found == regions_.end() ? domain : std::string_view(found->second);
  }

  proximity between(std::string_view a, std::string_view b) const {
    if (a == b) return proximity::same_domain;
    const bool is_near = regions_.empty() || region_of(a) == region_of(b);
    return is_near ? proximity::same_region : proximity::other_region;
  }

  /** Returns whether a domain lies in one of the regions; none: in any. */
  bool is_allowed(std::string_view domain,
                  const std::vector<std::string>& allowed) const {
    if (allowed.empty()) return true;
    const auto region = region_of(domain);
    return std::find(allowed.begin(), allowed.end(), region) != allowed.end();
  }

 private:
  regions regions_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_REGION_MAP_H_
