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
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kNoContent = 204;
/** Of bytes that could not be read, so many are told. */
constexpr std::size_t kExcerptBytes = 64;

std::string_view unread_bytes(evbuffer* from) {
  const auto size = evbuffer_get_length(from);
  if (size == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(from, -1)), size};
}

/** Feeds a parser until the buffer is empty, or it is done or fails. */
template <bool IsRequest>
boost::beast::error_code feed(http::basic_parser<IsRequest>& parser,
                              message_framer& framer, evbuffer* from) {
  boost::beast::error_code ec;
  while (!ec && !parser.is_done()) {
    const auto unread = unread_bytes(from);
    if (unread.empty()) break;
    const bool in_head = !parser.is_header_done();
    const bool at_line = !in_head && parser.chunked() && !framer.in_chunk();
    message_piece piece{unread.size(), {}};
    if (in_head) piece = framer.next_head(unread);
    if (at_line) piece = framer.next_chunk_line(unread);
    if (piece.ec || piece.size == 0) return piece.ec;
    const boost::asio::const_buffer whole(unread.data(), piece.size);
    evbuffer_drain(from, parser.put(whole, ec));
    // What has come whole, and is too short all the same, stays so.
    if (ec == http::error::need_more) {
      ec = in_head ? http::error::bad_version : http::error::bad_chunk;
    }
  }
  return ec;
}

gateway::answer_fault fault_of(const boost::beast::error_code& ec) {
  using gateway::answer_fault;
  if (ec == http::error::bad_obs_fold) return answer_fault::folded_line;
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
    : framer_(true, header_bytes) {
  header_limit(header_bytes);
  body_limit(body_bytes);
}

parse_progress request_reader::read(evbuffer* from) {
  if (fault_ != parse_fault::none) return parse_progress::failed;
  started_ = started_ || evbuffer_get_length(from) > 0;
  const auto ec = feed<true>(*this, framer_, from);
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

std::size_t request_reader::size() const {
  std::size_t body = body_.size();
  if (is_header_done()) {
    const auto length = content_length();
    if (length) body = std::max<std::size_t>(body, *length);
  }
  return head_size_ + body;
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
  head_size_ += target.size();
  version_ = version;
  if (version < 10 || target.empty() || target.front() != '/') {
    ec = http::error::bad_target;
  }
}

void request_reader::on_field_impl(http::field field, string_view name,
                                   string_view value, error_code& ec) {
  if (is_header_done()) return;  // a trailer
  head_size_ += name.size() + value.size();
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

void request_reader::on_body_init_impl(
    const boost::optional<std::uint64_t>& length, error_code&) {
  if (length) body_.reserve(*length);
}

std::size_t request_reader::on_body_impl(string_view body, error_code&) {
  body_.append(body.data(), body.size());
  return body.size();
}

void request_reader::on_chunk_header_impl(std::uint64_t size, string_view,
                                          error_code&) {
  framer_.begin_chunk(size);
}

std::size_t request_reader::on_chunk_body_impl(std::uint64_t, string_view body,
                                               error_code& ec) {
  framer_.take_from_chunk(body.size());
  return on_body_impl(body, ec);
}

void request_reader::on_finish_impl(error_code&) {}

answer_reader::answer_reader(bool bodyless)
    : framer_(false, kAnswerHeaderBytes) {
  skip(bodyless);
  header_limit(kAnswerHeaderBytes);
  // Boost 1.74 takes "no limit" for less than any length.
  body_limit(std::numeric_limits<std::uint64_t>::max());
}

parse_progress answer_reader::read(evbuffer* from) {
  started_ = started_ || evbuffer_get_length(from) > 0;
  if (const auto ec = feed<false>(*this, framer_, from)) {
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
  if (is_header_done()) return;  // a trailer
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
  const bool names_body = chunked() || content_length().value_or(0) > 0;
  has_stray_body_ = head_.status == kNoContent && names_body;
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

void answer_reader::on_chunk_header_impl(std::uint64_t size, string_view,
                                         error_code&) {
  framer_.begin_chunk(size);
}

std::size_t answer_reader::on_chunk_body_impl(std::uint64_t, string_view body,
                                              error_code& ec) {
  framer_.take_from_chunk(body.size());
  return on_body_impl(body, ec);
}

void answer_reader::on_finish_impl(error_code&) {}

}  // namespace seamglade::detail
