// seamglade - what makes two requests the same request of one caller
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "request/request_fingerprint.h"

#include <fmt/format.h>

#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

/** Takes in one more field; where it ends counts, so that none runs on. */
std::uint64_t add_field(std::uint64_t sum, std::string_view field) {
  return mix(sum ^ stable_hash(field)) + field.size();
}

std::uint64_t hash_caller(const caller_message& message,
                          std::string_view workspace) {
  if (!workspace.empty()) return add_field(1, workspace);
  return mix(message.caller_address);
}

}  // namespace

request_fingerprint fingerprint_of(const caller_message& message,
                                   std::string_view workspace) {
  std::uint64_t content = 0;
  content = add_field(content, message.method);
  content = add_field(content, message.host);
  content = add_field(content, message.target);
  content = add_field(content, message.body ? std::string_view(*message.body)
                                            : std::string_view());
  return {hash_caller(message, workspace), content};
}

std::string to_hex(std::uint64_t value) {
  return fmt::format("{:016x}", value);
}

}  // namespace seamglade::gateway
