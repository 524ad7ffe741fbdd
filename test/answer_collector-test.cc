// seamglade - broken answers where a whole one is wanted, before raw sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/answer_collector.h"

#include <gtest/gtest.h>

#include "broken_answers.h"
#include "raw_target.h"

namespace seamglade::detail {
namespace {

constexpr answer_bounds kBounds{5s, 1UL << 20U};

/** Wants the answer of a target that sends these pieces. */
collected_answer collect(const std::vector<std::string>& pieces,
                         raw_target::ending ending) {
  const base_handle base(event_base_new());
  raw_target target(base.get(), pieces, ending);
  call_client client(base.get(), {});
  outgoing_call call;
  call.address = target.address();
  call.method = "GET";
  call.target = "/x";
  collected_answer out;
  collect_answer(base.get(), client, std::move(call), kBounds,
                 [&](collected_answer got) {
                   out = std::move(got);
                   event_base_loopbreak(base.get());
                 });
  event_base_dispatch(base.get());
  return out;
}

TEST(answer_collector, takes_no_broken_answer_for_one) {
  for (const auto& answer : broken_answers()) {
    const auto got = collect({answer.bytes}, raw_target::ending::close);
    EXPECT_FALSE(got.status) << answer;
    EXPECT_EQ(got.body, "") << answer;
  }
}

// A text that is cut or reset may be JSON all the same.
TEST(answer_collector, takes_no_answer_that_broke_off_for_one) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  using ending = raw_target::ending;
  for (const auto how : {ending::close, ending::reset}) {
    const auto with_length = ok + "Content-Length: 4\r\n\r\n";
    EXPECT_FALSE(collect({with_length, "{}"}, how).status);
    const auto in_chunks = ok + "Transfer-Encoding: chunked\r\n\r\n";
    EXPECT_FALSE(collect({in_chunks, "2\r\n{}\r\n"}, how).status);
  }
  EXPECT_FALSE(collect({ok + "\r\n", "{}"}, ending::reset).status);
}

TEST(answer_collector, takes_a_whole_answer) {
  for (const auto& answer : odd_answers()) {
    const auto got = collect({answer.bytes}, raw_target::ending::close);
    EXPECT_TRUE(got.status) << answer;
    EXPECT_EQ(got.body, "ok") << answer;
  }
}

}  // namespace
}  // namespace seamglade::detail
