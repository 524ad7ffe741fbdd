// seamglade - answers that break the protocol or off, before raw sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>

#include <array>

#include "broken_answers.h"
#include "connection/call_client.h"
#include "early_target.h"
#include "loop_patience.h"
#include "raw_target.h"

namespace seamglade::detail {
namespace {

constexpr duration kPatience = 5s;
/** More than the system's buffers on both sides hold. */
constexpr std::size_t kUploadBytes = 24UL << 20U;

struct call_outcome {
  int status = 0;
  std::string body;
  std::optional<call_end> end;
  answer_defect defect;
};

class broken_answer_test : public testing::Test {
 protected:
  broken_answer_test()
      : base_(event_base_new()), client_(base_.get(), "X-Request-Id") {}

  /** Makes a call and waits for its end. */
  call_outcome call(const std::string& address, std::size_t upload = 0) {
    outgoing_call what;
    what.address = address;
    what.method = "POST";
    what.target = "/x";
    what.series = series_;
    what.body = std::make_shared<const std::string>(upload, 'u');
    call_outcome out;
    call_client::handlers on;
    on.head = [&](const answer_head& head, const answer_carrier&) {
      out.status = head.status;
    };
    on.data = [&](const std::shared_ptr<const std::string>& data) {
      out.body += *data;
    };
    on.defect = [&](const answer_defect& why) { out.defect = why; };
    on.end = [&](call_end end) {
      out.end = end;
      event_base_loopbreak(base_.get());
    };
    const auto token = client_.start(std::move(what), std::move(on));
    run_loop(base_.get(), kPatience);
    if (!out.end) client_.cancel(token);
    return out;
  }

  call_outcome call_answered_by(const broken_answer& answer) {
    raw_target target(base_.get(), {answer.bytes}, raw_target::ending::close);
    return call(target.address());
  }

  base_handle base_;
  call_client client_;
  /** Of all calls; 0: no two share a connection. */
  std::uint64_t series_ = 0;
};

TEST_F(broken_answer_test, what_breaks_the_protocol_is_no_answer) {
  for (const auto& answer : broken_answers()) {
    const auto got = call_answered_by(answer);
    EXPECT_TRUE(got.end) << answer;
    EXPECT_NE(got.end, call_end::complete) << answer;
  }
}

// Without word of it, the target would count as silent.
TEST_F(broken_answer_test, a_head_that_is_cut_is_told) {
  for (const std::string bytes : {"H", "HTTP/1.1 200 OK\r\nX-Y: 1\r\n"}) {
    const auto got = call_answered_by({"cut", bytes});
    EXPECT_EQ(got.end, call_end::closed) << bytes;
    EXPECT_EQ(got.defect.fault, answer_fault::cut_head) << bytes;
  }
}

TEST_F(broken_answer_test, what_looks_odd_and_is_sound_is_an_answer) {
  for (const auto& answer : odd_answers()) {
    const auto got = call_answered_by(answer);
    EXPECT_EQ(got.end, call_end::complete) << answer;
    EXPECT_EQ(got.body, "ok") << answer;
  }
}

/** An answer that comes while its request is still written. */
class early_answer : public broken_answer_test {
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
TEST_F(early_answer, that_is_reset_is_not_whole) {
  for (const auto wait : kWaits) {
    for (int i = 0; i < 8; ++i) {
      const auto got = upload_to(close_delimited("200 OK"),
                                 early_target::ending::reset, wait);
      EXPECT_EQ(got.end, call_end::reset) << wait.count();
    }
  }
}

TEST_F(early_answer, whose_upload_stays_unread_is_not_whole) {
  for (const auto wait : kWaits) {
    for (int i = 0; i < 8; ++i) {
      const auto got = upload_to(close_delimited("200 OK"),
                                 early_target::ending::close_unread, wait);
      EXPECT_TRUE(got.end) << wait.count();
      EXPECT_NE(got.end, call_end::complete) << wait.count();
    }
  }
}

TEST_F(early_answer, that_is_closed_in_order_before_the_request_is_not_whole) {
  const auto got = upload_to(close_delimited("200 OK"),
                             early_target::ending::shut_down, 10ms);
  EXPECT_EQ(got.end, call_end::closed);
}

TEST_F(early_answer, that_refuses_in_order_is_whole) {
  const auto got = upload_to(close_delimited("413 Too Large"),
                             early_target::ending::shut_down, 10ms);
  EXPECT_EQ(got.end, call_end::complete);
  EXPECT_EQ(got.status, 413);
  EXPECT_EQ(got.body.size(), kBodyBytes);
}

TEST_F(early_answer, with_a_length_is_whole_though_its_connection_is_reset) {
  for (const auto wait : kWaits) {
    const auto got = upload_to(with_length("413 Too Large"),
                               early_target::ending::reset, wait);
    EXPECT_EQ(got.end, call_end::complete) << wait.count();
    EXPECT_EQ(got.body.size(), kBodyBytes) << wait.count();
  }
}

/** Reads nothing, and answers once a request is in the system's buffers. */
class unread_target {
 public:
  unread_target(event_base* base, std::string answer)
      : base_(base),
        answer_(std::move(answer)),
        listener_(base, [this](evutil_socket_t fd) { accept(fd); }) {}
  ~unread_target() {
    if (fd_ >= 0) close(fd_);
  }
  unread_target(const unread_target&) = delete;
  unread_target& operator=(const unread_target&) = delete;

  std::string address() const { return listener_.address(); }

 private:
  static constexpr duration kRequestWritten = 300ms;

  void accept(evutil_socket_t fd) {
    if (fd_ >= 0) close(fd_);
    fd_ = fd;
    const auto due = [](evutil_socket_t, short, void* arg) {
      const auto* self = static_cast<unread_target*>(arg);
      send(self->fd_, self->answer_.data(), self->answer_.size(), MSG_NOSIGNAL);
    };
    timer_.reset(event_new(base_, -1, 0, due, this));
    const auto wait = to_timeval(kRequestWritten);
    event_add(timer_.get(), &wait);
  }

  event_base* base_;
  std::string answer_;
  evutil_socket_t fd_ = -1;
  event_handle timer_;
  loopback_listener listener_;
};

// The rest of the request would go before the next one.
TEST_F(early_answer, whose_request_is_not_received_ends_its_connection) {
  constexpr std::size_t kFitsIntoBuffers = 1UL << 20U;
  unread_target target(base_.get(), with_length("503 Busy"));
  series_ = 1;
  for (int i = 0; i < 2; ++i) {
    const auto got = call(target.address(), kFitsIntoBuffers);
    EXPECT_EQ(got.end, call_end::complete);
  }
  EXPECT_EQ(client_.counts().reused, 0U);
}

TEST_F(early_answer, whose_request_was_read_is_whole_at_its_close) {
  const auto got = upload_to(close_delimited("200 OK"),
                             early_target::ending::read_and_close, 0ms);
  EXPECT_EQ(got.end, call_end::complete);
  EXPECT_EQ(got.body.size(), kBodyBytes);
}

}  // namespace
}  // namespace seamglade::detail
