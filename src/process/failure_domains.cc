// seamglade - the state of each failure domain, as every decision sees it
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/failure_domains.h"

#include <algorithm>
#include <utility>

namespace seamglade::gateway {

std::string_view to_string(domain_state state) {
  switch (state) {
    case domain_state::in_service:
      return "in_service";
    case domain_state::returning:
      return "returning";
    case domain_state::suspect:
      return "suspect";
    case domain_state::evacuated:
      return "evacuated";
  }
  return "";
}

bool failure_domains::evacuate(std::string_view domain) {
  auto& known = domains_[std::string(domain)];
  return !std::exchange(known.is_evacuated, true);
}

bool failure_domains::take_back(time_point now, std::string_view domain,
                                duration returning_for) {
  const auto found = domains_.find(domain);
  if (found == domains_.end()) return false;
  auto& known = found->second;
  if (!std::exchange(known.is_evacuated, false)) return false;
  known.returning_until = now + returning_for;
  return true;
}

void failure_domains::suspect(time_point now, std::string_view domain,
                              duration span) {
  auto& known = domains_[std::string(domain)];
  known.suspect_until = std::max(known.suspect_until, now + span);
}

void failure_domains::clear(std::string_view domain) {
  const auto found = domains_.find(domain);
  if (found != domains_.end()) found->second.suspect_until = {};
}

domain_state failure_domains::state(time_point now,
                                    std::string_view domain) const {
  const auto found = domains_.find(domain);
  if (found == domains_.end()) return domain_state::in_service;
  const auto& known = found->second;
  if (known.is_evacuated) return domain_state::evacuated;
  if (now < known.suspect_until) return domain_state::suspect;
  if (now < known.returning_until) return domain_state::returning;
  return domain_state::in_service;
}

bool failure_domains::is_evacuated(std::string_view domain) const {
  const auto found = domains_.find(domain);
  return found != domains_.end() && found->second.is_evacuated;
}

bool failure_domains::is_returning(time_point now,
                                   std::string_view domain) const {
  const auto found = domains_.find(domain);
  return found != domains_.end() && now < found->second.returning_until;
}

}  // namespace seamglade::gateway
