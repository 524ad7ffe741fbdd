// seamglade - what targets and the platform speak: orders, reports, documents
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/target_protocol.h"

#include <fmt/format.h>
#include <strings.h>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace seamglade::detail {
namespace {

using nlohmann::json;

std::optional<std::uint64_t> to_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc{} || ptr != end || text.empty()) return std::nullopt;
  return value;
}

std::shared_ptr<const std::string> body_of(const json& value) {
  return std::make_shared<const std::string>(value.dump());
}

/** Returns a member's value, or a fallback where it is missing or odd. */
template <typename T>
T member(const json& object, const char* name, T fallback) {
  const auto it = object.find(name);
  if (it == object.end()) return fallback;
  if constexpr (std::is_same_v<T, std::string>) {
    return it->is_string() ? it->get<std::string>() : fallback;
  } else {
    return it->is_number_unsigned() ? it->get<T>() : fallback;
  }
}

}  // namespace

std::string to_header(const fence& guard) {
  return fmt::format("{}.{}.{}", guard.config, guard.count, guard.holder);
}

std::optional<fence> fence_from_header(std::string_view text) {
  const auto first = text.find('.');
  if (first == std::string_view::npos) return std::nullopt;
  const auto second = text.find('.', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  const auto config = to_number(text.substr(0, first));
  const auto count = to_number(text.substr(first + 1, second - first - 1));
  if (!config || !count) return std::nullopt;
  return fence{*config, *count, std::string(text.substr(second + 1))};
}

http_call order_call(const std::string& address, const target_order& order,
                     duration timeout) {
  http_call call;
  call.address = address;
  call.timeout = timeout;
  call.headers = {{"Content-Type", "application/json"}};
  if (order.guard) {
    call.headers.push_back(
        {std::string(kFenceHeader), to_header(*order.guard)});
  }
  const auto name = order.adapter ? order.adapter->str() : std::string();
  switch (order.kind) {
    case order_kind::report:
      call.path = "/v1/report";
      break;
    case order_kind::claim:
      call.method = "POST";
      call.path = "/v1/claim";
      call.body = body_of(json::object());
      break;
    case order_kind::load:
      call.method = "POST";
      call.path = "/v1/load_lora_adapter";
      call.body = body_of({{"lora_name", name}, {"lora_path", name}});
      break;
    case order_kind::unload:
      call.method = "POST";
      call.path = "/v1/unload_lora_adapter";
      call.body = body_of({{"lora_name", name}, {"if_idle", true}});
      break;
  }
  return call;
}

order_status order_status_of(int http_status) {
  switch (http_status) {
    case 200:
      return order_status::done;
    case 412:
      return order_status::stale;
    case 409:
      return order_status::busy;
    case 507:
      return order_status::full;
    default:
      return order_status::failed;
  }
}

std::optional<target_report> parse_report(std::string_view text) {
  const auto value = json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("incarnation")) {
    return std::nullopt;
  }
  target_report report;
  report.incarnation = member<std::uint64_t>(value, "incarnation", 0);
  const auto guard = fence_from_header(member<std::string>(value, "fence", ""));
  if (guard) report.highest = *guard;
  report.holder_age = std::chrono::milliseconds(
      member<std::uint64_t>(value, "holder_age_ms", 0));
  const auto loaded = value.find("loaded");
  if (loaded == value.end() || !loaded->is_array()) return report;
  for (const auto& entry : *loaded) {
    if (!entry.is_object()) continue;
    report.loaded.push_back({member<std::string>(entry, "name", ""),
                             member<std::uint32_t>(entry, "running", 0)});
  }
  return report;
}

bool says_not_loaded(int http_status, std::string_view text) {
  if (http_status != 404) return false;
  const auto value = json::parse(text, nullptr, false);
  if (!value.is_object()) return false;
  const auto error = value.find("error");
  return error != value.end() && error->is_object() &&
         member<std::string>(*error, "type", "") == kNotLoadedType;
}

http_call documents_call(const std::string& address, const std::string& prefix,
                         const action::read_service& read) {
  constexpr duration kAnswerAllowance = 5s;
  http_call call;
  call.address = address;
  call.path = fmt::format("/v1/kv/{}?recurse=true", prefix);
  if (read.wait > duration::zero()) {
    call.path += fmt::format(
        "&index={}&wait={}s", read.after,
        std::chrono::duration_cast<std::chrono::seconds>(read.wait).count());
  }
  // The service may add up to a sixteenth to a wait.
  call.timeout = read.wait + read.wait / 16 + kAnswerAllowance;
  return call;
}

std::optional<event::published> parse_documents(
    std::string_view text, const std::vector<http_header>& headers,
    const std::string& prefix) {
  const auto value = json::parse(text, nullptr, false);
  if (!value.is_array()) return std::nullopt;
  event::published out;
  for (const auto& header : headers) {
    if (strcasecmp(header.name.c_str(), "X-Consul-Index") == 0) {
      out.index = to_number(header.value).value_or(0);
    }
  }
  for (const auto& entry : value) {
    if (!entry.is_object()) continue;
    const auto key = member<std::string>(entry, "Key", "");
    const auto decoded = base64_decode(member<std::string>(entry, "Value", ""));
    if (!key.starts_with(prefix) || !decoded) continue;
    out.documents.push_back({key.substr(prefix.size()), *decoded,
                             member<std::uint64_t>(entry, "ModifyIndex", 0)});
  }
  return out;
}

std::string base64_encode(std::string_view bytes) {
  namespace it = boost::archive::iterators;
  using encoder = it::base64_from_binary<
      it::transform_width<std::string_view::const_iterator, 6, 8>>;
  std::string text(encoder(bytes.begin()), encoder(bytes.end()));
  text.append((3 - bytes.size() % 3) % 3, '=');
  return text;
}

std::optional<std::string> base64_decode(std::string_view text) {
  namespace it = boost::archive::iterators;
  using decoder =
      it::transform_width<it::binary_from_base64<std::string::const_iterator>,
                          8, 6>;
  std::string digits(text);
  const auto padding =
      digits.size() - std::min(digits.size(), digits.find_last_not_of('=') + 1);
  if (digits.size() % 4 != 0 || padding > 2) return std::nullopt;
  const auto alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  digits.resize(digits.size() - padding);
  if (digits.find_first_not_of(alphabet) != std::string::npos) {
    return std::nullopt;
  }
  digits.append(padding, 'A');
  std::string bytes(decoder(digits.cbegin()), decoder(digits.cend()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace seamglade::detail
