// seamglade - which software versions a service's targets had lately
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_VERSION_HISTORY_H_
#define SEAMGLADE_SRC_PROCESS_VERSION_HISTORY_H_

#include <map>
#include <optional>

#include "seamglade/gateway_types.h"
#include "seamglade/types.h"

namespace seamglade::gateway {

/**
 * The versions that targets of each service were listed with.
 *
 * A process that started a moment ago has seen no version that left before.
 */
class version_history {
 public:
  void seen(time_point now, service_hash service, software_hash software) {
    services_[service][software] = now;
  }
  /** Forgets what was not listed for longer than a stream may take. */
  void expire(time_point now, duration longest_stream) {
    for (auto& [service, versions] : services_) {
      std::erase_if(versions, [&](const auto& pair) {
        return now - pair.second > longest_stream;
      });
    }
  }
  /** Returns whether several versions of a service were seen. */
  bool is_mixed(service_hash service) const {
    const auto found = services_.find(service);
    return found != services_.end() && found->second.size() > 1;
  }
  /** Returns the one version that was seen; none: several, or none was. */
  std::optional<software_hash> only_version(service_hash service) const {
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.size() != 1) {
      return std::nullopt;
    }
    return found->second.begin()->first;
  }
  std::size_t mixed_services() const {
    std::size_t count = 0;
    for (const auto& [service, versions] : services_) {
      if (versions.size() > 1) ++count;
    }
    return count;
  }

 private:
  std::map<service_hash, std::map<software_hash, time_point>> services_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_VERSION_HISTORY_H_
