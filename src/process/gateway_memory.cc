// seamglade - what an instance of the direct path knows and has under way
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/gateway_memory.h"

#include "process/domain_regions.h"

namespace seamglade::gateway {
namespace {

roster_options roster_options_of(const gateway_options& from) {
  roster_options out;
  out.self = from.self;
  out.domain = domain_hash(from.failure_domain);
  out.regions = domain_regions(from.regions);
  out.incarnation = from.incarnation;
  out.seeds = from.seeds;
  out.random_seed = from.random_seed;
  return out;
}

}  // namespace

gateway_memory::gateway_memory(gateway_options options, const dialect& platform)
    : options_(std::move(options)),
      platform_(platform),
      random_(options_.random_seed + 1),
      accounts_(options_.self, options_.quota),
      grants_(options_.self, options_.cold),
      roster_(roster_options_of(options_)),
      regions_(options_.regions) {}

}  // namespace seamglade::gateway
