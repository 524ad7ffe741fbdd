// seamglade - the target of a request, made of typed parts
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_REQUEST_TARGET_H_
#define SEAMGLADE_REQUEST_TARGET_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace seamglade {

/**
 * Writes the path and the query of a request.
 *
 * Text may hold any bytes: what is not unreserved by RFC 3986 is
 * percent-encoded, so that a reader gets back the same bytes and nothing else.
 */
class request_target {
 public:
  /** `path`: the program's own text, taken as it stands. */
  explicit request_target(std::string path) : text_(std::move(path)) {}

  /** Adds a slash and one segment to the path; before any parameter. */
  request_target& segment(std::string_view text);
  /** Adds a slash and the segments of a text that slashes part. */
  request_target& segments(std::string_view text);
  /** Adds a parameter to the query. */
  request_target& query(std::string_view name, std::string_view value);
  request_target& query(std::string_view name, std::uint64_t value);

  const std::string& str() const { return text_; }

 private:
  void begin_parameter(std::string_view name);

  std::string text_;
  bool has_query_ = false;
};

}  // namespace seamglade

#endif  // SEAMGLADE_REQUEST_TARGET_H_
