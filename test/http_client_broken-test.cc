// seamglade - broken answers on the path through owners, before raw sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>
#include <signal.h>

#include <array>
#include <thread>

#include "broken_answers.h"
#include "connection/gateway_server.h"
#include "connection/http_client.h"
#include "early_target.h"
#include "raw_target.h"

namespace seamglade::detail {
namespace {

constexpr duration kPatience = 5s;
/** More than the system's buffers on both sides hold. */
constexpr std::size_t kUploadBytes = 24UL << 20U;

struct call_outcome {
  int status = 0;
  std::string body;
  bool is_whole = false;
  std::optional<http_end> failure;
};

class http_client_broken : public testing::TestWithParam<repeated_answers> {
 protected:
  http_client_broken()
      : base_(event_base_new()), client_(base_.get(), GetParam()) {
    // As the process does.
    signal(SIGPIPE, SIG_IGN);
    const auto late = [](evutil_socket_t, short, void* base) {
      event_base_loopbreak(static_cast<event_base*>(base));
    };
    patience_.reset(event_new(base_.get(), -1, 0, late, base_.get()));
  }

  http_observer watch(call_outcome& out) {
    http_observer observer;
    observer.on_piece = [&](int status, const std::vector<http_header>&,
                            const std::shared_ptr<const std::string>& data,
                            bool last) {
      if (status != 0) out.status = status;
      if (data) out.body += *data;
      out.is_whole = last;
      if (last) event_base_loopbreak(base_.get());
    };
    observer.on_failure = [&](http_end end) {
      out.failure = end;
      event_base_loopbreak(base_.get());
    };
    return observer;
  }

  void run() {
    const auto wait = to_timeval(kPatience);
    event_add(patience_.get(), &wait);
    event_base_dispatch(base_.get());
    event_del(patience_.get());
  }

  /** Makes a call and waits for its end. */
  call_outcome call(const std::string& address, std::size_t upload = 0) {
    http_call what;
    what.address = address;
    what.method = "POST";
    what.path = "/x";
    what.body = std::make_shared<const std::string>(upload, 'u');
    call_outcome out;
    client_.start(std::move(what), watch(out));
    run();
    return out;
  }

  call_outcome call_answered_by(const broken_answer& answer) {
    raw_target target(base_.get(), {answer.bytes}, raw_target::ending::close);
    return call(target.address());
  }

  base_handle base_;
  event_handle patience_;
  http_client client_;
};

TEST_P(http_client_broken, what_breaks_the_protocol_is_no_answer) {
  for (const auto& answer : broken_answers()) {
    const auto got = call_answered_by(answer);
    EXPECT_TRUE(got.failure) << answer;
    EXPECT_FALSE(got.is_whole) << answer;
  }
}

TEST_P(http_client_broken, what_looks_odd_and_is_sound_is_an_answer) {
  for (const auto& answer : odd_answers()) {
    const auto got = call_answered_by(answer);
    EXPECT_TRUE(got.is_whole) << answer;
    EXPECT_EQ(got.body, "ok") << answer;
  }
}

// A broken connection was tried once more, and a request ran twice.
TEST_P(http_client_broken, a_broken_answer_counts_as_written) {
  const auto got =
      call_answered_by(with_status_line("status_000", "HTTP/1.1 000 Trouble"));
  ASSERT_TRUE(got.failure);
  EXPECT_TRUE(got.failure->written);
}

// The process stood still while it connected.
TEST_P(http_client_broken, nothing_is_written_after_the_last_time) {
  bool has_byte = false;
  loopback_listener listener(base_.get(), [&](evutil_socket_t fd) {
    char byte = 0;
    std::this_thread::sleep_for(20ms);
    has_byte = recv(fd, &byte, 1, MSG_DONTWAIT) > 0;
    close(fd);
  });
  http_call what;
  what.address = listener.address();
  what.not_after = boot_now() + 20ms;
  call_outcome out;
  const auto not_after = what.not_after;
  client_.start(std::move(what), watch(out));
  while (boot_now() <= not_after) std::this_thread::sleep_for(1ms);
  run();
  EXPECT_FALSE(has_byte);
  ASSERT_TRUE(out.failure);
  EXPECT_FALSE(out.failure->written);
}

TEST_P(http_client_broken, an_answer_that_does_not_begin_in_time_has_failed) {
  raw_target target(base_.get(), {}, raw_target::ending::none);
  http_call what;
  what.address = target.address();
  what.timeout = 100ms;
  call_outcome out;
  client_.start(std::move(what), watch(out));
  run();
  ASSERT_TRUE(out.failure);
  EXPECT_TRUE(out.failure->written);
}

TEST_P(http_client_broken, a_refused_connection_has_written_nothing) {
  std::string address;
  {
    const raw_target gone(base_.get(), {}, raw_target::ending::none);
    address = gone.address();
  }
  const auto got = call(address);
  ASSERT_TRUE(got.failure);
  EXPECT_FALSE(got.failure->written);
}

TEST_P(http_client_broken, a_call_to_no_address_fails_at_once) {
  const auto got = call("nowhere");
  ASSERT_TRUE(got.failure);
  EXPECT_FALSE(got.failure->written);
}

TEST_P(http_client_broken, a_call_that_is_broken_off_fails_from_the_loop) {
  raw_target target(base_.get(), {}, raw_target::ending::none);
  http_call what;
  what.address = target.address();
  call_outcome out;
  const auto token = client_.start(std::move(what), watch(out));
  client_.cancel(token);
  EXPECT_FALSE(out.failure);
  run();
  ASSERT_TRUE(out.failure);
  EXPECT_FALSE(out.failure->written);
  EXPECT_EQ(client_.open_calls(), 0U);
}

/** A server that answers with the path of a request, for sound calls. */
class http_client_sound : public http_client_broken {
 protected:
  http_client_sound()
      : server_(base_.get(),
                {[this](caller_id caller, gateway::caller_message message) {
                   const auto text =
                       std::make_shared<const std::string>(message.target);
                   seen_.push_back(std::move(message));
                   server_.begin(caller, {200, {}, {}, {}});
                   server_.write(caller, text);
                   server_.finish(caller);
                 },
                 [](caller_id) {}, [](int) {}}),
        address_(server_.listen({"127.0.0.1", 0}).value().str()) {}

  call_outcome call_with(http_call what) {
    what.address = address_;
    call_outcome out;
    client_.start(std::move(what), watch(out));
    run();
    return out;
  }

  gateway_server server_;
  std::string address_;
  std::vector<gateway::caller_message> seen_;
};

TEST_P(http_client_sound, keeps_a_connection_where_no_answer_is_repeated) {
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(call_with({}).is_whole);
  if (GetParam() == repeated_answers::never) {
    EXPECT_EQ(server_.connection_count(), 1U);
  }
  EXPECT_EQ(seen_.size(), 3U);
}

TEST_P(http_client_sound, a_body_arrives_with_any_method) {
  for (const std::string method : {"POST", "PUT", "DELETE", "OPTIONS"}) {
    http_call what;
    what.method = method;
    what.body = std::make_shared<const std::string>("body");
    EXPECT_TRUE(call_with(std::move(what)).is_whole);
    ASSERT_FALSE(seen_.empty());
    EXPECT_EQ(seen_.back().method, method);
    EXPECT_EQ(*seen_.back().body, "body");
  }
}

TEST_P(http_client_sound, fields_that_would_break_a_head_are_left_out) {
  http_call what;
  what.headers = {{"X-A", "1"},      {"X-B", "1\r\nX-C: 1"}, {"X D", "1"},
                  {"", "1"},         {"X-E", "a\x01z"},      {"X-F:", "1"},
                  {"X-G", "caf\xe9"}};
  EXPECT_TRUE(call_with(std::move(what)).is_whole);
  ASSERT_EQ(seen_.size(), 1U);
  std::vector<std::string> names;
  for (const auto& header : seen_[0].headers) names.push_back(header.name);
  EXPECT_EQ(names, (std::vector<std::string>{"Host", "X-A", "X-G"}));
}

TEST_P(http_client_sound, a_first_line_that_would_break_is_not_written) {
  for (const std::string path : {"", "/a b", "/a\r\nX: 1", "/a\x01"}) {
    http_call what;
    what.path = path;
    const auto got = call_with(std::move(what));
    ASSERT_TRUE(got.failure) << path;
    EXPECT_FALSE(got.failure->written) << path;
  }
  EXPECT_TRUE(seen_.empty());
}

/** An answer that comes while its request is still written. */
class http_client_early : public http_client_broken {
 protected:
  static constexpr auto kBodyBytes = 400UL;

  static std::string close_delimited(std::string_view status) {
    return "HTTP/1.1 " + std::string(status) + "\r\n\r\n" +
           std::string(kBodyBytes, 'a');
  }
  static std::string with_length(std::string_view status) {
    return "HTTP/1.1 " + std::string(status) +
           "\r\nContent-Length: 400\r\n\r\n" + std::string(kBodyBytes, 'a');
  }

  call_outcome upload_to(const std::string& answer, early_target::ending how,
                         duration wait) {
    early_target target(base_.get(), answer, how, wait);
    return call(target.address(), kUploadBytes);
  }
};

/** Moments between an answer and the end of its connection. */
constexpr std::array kWaits{0ms, 1ms, 2ms, 10ms, 60ms};

// The failed write takes the error: the read behind it reports an end of file.
TEST_P(http_client_early, that_is_reset_is_not_whole) {
  for (const auto wait : kWaits) {
    for (int i = 0; i < 8; ++i) {
      const auto got = upload_to(close_delimited("200 OK"),
                                 early_target::ending::reset, wait);
      EXPECT_TRUE(got.failure) << wait.count();
      EXPECT_FALSE(got.is_whole) << wait.count();
    }
  }
}

TEST_P(http_client_early, whose_upload_stays_unread_is_not_whole) {
  for (const auto wait : kWaits) {
    for (int i = 0; i < 8; ++i) {
      const auto got = upload_to(close_delimited("200 OK"),
                                 early_target::ending::close_unread, wait);
      EXPECT_TRUE(got.failure) << wait.count();
      EXPECT_FALSE(got.is_whole) << wait.count();
    }
  }
}

TEST_P(http_client_early, that_is_closed_before_the_request_is_not_whole) {
  const auto got = upload_to(close_delimited("200 OK"),
                             early_target::ending::shut_down, 10ms);
  EXPECT_TRUE(got.failure);
  EXPECT_FALSE(got.is_whole);
}

TEST_P(http_client_early, that_refuses_in_order_is_whole) {
  const auto got = upload_to(close_delimited("413 Too Large"),
                             early_target::ending::shut_down, 10ms);
  EXPECT_TRUE(got.is_whole);
  EXPECT_EQ(got.status, 413);
  EXPECT_EQ(got.body.size(), kBodyBytes);
}

TEST_P(http_client_early, with_a_length_is_whole_though_it_is_reset) {
  for (const auto wait : kWaits) {
    const auto got = upload_to(with_length("413 Too Large"),
                               early_target::ending::reset, wait);
    EXPECT_TRUE(got.is_whole) << wait.count();
    EXPECT_EQ(got.body.size(), kBodyBytes) << wait.count();
  }
}

TEST_P(http_client_early, whose_request_was_read_is_whole_at_its_close) {
  const auto got = upload_to(close_delimited("200 OK"),
                             early_target::ending::read_and_close, 0ms);
  EXPECT_TRUE(got.is_whole);
  EXPECT_EQ(got.body.size(), kBodyBytes);
}

constexpr auto kBoth =
    std::array{repeated_answers::possible, repeated_answers::never};

std::string mode_name(const testing::TestParamInfo<repeated_answers>& info) {
  const bool is_possible = info.param == repeated_answers::possible;
  return is_possible ? "repeats_possible" : "no_repeats";
}

INSTANTIATE_TEST_SUITE_P(http_client, http_client_broken,
                         testing::ValuesIn(kBoth), mode_name);
INSTANTIATE_TEST_SUITE_P(http_client, http_client_sound,
                         testing::ValuesIn(kBoth), mode_name);
INSTANTIATE_TEST_SUITE_P(http_client, http_client_early,
                         testing::ValuesIn(kBoth), mode_name);

}  // namespace
}  // namespace seamglade::detail
