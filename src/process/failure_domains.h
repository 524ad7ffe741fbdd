// seamglade - the state of each failure domain, as every decision sees it
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_FAILURE_DOMAINS_H_
#define SEAMGLADE_SRC_PROCESS_FAILURE_DOMAINS_H_

#include <map>
#include <string>
#include <string_view>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** What may be sent to a failure domain; of two that hold, the later counts. */
enum class domain_state : std::uint8_t {
  in_service,
  /** Taken back a moment ago: all its targets are taken to be cold. */
  returning,
  /** Its targets and instances fell silent together. */
  suspect,
  /** The operators want nothing sent there. */
  evacuated
};

std::string_view to_string(domain_state state);

/**
 * What the operators say of failure domains, and what is seen of them.
 *
 * An evacuation stands until it is taken back, however old its word is. A
 * suspicion ends by itself or with the first sign of life.
 */
class failure_domains {
 public:
  /** Returns false if the domain was evacuated already. */
  bool evacuate(std::string_view domain);
  /** `returning_for`: how long its targets may be cold from now. */
  bool take_back(time_point now, std::string_view domain,
                 duration returning_for);
  /** Suspects a domain for a while, or for longer than before. */
  void suspect(time_point now, std::string_view domain, duration span);
  /** Something there gave a sign of life. */
  void clear(std::string_view domain);

  domain_state state(time_point now, std::string_view domain) const;
  bool is_evacuated(std::string_view domain) const;
  /** Returns whether its targets may be cold still, also where it is suspect.
   */
  bool is_returning(time_point now, std::string_view domain) const;

 private:
  struct record {
    bool is_evacuated = false;
    time_point returning_until;
    time_point suspect_until;
  };
  std::map<std::string, record, std::less<>> domains_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_FAILURE_DOMAINS_H_
