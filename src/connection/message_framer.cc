// seamglade - where an HTTP/1.1 message is cut for its parser
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/message_framer.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cctype>

namespace seamglade::detail {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kBlankLine = "\r\n\r\n";
constexpr std::string_view kProtocol = "HTTP/1.";
/** A chunk's line, or the last one with all trailers, may be this long. */
constexpr std::size_t kLeastLineBytes = 4096;

bool is_blank(char c) { return c == ' ' || c == '\t'; }

/** Whether the size that a chunk's line begins with is zero. */
bool is_last_chunk(std::string_view line) {
  if (!line.starts_with('0')) return false;
  const auto behind = line.find_first_not_of('0');
  return behind == std::string_view::npos ||
         std::isxdigit(static_cast<unsigned char>(line[behind])) == 0;
}

}  // namespace

boost::beast::error_code message_framer::fault_at_start(
    std::string_view unread) const {
  if (!is_request_) {
    const auto seen = std::min(unread.size(), kProtocol.size());
    if (unread.substr(0, seen) == kProtocol.substr(0, seen)) return {};
    return http::error::bad_version;
  }
  const bool is_method =
      std::isgraph(static_cast<unsigned char>(unread.front())) != 0;
  return is_method ? boost::beast::error_code()
                   : boost::beast::error_code(http::error::bad_method);
}

boost::beast::error_code message_framer::line_fault(bool is_first_line) const {
  if (!is_first_line) return http::error::bad_field;
  return is_request_ ? http::error::bad_target : http::error::bad_reason;
}

message_piece message_framer::next_head(std::string_view unread) {
  if (unread.empty()) return {};
  if (const auto ec = fault_at_start(unread)) return {0, ec};
  const auto head = unread.substr(0, header_bytes_);
  for (;;) {
    const auto at = head.find('\n', scanned_);
    if (at == std::string_view::npos) break;
    if (at == 0 || head[at - 1] != '\r') return {0, line_fault(in_first_line_)};
    const auto next = head.substr(at + 1, kLineEnd.size());
    if (next == kLineEnd) return {at + 1 + kLineEnd.size(), {}};
    scanned_ = at;
    if (next.empty() || next == "\r") break;
    if (is_blank(next.front())) {
      return {0, http::error::bad_obs_fold};
    }
    scanned_ = at + 1;
    in_first_line_ = false;
  }
  if (unread.size() >= header_bytes_) return {0, http::error::header_limit};
  return {};
}

message_piece message_framer::next_chunk_line(std::string_view unread) const {
  const auto start = is_behind_chunk_ ? kLineEnd.size() : 0;
  if (unread.size() < start) return {};
  if (start > 0 && !unread.starts_with(kLineEnd)) {
    return {0, http::error::bad_chunk};
  }
  const auto line = unread.find(kLineEnd, start);
  if (line == std::string_view::npos) return whole_if(unread, line);
  if (!is_last_chunk(unread.substr(start, line - start))) {
    return whole_if(unread, line + kLineEnd.size());
  }
  const auto last = unread.find(kBlankLine, line);
  return whole_if(
      unread, last == std::string_view::npos ? last : last + kBlankLine.size());
}

message_piece message_framer::whole_if(std::string_view unread,
                                       std::size_t end) const {
  const auto most = std::max<std::size_t>(header_bytes_, kLeastLineBytes);
  const bool is_whole = end != std::string_view::npos;
  if (is_whole && end <= most) return {end, {}};
  if (is_whole || unread.size() >= most) {
    return {0, http::error::buffer_overflow};
  }
  return {};
}

void message_framer::begin_chunk(std::uint64_t size) {
  chunk_left_ = size;
  is_behind_chunk_ = true;
}

}  // namespace seamglade::detail
