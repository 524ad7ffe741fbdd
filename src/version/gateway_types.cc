// seamglade - value types of the direct path: targets that guard themselves
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/gateway_types.h"

#include <algorithm>

#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/** Compares host names; a port at the end of `given` is left out. */
bool same_host(std::string_view given, std::string_view host) {
  if (const auto colon = given.rfind(':'); colon != std::string_view::npos) {
    given = given.substr(0, colon);
  }
  return std::equal(given.begin(), given.end(), host.begin(), host.end(),
                    [](char a, char b) { return lower(a) == lower(b); });
}

}  // namespace

std::string_view to_string(proximity distance) {
  switch (distance) {
    case proximity::same_domain:
      return "domain";
    case proximity::same_region:
      return "region";
    case proximity::other_region:
      break;
  }
  return "other";
}

const model_profile* engine_profile::find(std::string_view model) const {
  const auto found =
      std::find_if(models.begin(), models.end(),
                   [&](const auto& m) { return m.name == model; });
  return found == models.end() ? nullptr : &*found;
}

const route* configuration::find_route(std::string_view host,
                                       std::string_view path) const {
  path = path.substr(0, path.find_first_of("?#"));
  const route* best = nullptr;
  for (const auto& candidate : routes) {
    if (!path.starts_with(candidate.prefix)) continue;
    if (!same_host(host, candidate.host)) continue;
    if (best == nullptr || candidate.prefix.size() > best->prefix.size()) {
      best = &candidate;
    }
  }
  return best;
}

const service_profile* configuration::find_service(
    std::string_view name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

const workspace* configuration::find_workspace(std::string_view key) const {
  const auto found = keys.find(key);
  return found == keys.end() ? nullptr : &workspaces[found->second];
}

std::string adapter_name::str() const {
  return adapter.empty() ? model : model + "/" + adapter;
}

adapter_hash hash_of(const adapter_name& name) {
  return adapter_hash{stable_hash(name.str())};
}

std::string_view to_string(engine_order_status status) {
  using enum engine_order_status;
  switch (status) {
    case started:
      return "started";
    case done:
      return "done";
    case busy:
      return "busy";
    case fenced:
      return "fenced";
    case misplaced:
      return "misplaced";
    case rejected:
      return "rejected";
    case unanswered:
      return "unanswered";
  }
  return "";
}

software_hash hash_of_software(std::string_view version) {
  // 0 means that nobody can tell.
  return std::max<software_hash>(1, stable_hash(version));
}

}  // namespace seamglade::gateway
