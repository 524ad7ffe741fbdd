// seamglade - idempotency keys seen by the owner of a target
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "request/idempotency.h"

#include <algorithm>
#include <charconv>

namespace seamglade::detail {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionAt = 14;

bool is_uuid_shape(std::string_view text) {
  if (text.size() != kUuidLength || text[kVersionAt] != '7') return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool hex = std::string_view("0123456789abcdefABCDEF").find(text[i]) !=
                     std::string_view::npos;
    if (dash ? text[i] != '-' : !hex) return false;
  }
  return true;
}

}  // namespace

std::optional<unix_time> uuid7_time(std::string_view text) {
  if (!is_uuid_shape(text)) return std::nullopt;
  std::string digits(text.substr(0, 8));
  digits += text.substr(9, 4);
  std::uint64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), ms, 16);
  return unix_time(static_cast<std::int64_t>(ms));
}

void idempotency_table::complete_from(unix_time from) {
  complete_from_ = std::max(complete_from_, from);
}

std::optional<refusal_reason> idempotency_table::check(const std::string& key,
                                                       unix_time now,
                                                       unix_time skew) const {
  if (keys_.contains(key)) return refusal_reason::key_seen;
  const auto made = uuid7_time(key);
  const auto oldest = std::max(complete_from_, now - kKeyMemory) + skew;
  // A key from the future would look new to every later owner.
  if (!made || *made < oldest || *made > now + skew) {
    return refusal_reason::key_too_old;
  }
  return std::nullopt;
}

void idempotency_table::insert(const std::string& key, unix_time now) {
  forget_old(now);
  if (keys_.emplace(key, now).second) by_age_.emplace(now, key);
}

void idempotency_table::erase(const std::string& key) {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return;
  const auto [first, last] = by_age_.equal_range(it->second);
  for (auto at = first; at != last; ++at) {
    if (at->second == key) {
      by_age_.erase(at);
      break;
    }
  }
  keys_.erase(it);
}

void idempotency_table::forget_old(unix_time now) {
  // Twice the memory: a key from a fast clock is still known when its own
  // time is too old to run.
  while (!by_age_.empty() && by_age_.begin()->first < now - 2 * kKeyMemory) {
    keys_.erase(by_age_.begin()->second);
    by_age_.erase(by_age_.begin());
  }
}

}  // namespace seamglade::detail
