// seamglade - the settings of one instance, read from its INI file
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_INSTANCE_CONFIG_H_
#define SEAMGLADE_INSTANCE_CONFIG_H_

#include <span>
#include <string>
#include <vector>

#include "seamglade/settings.h"

namespace seamglade {

/** What `serve` needs to know of its instance. */
struct instance_config {
  instance_id id;
  std::string zone;
  std::string caller_address;
  std::string peer_address;
  std::string operator_address;
  std::string config_service;
  std::string config_prefix;
};

/** Returns the keys of the file's one section, [instance]. */
std::span<const key_spec> instance_schema();

/**
 * Returns whether a section of an instance's file is [end], which has no keys
 * and shows as its last one that the file is whole.
 */
bool is_end(const ini_section& section);

struct instance_config_check {
  instance_config config;
  std::vector<failure> failures;
};

/** Checks the text of an instance's file. */
instance_config_check check_instance_config(const std::string& text);

/** Reads a file; fails with unreadable_file. */
result<std::string> read_file(const std::string& path);

}  // namespace seamglade

#endif  // SEAMGLADE_INSTANCE_CONFIG_H_
