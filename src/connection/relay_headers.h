// seamglade - what instances add to a request that they hand on
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_RELAY_HEADERS_H_
#define SEAMGLADE_SRC_CONNECTION_RELAY_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "seamglade/gateway_types.h"

namespace seamglade::detail {

/** Names the call; its answer carries it back. */
inline constexpr std::string_view kRelayCall = "Seamglade-Relay-Call";
/** Targets on which the request may have run. */
inline constexpr std::string_view kRelayRuns = "Seamglade-Relay-Runs";
/** In an answer: the instance can't help with the request; it did not run. */
inline constexpr std::string_view kRelayNoHelp = "Seamglade-Relay-No-Help";

/**
 * Where a stream began, in a request that goes on with it and in an answer:
 * SERVICE/SOFTWARE, the hashes in hex.
 */
inline constexpr std::string_view kRelayOrigin = "Seamglade-Relay-Origin";

/** How the call was named that handed a request on, and what it told. */
struct relay_call {
  std::string name;
  gateway::relayed_request told;
};

/**
 * Takes the headers above out of a request's; none: it is no such call. `from`:
 * the IPv4 number of its connection.
 */
std::optional<relay_call> take_relay_call(std::vector<http_header>& headers,
                                          std::uint32_t from);
/** Returns the header that tells an origin. */
http_header origin_header(const gateway::stream_origin& origin);
/** Returns the origin that headers tell; none: none is told, or unreadable. */
std::optional<gateway::stream_origin> read_origin(
    const std::vector<http_header>& headers);
bool has_header(const std::vector<http_header>& headers, std::string_view name);
/** Removes all headers above, which callers and targets may have sent. */
void drop_relay_headers(std::vector<http_header>& headers);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_RELAY_HEADERS_H_
