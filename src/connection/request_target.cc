// seamglade - the target of a request, made of typed parts
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/request_target.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>
#include <new>

namespace seamglade {
namespace {

void append_encoded(std::string& to, std::string_view text) {
  if (text.empty()) return;
  constexpr int kBlankIsEscaped = 0;
  // With a size, a NUL byte does not end the text.
  const std::unique_ptr<char, decltype(&std::free)> encoded(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()),
                       kBlankIsEscaped),
      &std::free);
  if (!encoded) throw std::bad_alloc();
  to += encoded.get();
}

}  // namespace

request_target& request_target::segment(std::string_view text) {
  text_ += '/';
  append_encoded(text_, text);
  return *this;
}

request_target& request_target::segments(std::string_view text) {
  while (true) {
    const auto slash = text.find('/');
    segment(text.substr(0, slash));
    if (slash == std::string_view::npos) return *this;
    text.remove_prefix(slash + 1);
  }
}

request_target& request_target::query(std::string_view name,
                                      std::string_view value) {
  begin_parameter(name);
  append_encoded(text_, value);
  return *this;
}

request_target& request_target::query(std::string_view name,
                                      std::uint64_t value) {
  begin_parameter(name);
  text_ += std::to_string(value);
  return *this;
}

void request_target::begin_parameter(std::string_view name) {
  text_ += std::exchange(has_query_, true) ? '&' : '?';
  append_encoded(text_, name);
  text_ += '=';
}

}  // namespace seamglade
