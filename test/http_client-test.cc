// seamglade - calls to targets on the path through owners, over sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/http_client.h"

#include <gtest/gtest.h>

#include "raw_target.h"

namespace seamglade::detail {
namespace {

struct got_answer {
  std::string body;
  bool is_whole = false;
  bool has_failed = false;
};

/** Calls a target that sends these pieces and closes its connection. */
got_answer call(const std::vector<std::string>& pieces) {
  const base_handle base(event_base_new());
  raw_target target(base.get(), pieces, raw_target::ending::close);
  http_client client(base.get());
  got_answer out;
  http_observer observer;
  observer.on_piece = [&](int, const std::vector<http_header>&,
                          const std::shared_ptr<const std::string>& data,
                          bool last) {
    if (data) out.body += *data;
    out.is_whole = last;
    if (last) event_base_loopbreak(base.get());
  };
  observer.on_failure = [&](http_end) {
    out.has_failed = true;
    event_base_loopbreak(base.get());
  };
  http_call what;
  what.address = target.address();
  what.path = "/x";
  what.timeout = 2s;
  client.start(std::move(what), std::move(observer));
  const auto patience = to_timeval(3s);
  event_base_loopexit(base.get(), &patience);
  event_base_dispatch(base.get());
  return out;
}

const std::string kHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const std::string kEvent = "id: 1\ndata: a\n\n";

TEST(http_client, a_close_delimited_stream_closed_within_an_event_has_failed) {
  for (std::size_t cut = 0; cut < kEvent.size(); ++cut) {
    const auto got = call({kHead + "\r\n", kEvent + kEvent.substr(0, cut)});
    EXPECT_EQ(got.is_whole, cut == 0) << cut;
    EXPECT_EQ(got.has_failed, cut != 0) << cut;
  }
}

TEST(http_client, a_close_delimited_stream_without_any_event_has_failed) {
  const auto got = call({kHead + "\r\n"});
  EXPECT_TRUE(got.has_failed);
  EXPECT_FALSE(got.is_whole);
}

void expect_whole(const std::vector<std::string>& pieces,
                  const std::string& body) {
  const auto got = call(pieces);
  EXPECT_TRUE(got.is_whole) << pieces.front();
  EXPECT_FALSE(got.has_failed) << pieces.front();
  EXPECT_EQ(got.body, body) << pieces.front();
}

TEST(http_client, whole_answers_of_each_framing_are_whole) {
  expect_whole({kHead + "Content-Length: 15\r\n\r\n", kEvent}, kEvent);
  expect_whole({kHead + "Transfer-Encoding: chunked\r\n\r\n",
                "f\r\n" + kEvent + "\r\n0\r\n\r\n"},
               kEvent);
  expect_whole({kHead + "\r\n", kEvent}, kEvent);
  expect_whole({"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "ab"},
               "ab");
}

}  // namespace
}  // namespace seamglade::detail
