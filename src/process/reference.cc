// seamglade - the settings reference, printed from the schema
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/reference.h"

#include <fmt/format.h>

#include <span>

#include "seamglade/gateway_config.h"
#include "seamglade/instance_config.h"
#include "seamglade/settings.h"

namespace seamglade::detail {
namespace {

/** A bar would end the cell of a Markdown table. */
std::string shown(std::string_view text) {
  return text.empty() ? std::string("-") : fmt::format("`{}`", text);
}

/** Returns the keys of one section of an instance's file. */
std::string file_table(std::string_view section,
                       std::span<const key_spec> keys) {
  auto out = fmt::format(
      "\n## The instance file, section [{}]\n\n"
      "| key | accepted | default | meaning |\n"
      "| --- | --- | --- | --- |\n",
      section);
  for (const auto& key : keys) {
    out += fmt::format("| `{}` | {} | {} | {} |\n", key.name,
                       accepted_range(key), shown(key.fallback), key.help);
  }
  return out;
}

}  // namespace

std::string settings_reference() {
  std::string out =
      "## The tree of settings\n\n"
      "| key | accepted | default | levels | meaning |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const auto& key : settings_schema()) {
    const auto levels = key.highest == key.deepest
                            ? std::string(to_string(key.highest))
                            : fmt::format("{} to {}", to_string(key.highest),
                                          to_string(key.deepest));
    out +=
        fmt::format("| `{}` | {} | {} | {} | {} |\n", key.name,
                    accepted_range(key), shown(key.fallback), levels, key.help);
  }
  out += file_table("instance", instance_schema());
  out += file_table("gateway", gateway_schema());
  return out;
}

}  // namespace seamglade::detail
