// seamglade - the platform's stand-in: a strict reader of a call's query
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_STORE_QUERY_H_
#define SEAMGLADE_STANDIN_STORE_QUERY_H_

#include <cctype>
#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace seamglade::standin {

/** A call's path and the parameters of its query, decoded. */
struct store_query {
  std::string path;
  std::map<std::string, std::string> parameters;

  std::string text(const std::string& name) const {
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
  }

  std::uint64_t number(const std::string& name) const {
    const auto digits = text(name);
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
  }
};

/** Returns a component decoded, `+` as a blank; none: a broken escape. */
inline std::optional<std::string> decode_component(std::string_view text) {
  constexpr std::size_t kEscape = 3;
  constexpr int kHex = 16;
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    const auto digits = text.substr(i, kEscape);
    unsigned value = 0;
    const auto* last = digits.data() + digits.size();
    const auto [end, ec] =
        std::from_chars(digits.data() + 1, last, value, kHex);
    if (digits.size() < kEscape || ec != std::errc{} || end != last) {
      return std::nullopt;
    }
    out += static_cast<char>(value);
    i += kEscape - 1;
  }
  return out;
}

/** Tells whether RFC 3986 allows a byte in a path or a query as it stands. */
inline bool may_stand_in_target(char c) {
  constexpr std::string_view kMarks = "-._~!$&'()*+,;=:@/?%";
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         kMarks.find(c) != std::string_view::npos;
}

/** Reads the target of a request; none: RFC 3986 does not allow it. */
inline std::optional<store_query> read_query(std::string_view target) {
  for (const char c : target) {
    if (!may_stand_in_target(c)) return std::nullopt;
  }
  store_query out;
  const auto mark = target.find('?');
  const auto path = decode_component(target.substr(0, mark));
  if (!path) return std::nullopt;
  out.path = *path;
  if (mark == std::string_view::npos) return out;
  auto rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const auto part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(part.size() + 1, rest.size()));
    const auto sign = part.find('=');
    const auto name = decode_component(part.substr(0, sign));
    const auto value = decode_component(
        sign == std::string_view::npos ? "" : part.substr(sign + 1));
    if (!name || !value) return std::nullopt;
    out.parameters[*name] = *value;
  }
  return out;
}

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_STORE_QUERY_H_
