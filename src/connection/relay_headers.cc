// seamglade - what instances add to a request that they hand on
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/relay_headers.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace seamglade::detail {
namespace {

bool is(const http_header& header, std::string_view name) {
  return boost::algorithm::iequals(header.name, name);
}

std::uint32_t to_count(std::string_view text) {
  std::uint32_t count = 0;
  std::from_chars(text.data(), text.data() + text.size(), count);
  return count;
}

/** Reads a hash in hex, and nothing behind it. */
std::optional<std::uint64_t> to_hash(std::string_view text) {
  constexpr int kHex = 16;
  std::uint64_t value = 0;
  const auto* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, value, kHex);
  if (ec != std::errc{} || end != last) return std::nullopt;
  return value;
}

}  // namespace

http_header origin_header(const gateway::stream_origin& origin) {
  return {std::string(kRelayOrigin),
          fmt::format("{:x}/{:x}", origin.service, origin.software)};
}

std::optional<gateway::stream_origin> read_origin(
    const std::vector<http_header>& headers) {
  for (const auto& header : headers) {
    if (!is(header, kRelayOrigin)) continue;
    const std::string_view text = header.value;
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) return std::nullopt;
    const auto service = to_hash(text.substr(0, slash));
    const auto software = to_hash(text.substr(slash + 1));
    if (!service || !software) return std::nullopt;
    return gateway::stream_origin{*service, *software};
  }
  return std::nullopt;
}

std::optional<relay_call> take_relay_call(std::vector<http_header>& headers,
                                          std::uint32_t from) {
  relay_call call;
  call.told.from = from;
  for (const auto& header : headers) {
    if (is(header, kRelayCall)) call.name = header.value;
    if (is(header, kRelayRuns)) call.told.runs = to_count(header.value);
  }
  if (call.name.empty()) return std::nullopt;
  call.told.origin = read_origin(headers);
  drop_relay_headers(headers);
  return call;
}

bool has_header(const std::vector<http_header>& headers,
                std::string_view name) {
  return std::any_of(
      headers.begin(), headers.end(),
      [name](const http_header& header) { return is(header, name); });
}

void drop_relay_headers(std::vector<http_header>& headers) {
  std::erase_if(headers, [](const http_header& header) {
    return is(header, kRelayCall) || is(header, kRelayRuns) ||
           is(header, kRelayNoHelp) || is(header, kRelayOrigin);
  });
}

}  // namespace seamglade::detail
