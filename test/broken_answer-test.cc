// seamglade - answers that break the protocol or off, before raw sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>

#include <array>

#include "broken_answers.h"
#include "connection/call_client.h"
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
  std::optional<call_end> end;
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
    what.body = std::make_shared<const std::string>(upload, 'u');
    call_outcome out;
    call_client::handlers on;
    on.head = [&](const answer_head& head, const answer_carrier&) {
      out.status = head.status;
    };
    on.data = [&](const std::shared_ptr<const std::string>& data) {
      out.body += *data;
    };
    on.end = [&](call_end end) {
      out.end = end;
      event_base_loopbreak(base_.get());
    };
    const auto token = client_.start(std::move(what), std::move(on));
    const auto wait = to_timeval(kPatience);
    event_base_loopexit(base_.get(), &wait);
    event_base_dispatch(base_.get());
    if (!out.end) client_.cancel(token);
    return out;
  }

  call_outcome call_answered_by(const broken_answer& answer) {
    raw_target target(base_.get(), {answer.bytes}, raw_target::ending::close);
    return call(target.address());
  }

  base_handle base_;
  call_client client_;
};

TEST_F(broken_answer_test, what_breaks_the_protocol_is_no_answer) {
  for (const auto& answer : broken_answers()) {
    const auto got = call_answered_by(answer);
    EXPECT_TRUE(got.end) << answer;
    EXPECT_NE(got.end, call_end::complete) << answer;
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

TEST_F(early_answer, whose_request_was_read_is_whole_at_its_close) {
  const auto got = upload_to(close_delimited("200 OK"),
                             early_target::ending::read_and_close, 0ms);
  EXPECT_EQ(got.end, call_end::complete);
  EXPECT_EQ(got.body.size(), kBodyBytes);
}

}  // namespace
}  // namespace seamglade::detail
