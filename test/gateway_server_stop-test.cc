// seamglade - the callers' side of the direct path: the end of a process
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "gateway_http.h"

namespace seamglade::detail {
namespace {

// What was unsent 1 s behind an answer that ends its connection was dropped.
TEST_F(gateway_http, a_stop_cuts_no_answer_that_is_still_written) {
  const std::string large(32UL << 20U, 'x');
  on_request_ = [&](caller_id caller, const gateway::caller_message&) {
    answer(caller, 200, large);
    server_.drain();
    server_.close_idle();
  };
  const auto out = call(get("/x"));
  run();
  EXPECT_EQ(out->end, call_end::complete);
  EXPECT_EQ(out->body.size(), large.size());
}

TEST_F(gateway_http, ends_connections_between_requests_when_stopping) {
  server_.drain();
  const auto out = call(get("/x"));
  run();
  EXPECT_EQ(out->end, call_end::complete);
  run(100ms);
  EXPECT_EQ(call(get("/y"))->end, std::nullopt);
  run();
  EXPECT_EQ(client_.counts().opened, 2U);
}

// A connection that had just come up was closed before its request was read.
TEST_F(gateway_http, a_stop_closes_no_connection_that_is_about_to_ask) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  auto where = to_socket_address(address_);
  ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)), 0);
  const auto began = boot_now();
  run(50ms);
  ASSERT_EQ(server_.connection_count(), 1U);
  server_.drain();
  server_.close_idle();
  const auto open = server_.connection_count();
  // On a machine that stood still meanwhile it is no new connection.
  if (boot_now() - began < 1s) {
    EXPECT_EQ(open, 1U);
  }
  run(1100ms);
  server_.close_idle();
  EXPECT_EQ(server_.connection_count(), 0U);
  close(fd);
}

// The last answers of a process that ended at once were dropped.
TEST_F(gateway_http, a_stop_leaves_unsent_answers_to_the_system) {
  const std::string body(16384, 'x');
  std::unique_ptr<gateway_server> ending;
  ending = std::make_unique<gateway_server>(
      base_.get(), gateway_server::handlers{
                       [&](caller_id caller, const gateway::caller_message&) {
                         ending->drain();
                         ending->begin(caller, {200, "", {}, body.size()});
                         ending->write(
                             caller, std::make_shared<const std::string>(body));
                         ending->finish(caller);
                         stop();
                       },
                       [](caller_id) {}, [](int) {}});
  auto where = to_socket_address(ending->listen({"127.0.0.1", 0}).value());
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)), 0);
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  ASSERT_EQ(send(fd, request.data(), request.size(), 0),
            static_cast<ssize_t>(request.size()));
  run();
  EXPECT_GT(ending->unsent_bytes(), body.size());
  ending->hand_over_unsent();
  ending.reset();
  std::size_t got = 0;
  std::array<char, 4096> piece{};
  auto size = recv(fd, piece.data(), piece.size(), 0);
  for (; size > 0; size = recv(fd, piece.data(), piece.size(), 0)) {
    got += static_cast<std::size_t>(size);
  }
  close(fd);
  EXPECT_EQ(size, 0);
  EXPECT_GT(got, body.size());
}

// What a caller had begun to send was closed without a word at a stop's end.
TEST_F(gateway_http, a_stop_refuses_a_request_that_is_not_whole) {
  run_after(base_.get(), 50ms, [&] { server_.refuse_unread(); });
  const auto back =
      raw("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
  EXPECT_TRUE(back.starts_with("HTTP/1.1 503")) << back;
  EXPECT_NE(back.find("Retry-After: "), std::string::npos) << back;
  EXPECT_TRUE(seen_.empty());
}

}  // namespace
}  // namespace seamglade::detail
