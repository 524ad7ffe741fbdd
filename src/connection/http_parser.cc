// seamglade - HTTP/1.1 messages read from libevent buffers with Boost.Beast
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/http_parser.h"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <limits>

namespace seamglade::detail {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kAnswerHeaderBytes = 65536;
/** A line between chunks, or all trailers, may be this long at least. */
constexpr std::uint32_t kLeastUnparsed = 4096;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
/** Of bytes that could not be read, so many are told. */
constexpr std::size_t kExcerptBytes = 64;

/**
 * Feeds a parser until the buffer is empty, or it is done or fails. Bytes that
 * it cannot use yet, of a head, a chunk's size or trailers, may be so many.
 */
template <bool IsRequest>
boost::beast::error_code feed(http::basic_parser<IsRequest>& parser,
                              evbuffer* from, std::uint32_t most_unparsed) {
  boost::beast::error_code ec;
  while (!parser.is_done()) {
    const auto size = evbuffer_get_length(from);
    if (size == 0) break;
    const auto* bytes = evbuffer_pullup(from, -1);
    const auto used = parser.put(boost::asio::const_buffer(bytes, size), ec);
    evbuffer_drain(from, used);
    if (ec == http::error::need_more) {
      ec = {};
      if (used == 0) break;
      continue;
    }
    if (ec) break;
  }
  const bool is_overfull =
      !parser.is_done() &&
      evbuffer_get_length(from) > std::max(most_unparsed, kLeastUnparsed);
  if (!ec && is_overfull) ec = http::error::buffer_overflow;
  return ec;
}

std::string_view unread_bytes(evbuffer* from) {
  const auto size = evbuffer_get_length(from);
  if (size == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(from, -1)), size};
}

/** Whether a line of a head that is read in part or whole begins with a blank.
 */
bool has_folded_line(std::string_view head) {
  constexpr std::string_view kLineEnd = "\r\n";
  auto at = head.find(kLineEnd);
  while (at != std::string_view::npos) {
    const auto line = head.substr(at + kLineEnd.size());
    if (line.empty() || line.starts_with(kLineEnd)) return false;
    if (line.front() == ' ' || line.front() == '\t') return true;
    at = head.find(kLineEnd, at + kLineEnd.size());
  }
  return false;
}

gateway::answer_fault fault_of(const boost::beast::error_code& ec) {
  using gateway::answer_fault;
  if (ec == http::error::bad_transfer_encoding) return answer_fault::coding;
  if (ec == http::error::bad_content_length) return answer_fault::length;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return answer_fault::too_long;
  }
  if (ec == http::error::bad_chunk || ec == http::error::bad_line_ending ||
      ec == http::error::bad_chunk_extension) {
    return answer_fault::chunk;
  }
  if (ec == http::error::bad_version || ec == http::error::bad_status ||
      ec == http::error::bad_reason) {
    return answer_fault::status_line;
  }
  return answer_fault::field;
}

bool concerns_connection(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::proxy_connection:
    case http::field::keep_alive:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

void add_names(std::vector<std::string>& names, std::string_view list) {
  std::vector<std::string> parts;
  boost::algorithm::split(parts, list, boost::algorithm::is_any_of(","));
  for (auto& part : parts) {
    boost::algorithm::trim(part);
    names.push_back(std::move(part));
  }
}

/**
 * Drops the headers that the message itself binds to its connection. A header
 * that the product's protocol extends (X-...) goes on: a sender may not make
 * the gateway lose it.
 */
void drop_named(std::vector<http_header>& headers,
                const std::vector<std::string>& names) {
  std::erase_if(headers, [&](const http_header& header) {
    if (boost::algorithm::istarts_with(header.name, "x-")) return false;
    return std::any_of(names.begin(), names.end(), [&](const auto& name) {
      return boost::algorithm::iequals(name, header.name);
    });
  });
}

std::string text(boost::beast::string_view from) {
  return {from.data(), from.size()};
}

}  // namespace

request_reader::request_reader(std::uint32_t header_bytes,
                               std::uint64_t body_bytes)
    : header_bytes_(header_bytes) {
  eager(true);
  header_limit(header_bytes);
  body_limit(body_bytes);
}

parse_progress request_reader::read(evbuffer* from) {
  if (fault_ != parse_fault::none) return parse_progress::failed;
  if (!is_header_done() && has_folded_line(unread_bytes(from))) {
    fault_ = parse_fault::malformed;
    return parse_progress::failed;
  }
  const auto ec = feed<true>(*this, from, header_bytes_);
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    fault_ = parse_fault::headers_too_large;
  } else if (ec == http::error::body_limit) {
    fault_ = parse_fault::body_too_large;
  } else if (ec) {
    fault_ = parse_fault::malformed;
  }
  if (fault_ != parse_fault::none) return parse_progress::failed;
  return is_done() ? parse_progress::complete : parse_progress::need_more;
}

gateway::caller_message request_reader::take() {
  drop_named(message_.headers, connection_names_);
  message_.body = std::make_shared<const std::string>(std::move(body_));
  return std::move(message_);
}

void request_reader::on_request_impl(http::verb, string_view method,
                                     string_view target, int version,
                                     error_code& ec) {
  message_.method = text(method);
  message_.target = text(target);
  version_ = version;
  if (version < 10 || target.empty() || target.front() != '/') {
    ec = http::error::bad_target;
  }
}

void request_reader::on_field_impl(http::field field, string_view name,
                                   string_view value, error_code& ec) {
  if (field == http::field::host) {
    message_.host = text(value);
    if (++host_count_ > 1) ec = http::error::bad_field;
  }
  if (field == http::field::connection) {
    add_names(connection_names_, {value.data(), value.size()});
  }
  if (field == http::field::expect) {
    expects_continue_ = boost::beast::iequals(value, "100-continue");
  }
  const bool is_coded = field == http::field::transfer_encoding;
  if (is_coded && (version_ < 11 || !boost::beast::iequals(value, "chunked"))) {
    ec = http::error::bad_transfer_encoding;
  }
  // The library takes a list of equal lengths for one.
  if (field == http::field::content_length &&
      !boost::algorithm::all(value, boost::algorithm::is_digit())) {
    ec = http::error::bad_content_length;
  }
  if (!concerns_connection(field)) {
    message_.headers.push_back({text(name), text(value)});
  }
}

void request_reader::on_header_impl(error_code& ec) {
  if (host_count_ == 0 && version_ >= 11) ec = http::error::bad_field;
}

void request_reader::on_body_init_impl(const boost::optional<std::uint64_t>&,
                                       error_code&) {}

std::size_t request_reader::on_body_impl(string_view body, error_code&) {
  body_.append(body.data(), body.size());
  return body.size();
}

void request_reader::on_chunk_header_impl(std::uint64_t, string_view,
                                          error_code&) {}

std::size_t request_reader::on_chunk_body_impl(std::uint64_t, string_view body,
                                               error_code& ec) {
  return on_body_impl(body, ec);
}

void request_reader::on_finish_impl(error_code&) {}

answer_reader::answer_reader(bool bodyless) {
  eager(true);
  skip(bodyless);
  header_limit(kAnswerHeaderBytes);
  // Boost 1.74 takes "no limit" for less than any length.
  body_limit(std::numeric_limits<std::uint64_t>::max());
}

parse_progress answer_reader::read(evbuffer* from) {
  if (!is_header_done() && has_folded_line(unread_bytes(from))) {
    return fail(gateway::answer_fault::folded_line, unread_bytes(from));
  }
  if (const auto ec = feed<false>(*this, from, kAnswerHeaderBytes)) {
    return fail(fault_of(ec), unread_bytes(from));
  }
  return is_done() ? parse_progress::complete : parse_progress::need_more;
}

parse_progress answer_reader::fail(gateway::answer_fault fault,
                                   std::string_view unread) {
  defect_ = {fault, std::string(unread.substr(0, kExcerptBytes))};
  return parse_progress::failed;
}

bool answer_reader::end_of_stream() {
  if (!got_some()) return false;
  error_code ec;
  put_eof(ec);
  return !ec && is_done();
}

void answer_reader::on_response_impl(int code, string_view reason, int version,
                                     error_code& ec) {
  if (code < kFirstStatus || code > kLastStatus) ec = http::error::bad_status;
  version_ = version;
  head_.status = code;
  head_.reason = text(reason);
}

void answer_reader::on_field_impl(http::field field, string_view name,
                                  string_view value, error_code& ec) {
  const bool is_coded = field == http::field::transfer_encoding;
  if (is_coded && (version_ < 11 || !boost::beast::iequals(value, "chunked"))) {
    ec = http::error::bad_transfer_encoding;
  }
  if (field == http::field::connection) {
    add_names(connection_names_, {value.data(), value.size()});
  }
  if (field == http::field::keep_alive) {
    constexpr std::string_view kTimeout = "timeout=";
    const std::string_view all(value.data(), value.size());
    if (const auto at = all.find(kTimeout); at != std::string_view::npos) {
      const auto digits = all.substr(at + kTimeout.size());
      std::from_chars(digits.data(), digits.data() + digits.size(),
                      head_.keep_alive_seconds);
    }
  }
  if (!concerns_connection(field)) {
    head_.headers.push_back({text(name), text(value)});
  }
}

void answer_reader::on_header_impl(error_code&) {
  drop_named(head_.headers, connection_names_);
  if (chunked()) {
    head_.framing = gateway::body_framing::chunked;
  } else if (need_eof()) {
    head_.framing = gateway::body_framing::close_delimited;
  }
}

void answer_reader::on_body_init_impl(const boost::optional<std::uint64_t>&,
                                      error_code&) {}

std::size_t answer_reader::on_body_impl(string_view body, error_code&) {
  body_.append(body.data(), body.size());
  return body.size();
}

void answer_reader::on_chunk_header_impl(std::uint64_t, string_view,
                                         error_code&) {}

std::size_t answer_reader::on_chunk_body_impl(std::uint64_t, string_view body,
                                              error_code& ec) {
  return on_body_impl(body, ec);
}

void answer_reader::on_finish_impl(error_code&) {}

}  // namespace seamglade::detail
