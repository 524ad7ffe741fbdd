// seamglade - callers' requests: from HTTP to a request_spec, and refusals
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/caller_protocol.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "request/idempotency.h"

namespace seamglade::detail {
namespace {

constexpr std::string_view kServicePrefix = "/services/";
/** Bytes of names and values of all headers of a request. */
constexpr std::size_t kMaxHeaderBytes = 64 << 10;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* find_header(const raw_request& raw, std::string_view name) {
  for (const auto& header : raw.headers) {
    if (same_name(header.name, name)) return &header.value;
  }
  return nullptr;
}

parsed_request bad(std::string detail,
                   refusal_reason reason = refusal_reason::bad_request) {
  return {std::nullopt, reason, std::move(detail)};
}

/** Takes the headers that steer seamglade; returns what is wrong, if any. */
std::string take_steering(const raw_request& raw, request_spec& spec) {
  if (const auto* text = find_header(raw, "Seamglade-Repeatable")) {
    if (*text != "yes" && *text != "no") {
      return "Seamglade-Repeatable: accepted: yes or no";
    }
    spec.repeatable = *text == "yes";
  }
  if (const auto* text = find_header(raw, "Seamglade-Priority")) {
    if (*text != "urgent" && *text != "deferred") {
      return "Seamglade-Priority: accepted: urgent or deferred";
    }
    spec.priority = *text == "urgent" ? urgency::urgent : urgency::deferred;
  }
  if (const auto* text = find_header(raw, "Seamglade-Deadline-Ms")) {
    std::int64_t ms = 0;
    const auto* end = text->data() + text->size();
    const auto [ptr, ec] = std::from_chars(text->data(), end, ms);
    if (ec != std::errc{} || ptr != end || ms < 1 || ms > kMaxDeadlineMs) {
      return "Seamglade-Deadline-Ms: accepted: 1 to 86400000";
    }
    spec.deadline = std::chrono::milliseconds(ms);
  }
  if (const auto* text = find_header(raw, "Idempotency-Key")) {
    if (!uuid7_time(*text)) return "Idempotency-Key: accepted: a UUIDv7";
    spec.idempotency_key = *text;
  }
  const auto* caller = find_header(raw, "Seamglade-Caller");
  spec.caller = caller != nullptr ? *caller : raw.remote;
  return {};
}

parsed_request parse_model_request(const raw_request& raw, request_spec spec,
                                   const settings_tree& tree) {
  if (raw.method != "POST") return bad("method: accepted: POST");
  const auto json = nlohmann::json::parse(raw.body ? *raw.body : std::string(),
                                          nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return bad("body is not a JSON object");
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string()) {
    return bad("model is missing");
  }
  auto adapter = parse_adapter_ref(model->get<std::string>());
  if (!adapter) return bad(adapter.error().detail);
  spec.adapter = std::move(adapter.value());
  if (const auto* service = find_header(raw, "Seamglade-Service")) {
    spec.service = *service;
    return {std::move(spec), {}, {}};
  }
  const auto services = tree.services_of(spec.adapter->base);
  if (services.empty()) {
    return bad("no service has this base model",
               refusal_reason::unknown_service);
  }
  if (services.size() > 1) {
    return bad(
        "several services have this base model: name one in "
        "Seamglade-Service",
        refusal_reason::unknown_service);
  }
  spec.service = services.front();
  return {std::move(spec), {}, {}};
}

parsed_request parse_service_request(const raw_request& raw,
                                     request_spec spec) {
  // /services/SITE/SERVICE/REST
  const std::string_view rest =
      std::string_view(raw.target).substr(kServicePrefix.size() - 1);
  const auto site_end = rest.find('/', 1);
  if (site_end == std::string_view::npos) {
    return bad("path: accepted: /services/SITE/SERVICE/...",
               refusal_reason::unknown_service);
  }
  const auto end =
      std::min(rest.find_first_of("/?", site_end + 1), rest.size());
  spec.service = rest.substr(0, end);
  spec.path = rest.substr(end);
  if (spec.path.empty() || spec.path.front() != '/') {
    spec.path.insert(0, "/");
  }
  // What may change something must say that it can be repeated.
  static constexpr std::array<std::string_view, 3> safe{"GET", "HEAD",
                                                        "OPTIONS"};
  const bool is_safe =
      std::find(safe.begin(), safe.end(), raw.method) != safe.end();
  if (!is_safe && find_header(raw, "Seamglade-Repeatable") == nullptr) {
    spec.repeatable = false;
  }
  return {std::move(spec), {}, {}};
}

}  // namespace

parsed_request parse_request(const raw_request& raw,
                             const settings_tree& tree) {
  std::size_t header_bytes = 0;
  for (const auto& header : raw.headers) {
    header_bytes += header.name.size() + header.value.size();
  }
  if (header_bytes > kMaxHeaderBytes) {
    return bad("headers above 65536 bytes", refusal_reason::headers_too_large);
  }
  request_spec spec;
  if (auto wrong = take_steering(raw, spec); !wrong.empty()) {
    return bad(std::move(wrong));
  }
  spec.method = raw.method;
  spec.path = raw.target;
  spec.body = raw.body;
  for (const auto& header : raw.headers) {
    spec.headers.push_back(header);
  }
  spec.headers.push_back({"X-Forwarded-For", raw.remote});
  const auto path = raw.target.substr(0, raw.target.find('?'));
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    return parse_model_request(raw, std::move(spec), tree);
  }
  if (path.starts_with(kServicePrefix)) {
    return parse_service_request(raw, std::move(spec));
  }
  return bad("no such path", refusal_reason::unknown_service);
}

std::int64_t retry_after_seconds(const refusal& why) {
  if (why.retry_after <= duration::zero()) return 0;
  return std::chrono::ceil<std::chrono::seconds>(why.retry_after).count();
}

std::string refusal_body(const refusal& why, std::string_view detail) {
  nlohmann::json error{{"type", to_string(why.reason)},
                       {"outcome", to_string(why.outcome)}};
  error["not_run"] = why.outcome == outcome_kind::not_run;
  if (!detail.empty()) error["message"] = detail;
  if (const auto wait = retry_after_seconds(why); wait > 0) {
    error["retry_after_s"] = wait;
  }
  return nlohmann::json{{"error", std::move(error)}}.dump() + "\n";
}

}  // namespace seamglade::detail
