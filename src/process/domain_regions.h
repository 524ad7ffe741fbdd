// seamglade - the regions of failure domains that are known by their hashes
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_DOMAIN_REGIONS_H_
#define SEAMGLADE_SRC_PROCESS_DOMAIN_REGIONS_H_

#include <cstdint>
#include <map>
#include <string_view>

#include "process/region_map.h"

namespace seamglade::gateway {

/** Returns the hash by which a member's row names its failure domain. */
std::uint32_t domain_hash(std::string_view domain);

/** What region_map tells, of domains that members name by their hashes. */
class domain_regions {
 public:
  domain_regions() = default;
  explicit domain_regions(const region_map::regions& named);

  /** Returns whether the settings name more than one region. */
  bool has_several() const { return has_several_; }
  /** Returns a number that tells regions apart. */
  std::uint32_t region_of(std::uint32_t domain) const;
  proximity between(std::uint32_t a, std::uint32_t b) const;

 private:
  std::map<std::uint32_t, std::uint32_t> regions_;
  bool has_several_ = false;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_DOMAIN_REGIONS_H_
