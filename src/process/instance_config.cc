// seamglade - the settings of one instance, read from its INI file
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/instance_config.h"

#include <fmt/format.h>

#include <array>
#include <fstream>
#include <set>
#include <sstream>

namespace seamglade {
namespace {

constexpr std::string_view kSection = "instance";
constexpr std::string_view kEndSection = "end";

constexpr key_spec file_key(std::string_view name, value_kind kind,
                            std::string_view fallback, std::string_view help) {
  return {name, kind, 0, 0, "", fallback, tree_level::root, tree_level::root,
          help};
}

constexpr std::array kSchema{
    file_key("id", value_kind::text, "", "name in the published list"),
    file_key("zone", value_kind::text, "", "failure domain"),
    file_key("caller_address", value_kind::address, "",
             "where callers reach it; port 0: any"),
    file_key("peer_address", value_kind::address, "",
             "where other instances reach it; port 0: any"),
    file_key("operator_address", value_kind::address, "",
             "health, readiness, status, metrics and drain; port 0: any"),
    file_key("config_service", value_kind::address, "",
             "the platform's configuration service"),
    file_key("config_prefix", value_kind::text, "seamglade",
             "prefix of the published documents"),
};

std::string* member_of(instance_config& config, std::string_view key) {
  if (key == "id") return &config.id;
  if (key == "zone") return &config.zone;
  if (key == "caller_address") return &config.caller_address;
  if (key == "peer_address") return &config.peer_address;
  if (key == "operator_address") return &config.operator_address;
  if (key == "config_service") return &config.config_service;
  return &config.config_prefix;
}

}  // namespace

std::span<const key_spec> instance_schema() { return kSchema; }

bool is_end(const ini_section& section) {
  return section.name == kEndSection && section.entries.empty();
}

instance_config_check check_instance_config(const std::string& text) {
  instance_config_check outcome;
  std::set<std::string> seen;
  const auto fail = [&](errc code, std::string detail, std::string_view section,
                        std::string_view key) {
    outcome.failures.push_back(
        {code, std::move(detail), find_line(text, section, key)});
  };
  for (const auto& section : read_ini(text, outcome.failures)) {
    if (is_end(section)) continue;
    if (section.name != kSection) {
      fail(errc::unknown_key, "section: accepted: [instance]", section.name,
           {});
      continue;
    }
    for (const auto& entry : section.entries) {
      const auto& key = entry.key;
      const auto& value = entry.value;
      const auto spec =
          std::find_if(kSchema.begin(), kSchema.end(),
                       [&](const auto& s) { return s.name == key; });
      if (spec == kSchema.end()) {
        fail(errc::unknown_key, key, kSection, key);
        continue;
      }
      if (const auto checked = check_value(*spec, value); !checked) {
        fail(checked.error().code, checked.error().detail, kSection, key);
      }
      *member_of(outcome.config, key) = value;
      seen.insert(key);
    }
  }
  for (const auto& spec : kSchema) {
    if (seen.contains(std::string(spec.name))) continue;
    if (spec.fallback.empty()) {
      fail(errc::missing_key,
           fmt::format("{}: accepted: {}", spec.name, accepted_range(spec)),
           kSection, {});
    }
    *member_of(outcome.config, spec.name) = spec.fallback;
  }
  return outcome;
}

result<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return failure{errc::unreadable_file, path, 0};
  std::ostringstream text;
  text << in.rdbuf();
  if (!in && !in.eof()) return failure{errc::unreadable_file, path, 0};
  return text.str();
}

}  // namespace seamglade
