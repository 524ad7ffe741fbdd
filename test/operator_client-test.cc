// seamglade - the operators' client before listeners that answer oddly
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/operator_client.h"

#include <gtest/gtest.h>

#include "broken_answers.h"
#include "raw_target.h"

namespace seamglade::detail {
namespace {

result<std::string> ask_one_that_sends(
    const std::string& bytes,
    raw_target::ending ending = raw_target::ending::close) {
  const base_handle base(event_base_new());
  raw_target target(base.get(), {bytes}, ending);
  return ask_operator(base.get(), target.address(), "POST", "/drain");
}

std::string answer_of(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok";
}

TEST(operator_client, returns_the_body_of_a_success) {
  for (const std::string status : {"200 OK", "202 Accepted"}) {
    const auto got = ask_one_that_sends(answer_of(status));
    ASSERT_TRUE(got) << status;
    EXPECT_EQ(got.value(), "ok") << status;
  }
}

// `drain` said that an instance drains that had answered 404.
TEST(operator_client, takes_no_other_status_for_an_answer) {
  for (const std::string status :
       {"302 Found", "404 Not Found", "405 Not Allowed", "500 Trouble",
        "503 Unavailable"}) {
    const auto got = ask_one_that_sends(answer_of(status));
    ASSERT_FALSE(got) << status;
    EXPECT_EQ(got.error().code, errc::service_unreachable) << status;
  }
}

TEST(operator_client, takes_no_broken_answer_for_one) {
  for (const auto& answer : broken_answers()) {
    EXPECT_FALSE(ask_one_that_sends(answer.bytes)) << answer;
  }
  const std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok";
  EXPECT_FALSE(ask_one_that_sends(cut));
  EXPECT_FALSE(ask_one_that_sends(cut, raw_target::ending::reset));
}

}  // namespace
}  // namespace seamglade::detail
