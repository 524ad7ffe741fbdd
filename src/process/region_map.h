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

namespace seamglade::gateway {

/** How far two failure domains are from each other; the nearest first. */
enum class proximity : std::uint8_t { same_domain, same_region, other_region };

/** The region of each failure domain; one that is not named is its own. */
class region_map {
 public:
  using regions = std::map<std::string, std::string, std::less<>>;

  region_map() = default;
  explicit region_map(regions of_domains) : regions_(std::move(of_domains)) {}

  std::string_view region_of(std::string_view domain) const {
    const auto found = regions_.find(domain);
    return found == regions_.end() ? domain : std::string_view(found->second);
  }

  proximity between(std::string_view a, std::string_view b) const {
    if (a == b) return proximity::same_domain;
    return region_of(a) == region_of(b) ? proximity::same_region
                                        : proximity::other_region;
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
