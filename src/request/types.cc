// seamglade - names of the shared value types
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/types.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace seamglade {

std::string adapter_ref::str() const {
  return fmt::format("{}/{}@{}", base, name, version);
}

result<adapter_ref> parse_adapter_ref(std::string_view text) {
  const auto bad = [&] {
    return failure{errc::bad_model_name, "model must be base/adapter@version",
                   0};
  };
  const auto slash = text.find('/');
  const auto at = text.rfind('@');
  if (slash == std::string_view::npos || at == std::string_view::npos ||
      at < slash) {
    return bad();
  }
  const auto base = text.substr(0, slash);
  const auto name = text.substr(slash + 1, at - slash - 1);
  const auto digits = text.substr(at + 1);
  if (base.empty() || name.empty() || digits.empty() || digits[0] == '0' ||
      name.find_first_of("/@[]= \t\r\n") != std::string_view::npos) {
    return bad();
  }
  std::uint32_t version = 0;
  const auto* end = digits.data() + digits.size();
  const auto [ptr, ec] = std::from_chars(digits.data(), end, version);
  if (ec != std::errc{} || ptr != end) return bad();
  return adapter_ref{std::string(base), std::string(name), version};
}

std::string_view to_string(errc code) {
  static constexpr std::array<std::string_view, 17> names{
      "bad_model_name",     "bad_ini",
      "unknown_key",        "bad_value",
      "wrong_level",        "missing_key",
      "outside_branch",     "older_document",
      "bad_frame",          "frame_too_large",
      "protocol_version",   "unreadable_file",
      "unfinished_file",    "cannot_listen",
      "cannot_listen_yet",  "bad_address",
      "service_unreachable"};
  return names.at(static_cast<std::size_t>(code));
}

std::string_view to_string(outcome_kind kind) {
  return kind == outcome_kind::not_run ? "not_run" : "unknown";
}

std::string_view to_string(refusal_reason reason) {
  static constexpr std::array<std::string_view, 22> names{
      "bad_request",    "unknown_service",   "unknown_adapter",
      "body_too_large", "headers_too_large", "queue_full",
      "deadline",       "service_limit",     "caller_limit",
      "no_target",      "not_owner",         "target_leaving",
      "target_ejected", "draining",          "not_ready",
      "load_failed",    "link_lost",         "target_lost",
      "key_seen",       "key_too_old",       "never_received",
      "cancelled"};
  return names.at(static_cast<std::size_t>(reason));
}

int http_status(const refusal& why) {
  switch (why.reason) {
    case refusal_reason::bad_request:
      return 400;
    case refusal_reason::unknown_service:
    case refusal_reason::unknown_adapter:
      return 404;
    case refusal_reason::body_too_large:
      return 413;
    case refusal_reason::headers_too_large:
      return 431;
    case refusal_reason::service_limit:
    case refusal_reason::caller_limit:
      return 429;
    case refusal_reason::key_seen:
    case refusal_reason::key_too_old:
      return 409;
    case refusal_reason::deadline:
      return 504;
    case refusal_reason::link_lost:
    case refusal_reason::target_lost:
      return 502;
    default:
      return 503;
  }
}

}  // namespace seamglade
