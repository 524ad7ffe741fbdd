// seamglade - HTTP/1.1 messages read from libevent buffers with Boost.Beast
//
// evhttp hides what the direct path must see: bytes behind an answer, answers
// without a length that end with their connection, and the limits of a head.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_HTTP_PARSER_H_
#define SEAMGLADE_SRC_CONNECTION_HTTP_PARSER_H_

#include <event2/buffer.h>

#include <boost/beast/http/basic_parser.hpp>
#include <memory>
#include <string>
#include <vector>

#include "connection/message_framer.h"
#include "seamglade/answer_end.h"
#include "seamglade/gateway_types.h"

namespace seamglade::detail {

/** Why a message cannot be read. */
enum class parse_fault : std::uint8_t {
  none,
  malformed,
  headers_too_large,
  body_too_large
};

enum class parse_progress : std::uint8_t { need_more, complete, failed };

/** Reads one request, whole; trailers are dropped. */
class request_reader final : private boost::beast::http::basic_parser<true> {
 public:
  request_reader(std::uint32_t header_bytes, std::uint64_t body_bytes);

  /** Takes what belongs to this request from a buffer. */
  parse_progress read(evbuffer* from);
  parse_fault fault() const { return fault_; }
  /** Whether the head is complete and the caller waits for a go-ahead. */
  bool wants_continue() const { return expects_continue_ && is_header_done(); }
  /** Whether any byte of the request has come. */
  bool started() const { return started_; }
  bool head_complete() const { return is_header_done(); }
  bool keeps_connection() const { return keep_alive(); }
  bool is_old_version() const { return version_ < 11; }
  /** Returns the bytes of its head, and of its body as far as they are known.
   */
  std::size_t size() const;
  /** Returns the headers as far as they came. */
  const std::vector<http_header>& headers() const { return message_.headers; }
  /** Returns the request; valid once complete. */
  gateway::caller_message take();

 private:
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb verb, string_view method,
                       string_view target, int version,
                       error_code& ec) override;
  void on_response_impl(int, string_view, int, error_code&) override {}
  void on_field_impl(boost::beast::http::field field, string_view name,
                     string_view value, error_code& ec) override;
  void on_header_impl(error_code& ec) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& ec) override;
  std::size_t on_body_impl(string_view body, error_code& ec) override;
  void on_chunk_header_impl(std::uint64_t size, string_view extensions,
                            error_code& ec) override;
  std::size_t on_chunk_body_impl(std::uint64_t remain, string_view body,
                                 error_code& ec) override;
  void on_finish_impl(error_code& ec) override;

  message_framer framer_;
  bool started_ = false;
  /** Of its start line and fields. */
  std::size_t head_size_ = 0;
  gateway::caller_message message_;
  std::string body_;
  std::vector<std::string> connection_names_;
  int host_count_ = 0;
  int version_ = 11;
  bool expects_continue_ = false;
  parse_fault fault_ = parse_fault::none;
};

/** The head of an answer. */
struct answer_head {
  int status = 0;
  std::string reason;
  std::vector<http_header> headers;
  /** Seconds that the target keeps an idle connection; 0: not said. */
  std::uint32_t keep_alive_seconds = 0;
  gateway::body_framing framing = gateway::body_framing::length;
};

/**
 * Reads one answer; its body is handed out as it comes, trailers are dropped.
 *
 * Stricter than the library: a status is 100 to 599, no field goes on in a
 * second line, and `chunked` is the only coding, since no other is decoded.
 */
class answer_reader final : private boost::beast::http::basic_parser<false> {
 public:
  /** `bodyless`: an answer to HEAD. */
  explicit answer_reader(bool bodyless);

  /** Takes what belongs to this answer from a buffer. */
  parse_progress read(evbuffer* from);
  /** Whether any byte of the answer was taken. */
  bool has_begun() const { return started_; }
  /** The connection ended in order; returns whether that ends the answer. */
  bool end_of_stream();
  bool head_complete() const { return is_header_done(); }
  /** Whether the next answer can be told from what follows this one. */
  bool keeps_connection() const { return keep_alive() && !has_stray_body_; }
  const answer_head& head() const { return head_; }
  /** Returns why reading failed. */
  const gateway::answer_defect& defect() const { return defect_; }
  /** Returns the bytes of the body that came since the last call. */
  std::string take_body() { return std::exchange(body_, {}); }

 private:
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb, string_view, string_view, int,
                       error_code&) override {}
  void on_response_impl(int code, string_view reason, int version,
                        error_code& ec) override;
  void on_field_impl(boost::beast::http::field field, string_view name,
                     string_view value, error_code& ec) override;
  void on_header_impl(error_code& ec) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& ec) override;
  std::size_t on_body_impl(string_view body, error_code& ec) override;
  void on_chunk_header_impl(std::uint64_t size, string_view extensions,
                            error_code& ec) override;
  std::size_t on_chunk_body_impl(std::uint64_t remain, string_view body,
                                 error_code& ec) override;
  void on_finish_impl(error_code& ec) override;

  parse_progress fail(gateway::answer_fault fault, std::string_view unread);

  message_framer framer_;
  bool started_ = false;
  answer_head head_;
  gateway::answer_defect defect_;
  int version_ = 11;
  /** It names a body that it can't have. */
  bool has_stray_body_ = false;
  std::vector<std::string> connection_names_;
  std::string body_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_HTTP_PARSER_H_
