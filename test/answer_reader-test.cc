// seamglade - readers of HTTP messages that come in pieces
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string_view>

#include "connection/http_parser.h"

namespace seamglade::detail {
namespace {

constexpr std::string_view kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/** More than the head of any message may have. */
constexpr std::size_t kFarTooLong = 1UL << 20U;

class message_pieces {
 public:
  template <typename Reader>
  parse_progress give(Reader& reader, std::string_view bytes) {
    evbuffer_add(buffer_.get(), bytes.data(), bytes.size());
    return reader.read(buffer_.get());
  }

 private:
  struct free_buffer {
    void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
  };
  std::unique_ptr<evbuffer, free_buffer> buffer_{evbuffer_new()};
};

/** Gives field after field, each with the first byte of the next one. */
template <typename Reader>
parse_progress give_endless_head(Reader& reader, std::string_view first_line) {
  message_pieces pieces;
  const auto field = "-Y: " + std::string(1000, 'v') + "\r\nX";
  auto progress = pieces.give(reader, std::string(first_line) + "\r\nX");
  for (std::size_t given = 0; given < kFarTooLong; given += field.size()) {
    if (progress != parse_progress::need_more) break;
    progress = pieces.give(reader, field);
  }
  return progress;
}

bool has_field(const std::vector<http_header>& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const auto& header) { return header.name == name; });
}

TEST(answer_reader, a_body_that_begins_with_a_blank_is_no_folded_line) {
  for (const std::string_view blank : {" ", "\t"}) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" +
                               std::string(blank) + "ok";
    for (std::size_t cut = 1; cut < answer.size(); ++cut) {
      answer_reader reader(false);
      message_pieces pieces;
      const auto begun = pieces.give(reader, answer.substr(0, cut));
      EXPECT_EQ(begun, parse_progress::need_more) << cut;
      const auto progress = pieces.give(reader, answer.substr(cut));
      EXPECT_EQ(progress, parse_progress::complete) << cut;
    }
  }
}

TEST(answer_reader, a_folded_line_is_refused_wherever_the_pieces_are_cut) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nX-Y: 1\r\n Z: 2\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t cut = 1; cut < answer.size(); ++cut) {
    answer_reader reader(false);
    message_pieces pieces;
    auto progress = pieces.give(reader, answer.substr(0, cut));
    if (progress == parse_progress::need_more) {
      progress = pieces.give(reader, answer.substr(cut));
    }
    EXPECT_EQ(progress, parse_progress::failed) << cut;
  }
}

TEST(answer_reader, bounds_a_head_that_comes_field_by_field) {
  answer_reader reader(false);
  EXPECT_EQ(give_endless_head(reader, "HTTP/1.1 200 OK"),
            parse_progress::failed);
  EXPECT_EQ(reader.defect().fault, gateway::answer_fault::too_long);
}

TEST(request_reader, bounds_a_head_that_comes_field_by_field) {
  request_reader reader(8192, 8192);
  EXPECT_EQ(give_endless_head(reader, "GET / HTTP/1.1\r\nHost: a"),
            parse_progress::failed);
  EXPECT_EQ(reader.fault(), parse_fault::headers_too_large);
}

TEST(answer_reader, trailers_are_no_headers) {
  answer_reader reader(false);
  message_pieces pieces;
  const auto progress = pieces.give(
      reader, std::string(kChunked) + "2\r\nok\r\n0\r\nX-Y: 1\r\n\r\n");
  EXPECT_EQ(progress, parse_progress::complete);
  EXPECT_FALSE(has_field(reader.head().headers, "X-Y"));
}

TEST(request_reader, trailers_are_no_headers) {
  request_reader reader(8192, 8192);
  message_pieces pieces;
  const auto progress = pieces.give(
      reader,
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\nX-Y: 1\r\n\r\n");
  EXPECT_EQ(progress, parse_progress::complete);
  EXPECT_FALSE(has_field(reader.take().headers, "X-Y"));
}

TEST(answer_reader, an_answer_without_a_body_that_names_one_ends_connections) {
  for (const std::string_view framing :
       {"Content-Length: 2", "Transfer-Encoding: chunked"}) {
    answer_reader reader(false);
    message_pieces pieces;
    const auto progress = pieces.give(
        reader, "HTTP/1.1 204 OK\r\n" + std::string(framing) + "\r\n\r\n");
    EXPECT_EQ(progress, parse_progress::complete) << framing;
    EXPECT_FALSE(reader.keeps_connection()) << framing;
  }
}

}  // namespace
}  // namespace seamglade::detail
