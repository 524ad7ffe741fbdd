// seamglade - readers of HTTP messages that come in pieces
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <event2/buffer.h>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "connection/http_parser.h"

namespace seamglade::detail {
namespace {

constexpr std::uint32_t kHeaderBytes = 8192;
constexpr std::uint64_t kBodyBytes = 1000;
/** Messages up to this length are split at every pair of places. */
constexpr std::size_t kEverySplit = 110;
constexpr unsigned kDrawnSplits = 300;
constexpr unsigned kSeed = 20261207;

using buffer = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

buffer make_buffer() { return {evbuffer_new(), &evbuffer_free}; }

std::string text_of(evbuffer* from) {
  std::string out(evbuffer_get_length(from), '\0');
  evbuffer_copyout(from, out.data(), out.size());
  return out;
}

std::string text_of(const std::vector<http_header>& headers) {
  std::string out;
  for (const auto& header : headers) {
    out += fmt::format("{}={};", header.name, header.value);
  }
  return out;
}

/** Feeds the pieces of a message; returns the reader's last word. */
template <typename Reader>
parse_progress feed(Reader& reader, evbuffer* in,
                    const std::vector<std::string_view>& pieces) {
  auto last = parse_progress::need_more;
  for (const auto piece : pieces) {
    evbuffer_add(in, piece.data(), piece.size());
    if (last == parse_progress::need_more) last = reader.read(in);
  }
  return last;
}

/** Reads a request in pieces; returns all that came of it, as text. */
std::string read_request(const std::vector<std::string_view>& pieces) {
  request_reader reader(kHeaderBytes, kBodyBytes);
  const auto in = make_buffer();
  switch (feed(reader, in.get(), pieces)) {
    case parse_progress::need_more:
      return "unfinished";
    case parse_progress::failed:
      return fmt::format("fault {}", static_cast<int>(reader.fault()));
    case parse_progress::complete:
      break;
  }
  const bool keeps = reader.keeps_connection();
  const auto message = reader.take();
  return fmt::format("{} {} {} {} [{}] keeps {} left {}", message.method,
                     message.target, message.host, text_of(message.headers),
                     *message.body, keeps, text_of(in.get()));
}

/** Reads an answer in pieces, up to an end in order; as above. */
std::string read_answer(const std::vector<std::string_view>& pieces) {
  answer_reader reader(false);
  const auto in = make_buffer();
  const auto last = feed(reader, in.get(), pieces);
  if (last == parse_progress::failed) {
    return fmt::format("fault {}", static_cast<int>(reader.defect().fault));
  }
  const bool is_whole =
      last == parse_progress::complete || reader.end_of_stream();
  if (!is_whole) return "unfinished";
  const auto& head = reader.head();
  return fmt::format("{} {} {} [{}] left {}", head.status, head.reason,
                     text_of(head.headers), reader.take_body(),
                     text_of(in.get()));
}

using reading = std::string (*)(const std::vector<std::string_view>&);

std::vector<std::string_view> split(std::string_view all, std::size_t first,
                                    std::size_t second) {
  return {all.substr(0, first), all.substr(first, second - first),
          all.substr(second)};
}

void expect_same_in_pieces(reading read, std::string_view message) {
  const auto whole = read({message});
  const auto expect_same = [&](std::size_t first, std::size_t second) {
    ASSERT_EQ(read(split(message, first, second)), whole)
        << message.substr(0, 200) << "\nsplit at " << first << " and "
        << second;
  };
  const auto size = message.size();
  if (size <= kEverySplit) {
    for (std::size_t first = 0; first <= size; ++first) {
      for (auto second = first; second <= size; ++second) {
        expect_same(first, second);
      }
    }
    return;
  }
  std::mt19937 draw(kSeed);
  for (unsigned i = 0; i < kDrawnSplits; ++i) {
    const auto a = draw() % (size + 1);
    const auto b = draw() % (size + 1);
    expect_same(std::min(a, b), std::max(a, b));
    expect_same(a, size);
  }
}

/** Bodies in chunks, whole and broken. */
const std::vector<std::string> kChunked = {
    "0\r\n\r\n",
    "000\r\n\r\n",
    "0;a\r\n\r\n",
    "0;a=\"b\"\r\nA: b\r\nC: d\r\n\r\n",
    "0\r\nA: b\r\n\r\n",
    "0\r\nA\r\n\r\n",
    "0\r\nA: b\r\n c\r\n\r\n",
    "0\r\nContent-Length: 3\r\n\r\n",
    "0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "1\r\nx\r\n0\r\n\r\n",
    "3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\nnext",
    "1\r\nx\r\n0\r\nA: b\r\n\r\n",
    "1\r\nxy\r\n0\r\n\r\n",
    "1\r\nx0\r\n\r\n",
    "1\nx\r\n0\r\n\r\n",
    "g\r\n\r\n\r\n",
    "\r\n\r\n\r\n",
    "0g\r\n\r\n",
    "0 \r\n\r\n",
    "-1\r\nx\r\n0\r\n\r\n",
    "1;\r\nx\r\n0\r\n\r\n",
    "1;a=\"\r\nx\r\n0\r\n\r\n",
    "1;a=\"\\\r\nx\r\n0\r\n\r\n",
    "0\r\r\n\r\n",
    "0\r\n\rX\r\n\r\n",
    "ffffffffffffffff\r\nx",
    "fffffffffffffffff\r\nx",
    "7fffffffffffffff\r\nx",
    "00000000000000000000001\r\nx\r\n0\r\n\r\n",
    "400\r\nx",
    "",
    "0",
    "0\r",
    "0\r\n",
    "0\r\n\r"};

std::vector<std::string> requests() {
  const std::string begin = "POST /a HTTP/1.1\r\n";
  const std::string host = begin + "Host: h\r\n";
  std::vector<std::string> out{
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /a HTTP/1.0\r\n\r\n",
      "GET /a HTTP/1.1\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\nD:\r\n\r\nGET /b",
      "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /a HTTP/1.2\r\nHost: h\r\n\r\n",
      "GET /a HTTP/2\r\n\r\n",
      "GET /a\r\n\r\n",
      "GET  /a HTTP/1.1\r\n\r\n",
      "G\x01T /a HTTP/1.1\r\n\r\n",
      "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /a HTTP/1.1\nHost: h\n\n",
      "GET /a HTTP/1.1\r\nHost: h\n\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost\r\n\r\n",
      "GET /a HTTP/1.1\r\n Host: h\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, x\r\nx: 1\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: \"\r\n\r\n",
      "\x16\x03\x01\x02\x01\x01\xfc\x03\x03",
      host + "Content-Length: 3\r\n\r\nabcd",
      host + "Content-Length: 3\r\n\r\nab",
      host + "Content-Length: 0\r\n\r\nab",
      host + "Content-Length: 3, 3\r\n\r\nabc",
      host + "Content-Length: 3, 4\r\n\r\nabc",
      host + "Content-Length: ,\r\n\r\nabc",
      host + "Content-Length: -1\r\n\r\nabc",
      host + "Content-Length: 1001\r\n\r\nabc",
      host + "Content-Length: 18446744073709551615\r\n\r\nabc",
      host + "Content-Length: 18446744073709551616\r\n\r\nabc",
      host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      host + "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
      host + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
      begin + "Host: h" + std::string(kHeaderBytes, 'h') + "\r\n\r\n",
      begin + "Host: h\r\nA" + std::string(kHeaderBytes, 'h')};
  for (const auto& body : kChunked) {
    out.push_back(
        fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{}", host, body));
  }
  for (const std::size_t fields : {90U, 110U, 400U}) {
    auto many = host;
    for (std::size_t i = 0; i < fields; ++i) {
      many += fmt::format("Field-{}: {}\r\n", i, std::string(65, 'v'));
    }
    out.push_back(many + "\r\n");
  }
  // As long as is allowed, and a byte longer.
  for (const std::size_t size : {kHeaderBytes, kHeaderBytes + 1}) {
    auto full = host + "A: ";
    full += std::string(size - full.size() - 4, 'v') + "\r\n\r\n";
    out.push_back(full);
  }
  const auto chunks = host + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::size_t size : {4000U, 5000U, 8000U, 9000U, 20000U}) {
    const std::string filling(size, 'v');
    out.push_back(fmt::format("{}0\r\nA: {}\r\n\r\n", chunks, filling));
    out.push_back(fmt::format("{}0;a={}\r\n\r\n", chunks, filling));
    out.push_back(fmt::format("{}1;a={}\r\nx\r\n0\r\n\r\n", chunks, filling));
    out.push_back(fmt::format("{}1;a={}", chunks, filling));
  }
  return out;
}

std::vector<std::string> answers() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  std::vector<std::string> out{
      ok + "\r\nto the end",
      ok + "Content-Length: 3\r\n\r\nabc",
      ok + "Content-Length: 3\r\n\r\nab",
      ok + "Content-Length: 0\r\n\r\n",
      "HTTP/1.1 204\r\n\r\n",
      "HTTP/1.1 204 \r\n\r\nleft",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 999 OK\r\n\r\n",
      "HTTP/1.1 20 OK\r\n\r\n",
      "HTTP/1.1 2000 OK\r\n\r\n",
      "HTTP/2 200\r\n\r\n",
      "HTTP/1.1 200 O\x01K\r\n\r\n",
      "HTTP/1.1 200 OK\n\n",
      "HTTX/1.1 200 OK\r\n\r\n",
      "garbage",
      ok + "A: b\r\n c\r\n\r\n",
      ok + " A: b\r\n\r\n",
      ok + "A b\r\n\r\n",
      ok + "Content-Length: 1, 2\r\n\r\nab",
      ok + "Keep-Alive: timeout=99999999999\r\nContent-Length: 0\r\n\r\n",
      ok + "A: " + std::string(65536, 'v') + "\r\n\r\n",
      ok + "A: " + std::string(65000, 'v') + "\r\n\r\n"};
  for (const auto& body : kChunked) {
    out.push_back(
        fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{}", ok, body));
  }
  return out;
}

TEST(reader_splits, a_request_reads_the_same_in_any_pieces) {
  for (const auto& message : requests()) {
    expect_same_in_pieces(read_request, message);
    if (HasFatalFailure()) return;
  }
}

TEST(reader_splits, an_answer_reads_the_same_in_any_pieces) {
  for (const auto& message : answers()) {
    expect_same_in_pieces(read_answer, message);
    if (HasFatalFailure()) return;
  }
}

TEST(reader_splits, an_empty_chunked_body_in_two_pieces_is_read) {
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string body : {"0\r\n\r\n", "0\r\nA: b\r\n\r\n"}) {
    const auto whole = head + body;
    for (std::size_t at = 0; at < body.size(); ++at) {
      const auto first = head + body.substr(0, at);
      EXPECT_EQ(read_request({first, std::string_view(body).substr(at)}),
                read_request({whole}));
    }
  }
}

// Guards against a head that grows without end, a field at a time.
TEST(reader_splits, a_head_in_pieces_keeps_its_limit) {
  request_reader reader(kHeaderBytes, kBodyBytes);
  const auto in = make_buffer();
  std::string piece = "GET /a HTTP/1.1\r\nHost: h\r\nA";
  constexpr std::size_t kMostSent = 4UL * kHeaderBytes;
  std::size_t sent = 0;
  auto last = parse_progress::need_more;
  while (last == parse_progress::need_more && sent < kMostSent) {
    evbuffer_add(in.get(), piece.data(), piece.size());
    sent += piece.size();
    last = reader.read(in.get());
    piece = ": " + std::string(90, 'v') + "\r\nA";
  }
  EXPECT_EQ(last, parse_progress::failed);
  EXPECT_EQ(reader.fault(), parse_fault::headers_too_large);
  EXPECT_LE(sent, kHeaderBytes + piece.size());
}

}  // namespace
}  // namespace seamglade::detail
