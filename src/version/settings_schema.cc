// seamglade - the keys of the tree of settings and their checks
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <regex>

#include "seamglade/settings.h"

namespace seamglade {
namespace {

using enum value_kind;
using level = tree_level;

constexpr std::int64_t kSecond = 1000;
constexpr std::int64_t kHour = 3600 * kSecond;

// clang-format off
constexpr std::array kSchema{
    key_spec{"managed", boolean, 0, 0, "", "no", level::root, level::model,
             "whether seamglade loads and unloads adapters here"},
    key_spec{"kind", choice, 0, 0, "engine|plain", "engine",
             level::service, level::service,
             "whether the targets are model engines or plain services"},
    key_spec{"checks_orders", boolean, 0, 0, "", "no",
             level::root, level::service,
             "whether the targets refuse orders with an old fence"},
    key_spec{"slots", integer, 1, 512, "", "8", level::root, level::model,
             "adapters that an engine holds at once"},
    key_spec{"max_concurrency", integer, 1, 4096, "", "16",
             level::root, level::model,
             "requests that run on a target at once"},
    key_spec{"max_queue", integer, 0, 10000, "", "64",
             level::root, level::service,
             "requests that wait for a target at once"},
    key_spec{"service_concurrency", integer, 1, 1000000, "", "4096",
             level::root, level::service,
             "requests of a service in the fleet, shared by its instances"},
    key_spec{"caller_concurrency", integer, 1, 100000, "", "256",
             level::root, level::service,
             "requests of one caller at one instance at once"},
    key_spec{"max_body", integer, 1, 67108864, "", "1048576",
             level::root, level::service, "bytes of a request body"},
    key_spec{"request_limit", span, kSecond, kHour, "", "120s",
             level::root, level::service, "time a request may run"},
    key_spec{"urgent_deadline", span, 10, kHour, "", "10s",
             level::root, level::service,
             "time an urgent request may wait before it starts"},
    key_spec{"deferred_deadline", span, 10, 24 * kHour, "", "10min",
             level::root, level::service,
             "time a deferred request may wait before it starts"},
    key_spec{"weight_store", text, 0, 0, "", "default",
             level::root, level::model, "store that adapters are loaded from"},
    key_spec{"store_rate", integer, 1, 1000, "", "3",
             level::root, level::model, "loads a second that the store gives"},
    key_spec{"store_parallel", integer, 1, 1000, "", "2",
             level::root, level::model,
             "loads at once that the store gives at full speed"},
    key_spec{"load_estimate", span, 1, 600 * kSecond, "", "1s",
             level::root, level::model, "time a load takes as a rule"},
    key_spec{"load_timeout", span, 100, 600 * kSecond, "", "30s",
             level::root, level::model, "time after which a load has failed"},
    key_spec{"load_backoff", span, 10, 60 * kSecond, "", "500ms",
             level::root, level::model,
             "wait after a failed load; doubles with each"},
    key_spec{"load_backoff_max", span, 10, kHour, "", "30s",
             level::root, level::model, "longest wait after failed loads"},
    key_spec{"eject_failures", integer, 1, 1000, "", "5",
             level::root, level::service,
             "failures in a row after which a target gets no requests"},
    key_spec{"eject_time", span, 100, kHour, "", "5s",
             level::root, level::service,
             "time after which a failed target is probed"},
    key_spec{"stall_weight", integer, 0, 100, "", "10",
             level::root, level::service, "weight of load stalls"},
    key_spec{"batch_weight", integer, 0, 100, "", "1",
             level::root, level::service, "weight of batch fill"},
    key_spec{"peak_hours", hours, 0, 0, "", "", level::root, level::service,
             "hours (UTC) in which the peak weights hold"},
    key_spec{"peak_stall_weight", integer, 0, 100, "", "20",
             level::root, level::service, "weight of load stalls at peak"},
    key_spec{"peak_batch_weight", integer, 0, 100, "", "1",
             level::root, level::service, "weight of batch fill at peak"},
    key_spec{"replicas_max", integer, 1, 1000, "", "3",
             level::root, level::model,
             "engines that may hold one adapter at once"},
    key_spec{"lease", span, 500, 60 * kSecond, "", "2s",
             level::root, level::service,
             "time an owner may send requests after a target's answer"},
    key_spec{"clock_margin", span, 10, 10 * kSecond, "", "250ms",
             level::root, level::service,
             "allowance for clocks that run at unequal rates"},
    key_spec{"list_wait", span, 100, 600 * kSecond, "", "5s",
             level::root, level::service,
             "wait of a new owner whose target checks no orders"},
    key_spec{"retry_budget", integer, 0, 100, "", "20",
             level::root, level::service,
             "retries per hundred requests"},
    key_spec{"key_skew", span, 0, 60 * kSecond, "", "2s",
             level::root, level::service,
             "how far callers' clocks may be off"},
    key_spec{"log_level", choice, 0, 0, "debug|info|warning|error", "info",
             level::root, level::root, "least level that is logged"},
    key_spec{"pinned", boolean, 0, 0, "", "no",
             level::adapter, level::adapter,
             "whether the adapter is never unloaded"},
    key_spec{"versions", versions, 0, 0, "", "",
             level::adapter, level::adapter,
             "versions of the adapter that callers may name"},
};
// clang-format on

bool parse_integer(std::string_view text, std::int64_t& value) {
  const auto* end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, value);
  return ec == std::errc{} && ptr == end && !text.empty();
}

std::optional<duration> try_span(std::string_view text) {
  const auto unit_at = text.find_first_not_of("0123456789");
  std::int64_t count = 0;
  if (unit_at == std::string_view::npos || unit_at > 12 ||
      !parse_integer(text.substr(0, unit_at), count)) {
    return std::nullopt;
  }
  const auto unit = text.substr(unit_at);
  if (unit == "ms") return std::chrono::milliseconds(count);
  if (unit == "s") return std::chrono::seconds(count);
  if (unit == "min") return std::chrono::minutes(count);
  if (unit == "h") return std::chrono::hours(count);
  return std::nullopt;
}

bool is_choice(std::string_view words, std::string_view text) {
  return !text.empty() && text.find('|') == std::string_view::npos &&
         fmt::format("|{}|", words).find(fmt::format("|{}|", text)) !=
             std::string::npos;
}

bool matches(std::string_view text, const char* pattern) {
  return std::regex_match(text.begin(), text.end(), std::regex(pattern));
}

/** Returns whether a text is a whole number without leading zeros. */
bool is_number_up_to(std::string_view text, std::int64_t most) {
  std::int64_t number = 0;
  const bool is_padded = text.size() > 1 && text[0] == '0';
  return !is_padded && parse_integer(text, number) && number >= 0 &&
         number <= most;
}

bool is_address(std::string_view text) {
  constexpr std::int64_t kMostOctet = 255;
  constexpr std::int64_t kMostPort = 65535;
  for (const char behind : {'.', '.', '.', ':'}) {
    const auto end = text.find(behind);
    if (end == std::string_view::npos ||
        !is_number_up_to(text.substr(0, end), kMostOctet)) {
      return false;
    }
    text.remove_prefix(end + 1);
  }
  return is_number_up_to(text, kMostPort);
}

bool is_versions(std::string_view text) {
  const auto digits = [](char c) { return c >= '0' && c <= '9'; };
  std::size_t at = 0;
  while (at < text.size()) {
    const auto end = std::min(text.find(' ', at), text.size());
    const auto word = text.substr(at, end - at);
    if (word.empty() || word.size() > 9 || word[0] == '0' ||
        !std::all_of(word.begin(), word.end(), digits)) {
      return false;
    }
    at = end + 1;
  }
  return !text.empty() && text.back() != ' ';
}

bool is_accepted(const key_spec& key, std::string_view text) {
  std::int64_t number = 0;
  switch (key.kind) {
    case boolean:
      return text == "yes" || text == "no";
    case integer:
      return parse_integer(text, number) && number >= key.low &&
             number <= key.high;
    case span: {
      const auto time = try_span(text);
      return time && *time >= std::chrono::milliseconds(key.low) &&
             *time <= std::chrono::milliseconds(key.high);
    }
    case value_kind::text:
      return matches(text, "[A-Za-z0-9._-]{1,64}");
    case choice:
      return is_choice(key.words, text);
    case versions:
      return is_versions(text);
    case hours:
      return text.empty() ||
             matches(text,
                     "([01]\\d|2[0-3]):[0-5]\\d-([01]\\d|2[0-3]):[0-5]\\d");
    case address:
      return is_address(text);
  }
  return false;
}

}  // namespace

std::span<const key_spec> settings_schema() { return kSchema; }

std::string_view to_string(tree_level level) {
  static constexpr std::array<std::string_view, 5> names{
      "root", "site", "service", "model", "adapter"};
  return names.at(static_cast<std::size_t>(level));
}

std::string accepted_range(const key_spec& key) {
  switch (key.kind) {
    case boolean:
      return "yes or no";
    case integer:
      return fmt::format("{} to {}", key.low, key.high);
    case span:
      return fmt::format("{}ms to {}ms, in ms, s, min or h", key.low, key.high);
    case value_kind::text:
      if (!key.words.empty()) return std::string(key.words);
      return "1 to 64 of A-Z a-z 0-9 . _ -";
    case choice: {
      std::string words(key.words);
      std::replace(words.begin(), words.end(), '|', ' ');
      return "one of " + words;
    }
    case versions:
      return "whole numbers from 1, divided by single spaces";
    case hours:
      return "HH:MM-HH:MM, or empty";
    case address:
      return "IP number and port";
  }
  return {};
}

result<void> check_value(const key_spec& key, std::string_view text) {
  if (is_accepted(key, text)) return outcome::success();
  return failure{errc::bad_value,
                 fmt::format("{}: accepted: {}", key.name, accepted_range(key)),
                 0};
}

duration parse_span(std::string_view text) {
  return try_span(text).value_or(duration{});
}

}  // namespace seamglade
