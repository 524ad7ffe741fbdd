// seamglade - paths of the calls between instances of the direct path
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/peer_paths.h"

#include <fmt/format.h>

#include <charconv>

namespace seamglade::detail {
namespace {

constexpr std::string_view kChangesPath = "/changes?after=";
constexpr std::string_view kOperatorsKnown = "&operators=";

/** Takes a number off the front of a text; none: there is none. */
std::optional<std::uint64_t> take_number(std::string_view& text) {
  std::uint64_t value = 0;
  const auto* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, value);
  if (ec != std::errc{}) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return value;
}

}  // namespace

std::string changes_path(gateway::copy_extent known) {
  return fmt::format("{}{}{}{}", kChangesPath, known.revision, kOperatorsKnown,
                     known.operators);
}

std::optional<gateway::copy_extent> read_changes_path(std::string_view path) {
  if (!path.starts_with(kChangesPath)) return std::nullopt;
  path.remove_prefix(kChangesPath.size());
  const auto revision = take_number(path);
  if (!revision || !path.starts_with(kOperatorsKnown)) return std::nullopt;
  path.remove_prefix(kOperatorsKnown.size());
  const auto operators = take_number(path);
  if (!operators || !path.empty()) return std::nullopt;
  return gateway::copy_extent{*revision, *operators};
}

}  // namespace seamglade::detail
