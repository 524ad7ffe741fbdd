// seamglade - the callers' listener when room or descriptors run out
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/gateway_server.h"
#include "raw_caller.h"

namespace seamglade::detail {
namespace {

/** All descriptors that the process may have, but those in use. */
class all_descriptors {
 public:
  all_descriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    auto few = before_;
    few.rlim_cur = 64;
    setrlimit(RLIMIT_NOFILE, &few);
    for (int fd = dup(0); fd >= 0; fd = dup(0)) taken_.push_back(fd);
  }
  ~all_descriptors() {
    for (const int fd : taken_) close(fd);
    setrlimit(RLIMIT_NOFILE, &before_);
  }
  all_descriptors(const all_descriptors&) = delete;
  all_descriptors& operator=(const all_descriptors&) = delete;

 private:
  rlimit before_{};
  std::vector<int> taken_;
};

class resource_bounds : public testing::Test {
 protected:
  resource_bounds()
      : base_(event_base_new()),
        server_(base_.get(), {[this](caller_id caller, const auto&) {
                                ++requests_;
                                on_request_(caller);
                              },
                              [](caller_id) {}, [](int) {}}) {
    address_ = server_.listen({"127.0.0.1", 0}).value();
    on_request_ = [this](caller_id caller) { answer(caller); };
  }

  void answer(caller_id caller) {
    server_.begin(caller, {200, "", {}, 2});
    server_.write(caller, std::make_shared<const std::string>("ok"));
    server_.finish(caller);
  }

  /** Turns the loop until a time has passed; returns how often it turned. */
  std::size_t turns_in(duration wait) {
    bool is_over = false;
    run_after(base_.get(), wait, [&] { is_over = true; });
    std::size_t turns = 0;
    for (; !is_over; ++turns) event_base_loop(base_.get(), EVLOOP_ONCE);
    return turns;
  }

  base_handle base_;
  std::size_t requests_ = 0;
  std::function<void(caller_id)> on_request_;
  gateway_server server_;
  endpoint address_;
};

TEST_F(resource_bounds, accept_without_a_descriptor_does_not_spin) {
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  const auto to = to_socket_address(address_);
  ASSERT_EQ(connect(caller, reinterpret_cast<const sockaddr*>(&to), sizeof(to)),
            0);
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  ASSERT_GT(write(caller, request.data(), request.size()), 0);
  {
    const all_descriptors taken;
    EXPECT_LT(turns_in(500ms), 100U);
    EXPECT_EQ(requests_, 0U);
  }
  for (int i = 0; i < 30 && requests_ == 0; ++i) turns_in(100ms);
  EXPECT_EQ(requests_, 1U);
  close(caller);
}

}  // namespace
}  // namespace seamglade::detail
