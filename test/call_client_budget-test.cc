// seamglade - connections of clients that share a budget
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <map>

#include "connection/call_client.h"
#include "connection/connect_probe.h"
#include "loop_patience.h"
#include "repeating_target.h"

namespace seamglade::detail {
namespace {

constexpr std::size_t kBound = 8;
/** Of the bound, for requests. */
constexpr std::size_t kForRequests = 6;
constexpr duration kPatience = 3s;

/** A listener that takes connections and answers nothing. */
class silent_target {
 public:
  silent_target() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    auto where = to_socket_address({"127.0.0.1", 0});
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&where), sizeof(where)), 0);
    EXPECT_EQ(listen(fd_, 64), 0);
  }
  ~silent_target() { close(fd_); }
  silent_target(const silent_target&) = delete;
  silent_target& operator=(const silent_target&) = delete;

  std::string address() const { return bound_endpoint(fd_).str(); }

 private:
  int fd_;
};

class call_client_budget : public testing::Test {
 protected:
  call_client_budget()
      : base_(event_base_new()),
        budget_(std::make_shared<connection_budget>(kBound)),
        target_(base_.get(),
                [](const auto&) { return repeating_target::reply(); }),
        client_(base_.get(), kNameHeader, budget_),
        other_(base_.get(), "", budget_),
        prober_(base_.get(), budget_) {}

  /** What the loop has still to do would be lost, and what it holds. */
  void TearDown() override { run_loop(base_.get(), 10ms); }

  /** Begins a call; its end stands in `ends_` under the number returned. */
  int begin(call_client& client, const std::string& address,
            const std::string& name, connection_use use) {
    const int number = next_++;
    outgoing_call call;
    call.address = address;
    call.method = "POST";
    call.target = "/x";
    call.host = std::to_string(number);
    call.name = name;
    if (!name.empty()) call.headers = {{kNameHeader, name}};
    call.use = use;
    call_client::handlers on;
    on.head = [](const answer_head&, const answer_carrier&) {};
    on.data = [](const std::shared_ptr<const std::string>&) {};
    on.end = [this, number](call_end end) {
      ends_[number] = end;
      event_base_loopbreak(base_.get());
    };
    client.start(std::move(call), std::move(on));
    return number;
  }

  call_end end_of(int number) {
    while (!ends_.contains(number)) {
      const auto before = ends_.size();
      run_loop(base_.get(), kPatience);
      if (ends_.size() == before) break;
    }
    EXPECT_TRUE(ends_.contains(number));
    return ends_[number];
  }

  void fill_with_requests() {
    for (std::size_t n = 0; n < kForRequests; ++n) {
      begin(client_, silent_.address(), fmt::format("full-{}", n),
            connection_use::requests);
    }
  }

  base_handle base_;
  std::shared_ptr<connection_budget> budget_;
  repeating_target target_;
  silent_target silent_;
  call_client client_;
  call_client other_;
  connect_prober prober_;
  std::map<int, call_end> ends_;
  int next_ = 1;
};

// Guards against a connection kept for each call of one name.
TEST_F(call_client_budget, calls_of_one_name_keep_few_connections) {
  call_client unbounded(base_.get(), kNameHeader);
  for (int n = 0; n < 100; ++n) {
    for (auto* client : {&client_, &unbounded}) {
      EXPECT_EQ(end_of(begin(*client, target_.address(), "again",
                             connection_use::requests)),
                call_end::complete);
    }
    EXPECT_LE(budget_->open(), kBound);
    EXPECT_LE(unbounded.idle_count(), kUsualIdle);
  }
  EXPECT_EQ(budget_->counts().refused, 0U);
}

TEST_F(call_client_budget, a_call_that_finds_no_room_ends_at_once) {
  fill_with_requests();
  EXPECT_EQ(end_of(begin(client_, target_.address(), "one-more",
                         connection_use::requests)),
            call_end::no_room);
  EXPECT_EQ(budget_->counts().refused, 1U);
}

TEST_F(call_client_budget, control_is_heard_while_requests_have_their_part) {
  fill_with_requests();
  EXPECT_EQ(
      end_of(begin(client_, target_.address(), "", connection_use::control)),
      call_end::complete);
  EXPECT_EQ(
      end_of(begin(other_, target_.address(), "", connection_use::control)),
      call_end::complete);
}

TEST_F(call_client_budget, an_idle_connection_of_another_client_gives_way) {
  for (std::size_t n = 0; n < kBound; ++n) {
    EXPECT_EQ(end_of(begin(client_, target_.address(), "again",
                           connection_use::control)),
              call_end::complete);
  }
  EXPECT_EQ(client_.idle_count(), kBound);
  EXPECT_EQ(
      end_of(begin(other_, target_.address(), "", connection_use::control)),
      call_end::complete);
  EXPECT_EQ(client_.idle_count(), kBound - 1);
  EXPECT_EQ(budget_->counts().replaced, 1U);
}

TEST_F(call_client_budget, a_probe_waits_for_room) {
  std::vector<call_client::token> calls;
  for (std::size_t n = 0; n < kBound; ++n) {
    outgoing_call call;
    call.address = silent_.address();
    call.method = "GET";
    call.target = "/x";
    call_client::handlers on;
    on.end = [](call_end) {};
    calls.push_back(client_.start(std::move(call), std::move(on)));
  }
  std::optional<connect_outcome> outcome;
  prober_.probe(target_.address(), [&](connect_outcome how) {
    outcome = how;
    event_base_loopbreak(base_.get());
  });
  run_loop(base_.get(), 60ms);
  EXPECT_FALSE(outcome);
  client_.cancel(calls.front());
  run_loop(base_.get(), kPatience);
  EXPECT_EQ(outcome, connect_outcome::connected);
}

TEST_F(call_client_budget, a_call_without_a_descriptor_blames_no_target) {
  outgoing_call call;
  call.address = target_.address();
  call.method = "GET";
  call.target = "/x";
  std::optional<call_end> ended;
  call_client::handlers on;
  on.end = [&](call_end end) {
    ended = end;
    event_base_loopbreak(base_.get());
  };
  call.is_alone = true;
  // The sanitizer needs descriptors for types that it has not seen before.
  auto& client = client_;
  EXPECT_EQ(end_of(begin(client, target_.address(), "first",
                         connection_use::requests)),
            call_end::complete);
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  auto none = before;
  const int next = dup(0);
  close(next);
  none.rlim_cur = static_cast<rlim_t>(next);
  setrlimit(RLIMIT_NOFILE, &none);
  client.start(std::move(call), std::move(on));
  setrlimit(RLIMIT_NOFILE, &before);
  run_loop(base_.get(), kPatience);
  EXPECT_EQ(ended, call_end::no_room);
  EXPECT_EQ(budget_->open(), budget_->idle());
}

}  // namespace
}  // namespace seamglade::detail
