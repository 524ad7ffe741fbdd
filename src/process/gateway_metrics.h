// seamglade - the pages of the direct path's metrics address
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_GATEWAY_METRICS_H_
#define SEAMGLADE_SRC_PROCESS_GATEWAY_METRICS_H_

#include <array>
#include <string>
#include <vector>

#include "connection/call_client.h"
#include "connection/gateway_server.h"
#include "process/address_binder.h"
#include "process/settings_file.h"
#include "seamglade/gateway.h"

namespace seamglade::detail {

/** Bytes sent in datagrams, with IP's and UDP's heads, by distance. */
class datagram_bytes {
 public:
  void add(gateway::proximity distance, std::size_t payload) {
    sent_.at(static_cast<std::size_t>(distance)) += payload + kHeads;
  }
  std::uint64_t to(gateway::proximity distance) const {
    return sent_.at(static_cast<std::size_t>(distance));
  }

 private:
  static constexpr std::size_t kHeads = 28;
  std::array<std::uint64_t, 3> sent_{};
};

/** What the clients of an instance have counted. */
struct call_counters {
  call_client::counters to_targets;
  /** To the platform's store and other instances. */
  call_client::counters to_fleet;
  /** To other instances, with requests that are handed on. */
  call_client::counters to_relays;
};

/** What an instance holds for others, and how much it may. */
struct resource_status {
  struct connection_share {
    const char* use = "";
    std::size_t open = 0;
    std::size_t bound = 0;
  };

  std::size_t reserved_bytes = 0;
  std::size_t unsent_bytes = 0;
  std::size_t held_bound = 0;
  std::size_t descriptor_limit = 0;
  std::vector<connection_share> connections;
  /** Of those that it opened. */
  std::size_t idle_connections = 0;
  connection_budget::counters opened;
  gateway_server::counters counts;
};

/** What an instance waited for that it needs to start. */
struct start_counters {
  address_binder::counters addresses;
  settings_file::counters settings;
};

/** Returns the counters in Prometheus' text form. */
std::string metrics_page(const gateway::gateway_status& status,
                         const call_counters& calls,
                         std::uint64_t log_lines_dropped,
                         const datagram_bytes& datagrams = {},
                         const resource_status& resources = {},
                         const start_counters& start = {});

/** Returns what the instance believes, as JSON. */
std::string status_page(const gateway::gateway_status& status);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_GATEWAY_METRICS_H_
