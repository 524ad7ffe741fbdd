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

/** Returns the path, and the query where it is all that a request says. */
std::string_view named_part(std::string_view target, bool has_body) {
  return has_body ? target.substr(0, target.find('?')) : target;
}

std::uint64_t caller_hash(std::string_view workspace) {
  return workspace.empty() ? 0 : add_field(1, workspace);
}

/** Keeps hashes of parts apart from those of whole contents. */
constexpr std::uint64_t kPartSeed = 2;

}  // namespace

request_fingerprint fingerprint_of(const caller_message& message,
                                   std::string_view workspace) {
  const auto body =
      message.body ? std::string_view(*message.body) : std::string_view();
  std::uint64_t content = 0;
  content = add_field(content, message.method);
  content = add_field(content, message.host);
  content = add_field(content, named_part(message.target, !body.empty()));
  content = add_field(content, body);
  return {caller_hash(workspace), content, 0};
}

request_fingerprint fingerprint_of_part(std::string_view part,
                                        std::uint8_t place,
                                        std::string_view workspace) {
  return {caller_hash(workspace), add_field(kPartSeed, part), place};
}

std::string to_hex(std::uint64_t value) {
  return fmt::format("{:016x}", value);
}

}  // namespace seamglade::gateway
