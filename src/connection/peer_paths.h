// seamglade - paths of the calls between instances of the direct path
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_PEER_PATHS_H_
#define SEAMGLADE_SRC_CONNECTION_PEER_PATHS_H_

#include <optional>
#include <string>
#include <string_view>

#include "seamglade/gateway_types.h"

namespace seamglade::detail {

/** Returns the path that asks a peer for what it knows beyond an extent. */
std::string changes_path(gateway::copy_extent known);
/** Reads what changes_path() wrote; none: it did not. */
std::optional<gateway::copy_extent> read_changes_path(std::string_view path);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_PEER_PATHS_H_
