// seamglade - HTTP of the direct path over real sockets on loopback
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_http.h"

#include <sys/socket.h>
#include <unistd.h>

#include "connection/connect_probe.h"
#include "raw_target.h"

namespace seamglade::detail {
namespace {

TEST_F(gateway_http, passes_a_request_and_its_answer) {
  auto what = get("/a?b=c");
  what.method = "POST";
  what.headers = {{"X-One", "1"}};
  what.body = std::make_shared<const std::string>("hello");
  const auto out = call(what);
  run();
  EXPECT_EQ(out->end, call_end::complete);
  EXPECT_EQ(out->status, 200);
  EXPECT_EQ(out->body, "body of /a?b=c");
  ASSERT_EQ(seen_.size(), 1U);
  EXPECT_EQ(seen_[0].method, "POST");
  EXPECT_EQ(*seen_[0].body, "hello");
}

TEST_F(gateway_http, keeps_connections_for_the_next_call) {
  for (int i = 0; i < 3; ++i) {
    const auto out = call(get("/x"));
    run();
    ASSERT_EQ(out->end, call_end::complete);
  }
  EXPECT_EQ(client_.counts().opened, 1U);
  EXPECT_EQ(client_.counts().reused, 2U);
}

TEST_F(gateway_http, skips_the_answer_to_another_request) {
  on_request_ = [this](caller_id caller, const gateway::caller_message&) {
    answer(caller, 200, "whose");
  };
  call_client client(base_.get(), "X-Id");
  auto what = get("/x");
  what.name = "2";
  int status = 0;
  client.start(what, {[&](const answer_head& head, const answer_carrier&) {
                        status = head.status;
                      },
                      [](const std::shared_ptr<const std::string>&) {},
                      [](call_end) {}});
  run(300ms);
  EXPECT_EQ(status, 0);
  EXPECT_EQ(client.counts().skipped_during_call, 1U);
}

TEST_F(gateway_http, a_closed_port_has_not_been_sent_to) {
  auto what = get("/x");
  what.address = "127.0.0.1:1";
  const auto out = call(what);
  run();
  EXPECT_EQ(out->end, call_end::not_sent);
}

TEST_F(gateway_http, a_probe_tells_a_process_that_listens_from_none) {
  connect_prober prober(base_.get());
  const auto probe = [&](const std::string& address) {
    std::optional<connect_outcome> out;
    prober.probe(address, [&](connect_outcome outcome) {
      out = outcome;
      stop();
    });
    run();
    return out;
  };
  EXPECT_EQ(probe(address_.str()), connect_outcome::connected);
  // Nothing listens at the port of a socket that is bound alone.
  const int held = socket(AF_INET, SOCK_STREAM, 0);
  auto where = to_socket_address({"127.0.0.1", 0});
  ASSERT_EQ(bind(held, reinterpret_cast<sockaddr*>(&where), sizeof(where)), 0);
  EXPECT_EQ(probe(bound_endpoint(held).str()), connect_outcome::refused);
  close(held);
  EXPECT_EQ(probe("no address"), connect_outcome::silent);
}

TEST_F(gateway_http, tells_where_a_request_comes_from) {
  call(get("/a"));
  run();
  ASSERT_EQ(seen_.size(), 1U);
  EXPECT_EQ(seen_.front().caller_address, INADDR_LOOPBACK);
}

TEST_F(gateway_http, an_aborted_answer_is_seen_to_be_incomplete) {
  on_request_ = [this](caller_id caller, const gateway::caller_message&) {
    server_.begin(caller, {200, "", {}, std::nullopt});
    server_.write(caller, std::make_shared<const std::string>("half"));
    server_.abort(caller);
  };
  const auto out = call(get("/x"));
  run();
  EXPECT_EQ(out->end, call_end::closed);
  EXPECT_EQ(out->body, "half");
}

/** Calls a target that sends raw bytes. */
class raw_answers : public gateway_http {
 protected:
  void expect_end(const std::vector<std::string>& pieces,
                  raw_target::ending ending, body_framing framing,
                  call_end end) {
    SCOPED_TRACE(testing::PrintToString(pieces));
    raw_target target(base_.get(), pieces, ending);
    auto what = get("/x");
    what.address = target.address();
    const auto out = call(what);
    run();
    EXPECT_EQ(out->framing, framing);
    ASSERT_TRUE(out->end);
    EXPECT_EQ(to_string(*out->end), to_string(end));
  }

  static constexpr auto kClose = raw_target::ending::close;
  static constexpr auto kReset = raw_target::ending::reset;
  static constexpr auto kStaysOpen = raw_target::ending::none;
  const std::string head_ = "HTTP/1.1 200 OK\r\n";
};

TEST_F(raw_answers, with_a_length_end_with_their_last_byte) {
  const auto framing = body_framing::length;
  const auto head = head_ + "Content-Length: 4\r\n\r\n";
  expect_end({head, "body"}, kStaysOpen, framing, call_end::complete);
  expect_end({head, "bo"}, kClose, framing, call_end::closed);
  expect_end({head, "bo"}, kReset, framing, call_end::reset);
}

TEST_F(raw_answers, in_chunks_end_with_the_last_chunk) {
  const auto framing = body_framing::chunked;
  const auto head = head_ + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "4\r\nbody\r\n";
  expect_end({head, chunk, "0\r\n\r\n"}, kStaysOpen, framing,
             call_end::complete);
  expect_end({head, chunk}, kClose, framing, call_end::closed);
  expect_end({head, chunk, "0\r\n"}, kClose, framing, call_end::closed);
  expect_end({head, chunk}, kReset, framing, call_end::reset);
}

TEST_F(raw_answers, with_neither_end_with_an_orderly_close) {
  const auto framing = body_framing::close_delimited;
  const auto head = head_ + "\r\n";
  expect_end({head, "body"}, kClose, framing, call_end::complete);
  expect_end({head + "body"}, kClose, framing, call_end::complete);
  expect_end({head, "bo"}, kReset, framing, call_end::reset);
}

TEST_F(raw_answers, without_a_whole_head_are_none) {
  const auto framing = body_framing::length;
  expect_end({head_ + "X-A: 1\r\n"}, kClose, framing, call_end::closed);
  expect_end({"nonsense\r\n\r\n"}, kClose, framing, call_end::malformed);
}

TEST_F(gateway_http, a_caller_that_leaves_is_noticed) {
  on_request_ = [](caller_id, const gateway::caller_message&) {};
  auto what = get("/x");
  const auto token =
      client_.start(what, {[](const answer_head&, const answer_carrier&) {},
                           [](const std::shared_ptr<const std::string>&) {},
                           [](call_end) {}});
  run(100ms);
  ASSERT_EQ(seen_.size(), 1U);
  client_.cancel(token);
  run();
  EXPECT_EQ(gone_, 1);
}

TEST_F(gateway_http, answers_pipelined_requests_in_order) {
  const auto back =
      raw("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
          "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const auto first = back.find("body of /1");
  const auto second = back.find("body of /2");
  ASSERT_NE(first, std::string::npos);
  ASSERT_NE(second, std::string::npos);
  EXPECT_LT(first, second);
}

/** A server that goes away, and an answer that is under way then. */
class ending_server : public gateway_http {
 protected:
  ending_server()
      : ending_(std::make_unique<gateway_server>(
            base_.get(),
            gateway_server::handlers{
                [this](caller_id caller, const gateway::caller_message&) {
                  answer_(caller);
                },
                [](caller_id) {}, [](int) {}})) {
    address_ = ending_->listen({"127.0.0.1", 0}).value();
  }

  static std::shared_ptr<const std::string> text(std::string_view from) {
    return std::make_shared<const std::string>(from);
  }

  /** Sends an answer's head and its first piece. */
  void begin(caller_id caller,
             const std::shared_ptr<const std::string>& piece) {
    ending_->begin(caller, {200, "", {}, std::nullopt});
    ending_->write(caller, piece);
  }

  /** Asks as a caller that knows no chunks. */
  std::string call_old() { return raw("GET /x HTTP/1.0\r\n\r\n"); }

  std::unique_ptr<gateway_server> ending_;
  std::function<void(caller_id)> answer_;
};

TEST_F(ending_server,
       resets_a_close_delimited_answer_that_it_leaves_unfinished) {
  const auto end = [](evutil_socket_t, short, void* server) {
    static_cast<std::unique_ptr<gateway_server>*>(server)->reset();
  };
  event_handle timer(event_new(base_.get(), -1, 0, end, &ending_));
  answer_ = [&](caller_id caller) {
    begin(caller, text("half"));
    const auto wait = to_timeval(50ms);
    event_add(timer.get(), &wait);
  };
  const auto back = call_old();
  EXPECT_TRUE(back.ends_with("half")) << back;
  EXPECT_TRUE(raw_was_reset_);
}

TEST_F(ending_server,
       resets_a_close_delimited_answer_that_its_caller_does_not_read) {
  const auto large = text(std::string(64UL << 20U, 'x'));
  answer_ = [&](caller_id caller) {
    begin(caller, large);
    // Beyond what may wait for a slow caller.
    ending_->write(caller, large);
  };
  const auto back = call_old();
  EXPECT_LT(back.size(), 2 * large->size());
  EXPECT_TRUE(raw_was_reset_);
}

TEST_F(ending_server, ends_a_whole_close_delimited_answer_in_order) {
  const auto large = text(std::string(1UL << 20U, 'x'));
  answer_ = [&](caller_id caller) {
    begin(caller, large);
    ending_->finish(caller);
  };
  const auto back = call_old();
  EXPECT_TRUE(back.ends_with(*large));
  EXPECT_FALSE(raw_was_reset_);
}

TEST_F(gateway_http, reads_chunked_bodies) {
  raw("POST /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  ASSERT_EQ(seen_.size(), 1U);
  EXPECT_EQ(*seen_[0].body, "abcde");
}

TEST_F(gateway_http, refuses_what_could_smuggle_a_request) {
  const std::string head = "POST /c HTTP/1.1\r\nHost: h\r\n";
  for (const std::string bad :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: -3\r\n\r\nabc",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "Host: other\r\n\r\n", "Bad Header: x\r\n\r\n"}) {
    seen_.clear();
    const auto back = raw(head + bad);
    EXPECT_TRUE(seen_.empty()) << bad;
    EXPECT_TRUE(back.starts_with("HTTP/1.1 400")) << bad << back;
  }
}

TEST_F(gateway_http, bounds_heads_and_bodies) {
  gateway::caller_limits limits;
  limits.header_bytes = 512;
  limits.body_bytes = 16;
  server_.set_limits(limits);
  const auto large_head =
      raw("GET / HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(600, 'a') +
          "\r\n\r\n");
  EXPECT_TRUE(large_head.starts_with("HTTP/1.1 431")) << large_head;
  const auto large_body =
      raw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n"
          "12345678901234567");
  EXPECT_TRUE(large_body.starts_with("HTTP/1.1 413")) << large_body;
  EXPECT_TRUE(seen_.empty());
}

// A head that does not fit into what is read ahead was never read.
TEST_F(gateway_http, reads_heads_up_to_their_bound) {
  gateway::caller_limits limits;
  limits.header_bytes = 200000;
  server_.set_limits(limits);
  const auto with_field_of = [this](std::size_t size) {
    return raw("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-A: " +
               std::string(size, 'a') + "\r\n\r\n");
  };
  EXPECT_TRUE(with_field_of(150000).starts_with("HTTP/1.1 200"));
  EXPECT_EQ(seen_.size(), 1U);
  EXPECT_TRUE(with_field_of(400000).starts_with("HTTP/1.1 431"));
  EXPECT_EQ(seen_.size(), 1U);
}

TEST_F(gateway_http, bounds_the_time_for_a_head_and_for_rest) {
  gateway::caller_limits limits;
  limits.header_timeout = 100ms;
  limits.idle_timeout = 150ms;
  server_.set_limits(limits);
  EXPECT_TRUE(raw("GET / HTT").starts_with("HTTP/1.1 408"));
  EXPECT_EQ(raw(""), "");
  EXPECT_TRUE(seen_.empty());
}

TEST_F(gateway_http, refuses_folded_lines_and_chunks_of_an_old_version) {
  for (const std::string bad :
       {"POST /c HTTP/1.1\r\nHost: h\r\nX-Y: 1\r\n Z: 2\r\n\r\n",
        "POST /c HTTP/1.1\r\nHost: h\r\nX-Y: 1\r\n\tContent-Length: 3\r\n\r\n"
        "abc",
        "POST /c HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
    seen_.clear();
    const auto back = raw(bad);
    EXPECT_TRUE(seen_.empty()) << bad;
    EXPECT_TRUE(back.starts_with("HTTP/1.1 400")) << bad << back;
  }
}

TEST_F(gateway_http, an_idle_time_cuts_no_answer_that_is_still_written) {
  gateway::caller_limits limits;
  limits.idle_timeout = 1ms;
  server_.set_limits(limits);
  const std::string large(32UL << 20U, 'x');
  on_request_ = [&](caller_id caller, const gateway::caller_message&) {
    answer(caller, 200, large);
  };
  const auto out = call(get("/x"));
  run();
  EXPECT_EQ(out->end, call_end::complete);
  EXPECT_EQ(out->body.size(), large.size());
}

TEST_F(gateway_http, a_slow_caller_gets_the_whole_of_a_last_answer) {
  constexpr int kSmallBuffer = 65536;
  const std::string large(24UL << 20U, 'x');
  on_request_ = [&](caller_id caller, const gateway::caller_message&) {
    answer(caller, 200, large);
  };
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof(kSmallBuffer));
  auto where = to_socket_address(address_);
  ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)), 0);
  evutil_make_socket_nonblocking(fd);
  const bufferevent_handle slow(
      bufferevent_socket_new(base_.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  struct {
    event_base* base;
    std::size_t bytes = 0;
  } got{base_.get()};
  bufferevent_setcb(
      slow.get(),
      [](bufferevent* from, void* arg) {
        auto* in = bufferevent_get_input(from);
        static_cast<decltype(got)*>(arg)->bytes += evbuffer_get_length(in);
        evbuffer_drain(in, evbuffer_get_length(in));
      },
      nullptr,
      [](bufferevent*, short, void* arg) {
        event_base_loopbreak(static_cast<decltype(got)*>(arg)->base);
      },
      &got);
  const std::string request =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  bufferevent_write(slow.get(), request.data(), request.size());
  run(1500ms);
  bufferevent_enable(slow.get(), EV_READ);
  run(30s);
  EXPECT_GT(got.bytes, large.size());
}

TEST_F(gateway_http, drops_headers_that_concern_the_connection_only) {
  raw("GET / HTTP/1.1\r\nHost: h\r\nConnection: close, Foo, X-Kept\r\n"
      "Foo: 1\r\nX-Kept: 2\r\nKeep-Alive: 3\r\nTE: trailers\r\n\r\n");
  ASSERT_EQ(seen_.size(), 1U);
  std::vector<std::string> names;
  for (const auto& header : seen_[0].headers) names.push_back(header.name);
  EXPECT_EQ(names, (std::vector<std::string>{"Host", "X-Kept"}));
}

}  // namespace
}  // namespace seamglade::detail
