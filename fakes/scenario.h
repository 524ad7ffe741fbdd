// seamglade - the small fleet that failure tests and benchmarks start from
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_FAKES_SCENARIO_H_
#define SEAMGLADE_FAKES_SCENARIO_H_

#include <string>

#include "world.h"

namespace seamglade::fakes {

/** What the small fleet is made of. */
struct fleet_shape {
  int instances = 3;
  int engines = 3;
  int zones = 2;
  int adapters = 8;
  bool checks_orders = true;
  /** Lines added to the engines' section of the settings. */
  std::string settings;
};

/** Path of the engines' service, and of the plain service. */
inline constexpr const char* kEngineService = "/site/drafts";
inline constexpr const char* kPlainService = "/site/desk";

/** Returns the root document at a version of its authors. */
std::string root_document(int version);
/** Returns the version of the root document in force; 0: none is. */
int root_version(const world& w, const instance_id& id);
/** Returns the document of the site at a version of its authors. */
std::string site_document(int version, const fleet_shape& shape);

/** Adds the members of a small fleet and publishes its documents. */
void build_fleet(world& w, const fleet_shape& shape);

/** Returns the model name of an adapter of the small fleet. */
std::string model_name(int adapter, int version = 1);

/** Returns a UUIDv7 that was made at a virtual time. */
std::string key_at(time_point now, std::uint64_t number);

/** What breaks the guarantees in a world's trace; empty if nothing does. */
std::vector<std::string> broken_guarantees(const world& w,
                                           std::uint32_t tokens);

}  // namespace seamglade::fakes

#endif  // SEAMGLADE_FAKES_SCENARIO_H_
