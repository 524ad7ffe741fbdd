// seamglade - the published list of instances and targets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_FLEET_H_
#define SEAMGLADE_FLEET_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "seamglade/settings.h"
#include "seamglade/types.h"

namespace seamglade {

/** Name under which the list is published beside the settings documents. */
inline constexpr std::string_view kFleetDocument = "fleet";

/** What the list says of a member; the list lags behind the truth. */
enum class member_state : std::uint8_t { live, leaving };

struct instance_entry {
  instance_id id;
  /** Failure domain. */
  std::string zone;
  /** Where its peers reach it, as IP number and port. */
  std::string address;
  member_state state = member_state::live;

  friend bool operator==(const instance_entry&,
                         const instance_entry&) = default;
};

struct target_entry {
  target_id id;
  std::string zone;
  std::string address;
  /** Path of its service in the tree of settings. */
  std::string service;
  /** The base model of an engine; empty for a plain service. */
  std::string base;
  member_state state = member_state::live;

  friend bool operator==(const target_entry&, const target_entry&) = default;
};

/** One edition of the published list. */
struct fleet_list {
  document_stamp stamp;
  std::map<instance_id, instance_entry> instances;
  std::map<target_id, target_entry> targets;
  std::shared_ptr<const std::string> text;
};

struct fleet_check {
  std::optional<fleet_list> list;
  std::vector<failure> failures;
};

/** Checks a whole list; `index` is its publication index. */
fleet_check check_fleet(std::string text, std::uint64_t index);

}  // namespace seamglade

#endif  // SEAMGLADE_FLEET_H_
