// seamglade - the regions of failure domains that are known by their hashes
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/domain_regions.h"

#include <string>

#include "process/target_table.h"

namespace seamglade::gateway {

std::uint32_t domain_hash(std::string_view domain) {
  return static_cast<std::uint32_t>(hash_of(std::string(domain)));
}

domain_regions::domain_regions(const region_map::regions& named)
    : has_several_(region_map(named).has_several()) {
  for (const auto& [domain, region] : named) {
    // The hash of a region's name may be that of a domain that is not named.
    regions_[domain_hash(domain)] = domain_hash("region/" + region);
  }
}

std::uint32_t domain_regions::region_of(std::uint32_t domain) const {
  const auto found = regions_.find(domain);
  return found == regions_.end() ? domain : found->second;
}

proximity domain_regions::between(std::uint32_t a, std::uint32_t b) const {
  if (a == b) return proximity::same_domain;
  const bool is_near = regions_.empty() || region_of(a) == region_of(b);
  return is_near ? proximity::same_region : proximity::other_region;
}

}  // namespace seamglade::gateway
