// seamglade - what instances add to a request that they hand on
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/relay_headers.h"

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

}  // namespace

std::optional<relay_call> take_relay_call(std::vector<http_header>& headers,
                                          std::uint32_t from) {
  relay_call call;
  call.told.from = from;
  for (const auto& header : headers) {
    if (is(header, kRelayCall)) call.name = header.value;
    if (is(header, kRelayRuns)) call.told.runs = to_count(header.value);
  }
  if (call.name.empty()) return std::nullopt;
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
           is(header, kRelayNoHelp);
  });
}

}  // namespace seamglade::detail
