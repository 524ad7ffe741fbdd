// seamglade - the settings of an instance of the direct path, from its INI file
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_GATEWAY_CONFIG_H_
#define SEAMGLADE_GATEWAY_CONFIG_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "seamglade/settings.h"

namespace seamglade {

/** What `serve` needs to know of an instance of the direct path. */
struct gateway_config {
  instance_id id;
  std::string failure_domain;
  /** The region of each failure domain; one that is not named is its own. */
  std::map<std::string, std::string, std::less<>> regions;
  /** IP:port each. */
  std::string caller_address;
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;
  std::string store_address;
  /** Peers to join through; their ports are of no account. */
  std::vector<std::string> seeds;
  duration lease = 3s;
  /** Whether targets check the fence of an order. */
  bool fenced = true;
  double retry_ratio = 0.2;
  double retry_extra = 50;
  duration retry_window = 10s;
  /** How long a key may work that operators took away; zero: unbounded. */
  duration key_bound{};
  /** Limits of workspaces are judged over any span of this length ... */
  duration quota_window = 8s;
  /** ... may be passed by this part ... */
  double quota_excess = 0.25;
  /** ... and by so many units beside. */
  double quota_slack = 0;
  /** A cold target may get so much of the rate that it bears ... */
  double cold_excess = 1;
  /** ... and so many requests a second beside. */
  double cold_slack = 0;
  /** Whether plain targets get only what they can serve in time. */
  bool admission = true;
  /** From the signal of a planned stop until the platform kills the process. */
  duration grace = 8s;
  /** Bytes of memory that the process may use; 0: its own limit. */
  std::size_t memory_limit = 0;
  /** Descriptors that it may have; 0: its own limit. */
  std::size_t descriptor_limit = 0;
};

/** Returns the keys of the file's one section, [gateway]. */
std::span<const key_spec> gateway_schema();

struct gateway_config_check {
  gateway_config config;
  std::vector<failure> failures;
};

/** Returns whether a file is that of an instance of the direct path. */
bool is_gateway_config(const std::string& text);

/** Checks the text of an instance's file. */
gateway_config_check check_gateway_config(const std::string& text);

}  // namespace seamglade

#endif  // SEAMGLADE_GATEWAY_CONFIG_H_
