// seamglade - calls to targets on the path through owners, over sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/http_client.h"

#include <gtest/gtest.h>

#include "loop_patience.h"
#include "raw_target.h"
#include "repeating_target.h"

namespace seamglade::detail {
namespace {

struct got_answer {
  std::string body;
  bool is_whole = false;
  bool has_failed = false;
};

/** Calls a target and waits for the end of the answer. */
got_answer call(event_base* base, http_client& client, http_call what) {
  got_answer out;
  http_observer observer;
  observer.on_piece = [&](int, const std::vector<http_header>&,
                          const std::shared_ptr<const std::string>& data,
                          bool last) {
    if (data) out.body += *data;
    out.is_whole = last;
    if (last) event_base_loopbreak(base);
  };
  observer.on_failure = [&](http_end) {
    out.has_failed = true;
    event_base_loopbreak(base);
  };
  what.path = "/x";
  what.timeout = 2s;
  client.start(std::move(what), std::move(observer));
  run_loop(base, 3s);
  return out;
}

/** Calls a target that sends these pieces and closes its connection. */
got_answer call(const std::vector<std::string>& pieces,
                raw_target::ending ending = raw_target::ending::close) {
  const base_handle base(event_base_new());
  raw_target target(base.get(), pieces, ending);
  http_client client(base.get(), repeated_answers::possible);
  http_call what;
  what.address = target.address();
  return call(base.get(), client, std::move(what));
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

// The end of the connection alone does not tell a whole answer from a cut one.
TEST(http_client, a_close_delimited_answer_whose_target_ends_has_failed) {
  const std::string plain = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  for (const auto& head : {kHead, plain}) {
    const auto got = call({head + "\r\n", kEvent}, raw_target::ending::end);
    EXPECT_TRUE(got.has_failed) << head;
    EXPECT_FALSE(got.is_whole) << head;
  }
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

// A refusal that came again passed for the answer to the next call.
TEST(http_client, a_repeated_answer_is_not_taken_for_that_to_the_next_call) {
  const base_handle base(event_base_new());
  repeating_target target(base.get(), [](const auto&) {
    repeating_target::reply out;
    out.copies = {{repeating_target::moment::before_answer}};
    return out;
  });
  http_client client(base.get(), repeated_answers::possible);
  for (const std::string serial : {"1", "2", "3"}) {
    http_call what;
    what.address = target.address();
    what.headers = {{kSerialHeader, serial}};
    const auto got = call(base.get(), client, std::move(what));
    EXPECT_TRUE(got.is_whole);
    EXPECT_EQ(got.body, "body of " + serial);
  }
}

}  // namespace
}  // namespace seamglade::detail
