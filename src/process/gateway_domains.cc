// seamglade - the direct path: which targets may get a request at all
//
// Each reason answers for itself; the choice among those that are left, and
// what it costs, is gateway_placement.cc.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {

bool gateway_core::impl::is_in_allowed_region(
    const exchange& x, const target_state& target) const {
  const auto& domain = target.entry.failure_domain;
  if (!regions_.is_allowed(domain, x.way->regions)) return false;
  return x.owner == nullptr || regions_.is_allowed(domain, x.owner->regions);
}

bool gateway_core::impl::may_run_at(const exchange& x,
                                    const target_state& target) const {
  if (target.has_left(now_)) return false;
  if (domains_.is_evacuated(target.entry.failure_domain)) return false;
  return is_in_allowed_region(x, target);
}

std::vector<target_state*> gateway_core::impl::targets_for(const exchange& x) {
  auto out = targets_.usable(now_, x.service->name);
  std::erase_if(
      out, [&](const target_state* target) { return !may_run_at(x, *target); });
  return out;
}

proximity gateway_core::impl::distance_to(const target_state& target) const {
  return regions_.between(options_.failure_domain, target.entry.failure_domain);
}

}  // namespace seamglade::gateway
