// seamglade - the callers' listener when room or descriptors run out
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/gateway_server.h"

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

constexpr std::size_t kMegabyte = 1UL << 20U;
constexpr std::size_t kConnections = 3;

/** A caller whose loop is that of the server. */
class plain_caller {
 public:
  explicit plain_caller(const endpoint& to)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto address = to_socket_address(to);
    EXPECT_EQ(connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    evutil_make_socket_nonblocking(fd_);
  }
  ~plain_caller() { close(fd_); }
  plain_caller(const plain_caller&) = delete;
  plain_caller& operator=(const plain_caller&) = delete;

  void send(std::string_view bytes) const {
    EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }

  /** Sends as much as the system takes; returns how much. */
  std::size_t send_some(std::string_view bytes) const {
    if (bytes.empty()) return 0;
    const auto count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }

  /** Reads what has come; returns all that came. */
  const std::string& got() {
    char bytes[4096];
    ssize_t count = 0;
    while ((count = recv(fd_, bytes, sizeof(bytes), 0)) > 0) {
      got_.append(bytes, static_cast<std::size_t>(count));
    }
    is_closed_ = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    return got_;
  }

  bool is_closed() {
    got();
    return is_closed_;
  }

 private:
  int fd_;
  std::string got_;
  bool is_closed_ = false;
};

/** Turns the loop until a time has passed; returns how often it turned. */
std::size_t turns_in(event_base* base, duration wait) {
  bool is_over = false;
  run_after(base, wait, [&] { is_over = true; });
  std::size_t turns = 0;
  while (!is_over) {
    event_base_loop(base, EVLOOP_ONCE);
    ++turns;
  }
  return turns;
}

std::string head_of(std::size_t length) {
  return "POST / HTTP/1.1\r\nHost: a\r\nRelay: 7\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

const std::string kSmall = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

class resource_bounds : public testing::Test {
 protected:
  resource_bounds()
      : base_(event_base_new()),
        bytes_(std::make_shared<byte_budget>(8 * kMegabyte)),
        server_(
            base_.get(),
            {[this](caller_id caller, const auto&) {
               ++requests_;
               on_request_(caller);
             },
             [this](caller_id caller) { gone_.push_back(caller); }, [](int) {},
             [](const std::vector<http_header>& request) {
               auto out = request;
               std::erase_if(out, [](const auto& header) {
                 return header.name != "Relay";
               });
               return out;
             }},
            1, {bytes_, listener_use::callers, kConnections}) {
    // As the process does.
    signal(SIGPIPE, SIG_IGN);
    address_ = server_.listen({"127.0.0.1", 0}).value();
    on_request_ = [this](caller_id caller) { answer(caller); };
  }

  void answer(caller_id caller) {
    server_.begin(caller, {200, "", {}, 2});
    server_.write(caller, std::make_shared<const std::string>("ok"));
    server_.finish(caller);
  }

  /** Turns the loop until something holds; fails if it never does. */
  void until(const std::function<bool()>& holds) {
    for (int i = 0; i < 500 && !holds(); ++i) turns_in(10ms);
    EXPECT_TRUE(holds());
  }

  std::size_t turns_in(duration wait) {
    return detail::turns_in(base_.get(), wait);
  }

  base_handle base_;
  std::size_t requests_ = 0;
  std::vector<caller_id> gone_;
  std::function<void(caller_id)> on_request_;
  std::shared_ptr<byte_budget> bytes_;
  gateway_server server_;
  endpoint address_;
};

TEST_F(resource_bounds, accept_without_a_descriptor_does_not_spin) {
  const plain_caller caller(address_);
  caller.send(kSmall);
  auto* const base = base_.get();
  std::size_t turns = 0;
  {
    // The sanitizer's look at a fixture needs a descriptor.
    const all_descriptors taken;
    turns = detail::turns_in(base, 500ms);
  }
  EXPECT_LT(turns, 100U);
  EXPECT_EQ(requests_, 0U);
  EXPECT_GT(server_.counts().accept_rests, 0U);
  until([&] { return requests_ == 1; });
}

// Guards against callers kept out by connections that send half a head.
TEST_F(resource_bounds, who_is_longest_within_a_head_gives_its_place) {
  gateway::caller_limits limits;
  limits.header_timeout = 60s;
  server_.set_limits(limits);
  std::vector<std::unique_ptr<plain_caller>> slow;
  for (std::size_t i = 0; i < kConnections; ++i) {
    slow.push_back(std::make_unique<plain_caller>(address_));
    slow.back()->send("GET / HTTP/1.1\r\n");
    turns_in(20ms);
  }
  plain_caller early(address_);
  until([&] { return early.is_closed(); });
  turns_in(1s);
  // More of its head is no new beginning.
  slow[0]->send("Host: a\r\n");
  turns_in(20ms);
  plain_caller sound(address_);
  sound.send(kSmall);
  until([&] { return sound.got().ends_with("ok"); });
  EXPECT_TRUE(slow[0]->is_closed());
  EXPECT_FALSE(slow[1]->is_closed());
  slow[1]->send("Host: a\r\n\r\n");
  until([&] { return slow[1]->got().ends_with("ok"); });
  EXPECT_EQ(server_.counts().replaced, 1U);
}

TEST_F(resource_bounds, an_answer_that_refuses_a_slow_head_is_not_cut) {
  gateway::caller_limits limits;
  limits.header_timeout = 1200ms;
  server_.set_limits(limits);
  std::vector<std::unique_ptr<plain_caller>> slow;
  for (std::size_t i = 0; i < kConnections; ++i) {
    slow.push_back(std::make_unique<plain_caller>(address_));
    slow.back()->send("GET / HTTP/1.1\r\n");
  }
  until([&] { return !slow[0]->got().empty(); });
  plain_caller next(address_);
  turns_in(50ms);
  for (const auto& one : slow) {
    EXPECT_TRUE(one->got().starts_with("HTTP/1.1 408 "));
  }
}

TEST_F(resource_bounds, large_upload_beyond_the_room_is_refused_at_once) {
  const plain_caller first(address_);
  first.send(head_of(3 * kMegabyte));
  until([&] { return bytes_->reserved() >= 3 * kMegabyte; });
  plain_caller second(address_);
  second.send(head_of(2 * kMegabyte));
  until([&] { return second.is_closed(); });
  EXPECT_TRUE(second.got().starts_with("HTTP/1.1 503 "));
  EXPECT_NE(second.got().find("\r\nRetry-After: 1\r\n"), std::string::npos);
  EXPECT_NE(second.got().find("\r\nConnection: close\r\n"), std::string::npos);
  EXPECT_NE(second.got().find("\r\nRelay: 7\r\n"), std::string::npos);
  EXPECT_EQ(requests_, 0U);
  EXPECT_EQ(server_.counts().room_refusals, 1U);
}

TEST_F(resource_bounds, small_requests_are_served_beside_large_uploads) {
  const plain_caller large(address_);
  large.send(head_of(4 * kMegabyte - 1024));
  until([&] { return bytes_->reserved() > 3 * kMegabyte; });
  plain_caller small(address_);
  small.send(kSmall);
  until([&] { return small.got().ends_with("ok"); });
}

TEST_F(resource_bounds, upload_in_chunks_is_refused_once_it_does_not_fit) {
  const plain_caller first(address_);
  first.send(head_of(4 * kMegabyte - 2048));
  until([&] { return bytes_->reserved() > 3 * kMegabyte; });
  plain_caller second(address_);
  second.send(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string piece = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
  for (int i = 0; i < 100 && !second.is_closed(); ++i) {
    second.send(piece);
    turns_in(5ms);
    if (!second.got().empty()) break;
  }
  EXPECT_TRUE(second.got().starts_with("HTTP/1.1 503 "));
  EXPECT_EQ(requests_, 0U);
}

TEST_F(resource_bounds, request_that_never_fits_is_too_large) {
  gateway::caller_limits limits;
  limits.body_bytes = 8 * kMegabyte;
  server_.set_limits(limits);
  plain_caller caller(address_);
  caller.send(head_of(5 * kMegabyte));
  until([&] { return caller.is_closed(); });
  EXPECT_TRUE(caller.got().starts_with("HTTP/1.1 413 "));
}

TEST_F(resource_bounds, room_is_kept_until_the_request_is_finished) {
  std::optional<caller_id> under_way;
  on_request_ = [&](caller_id caller) { under_way = caller; };
  plain_caller caller(address_);
  caller.send(head_of(100000) + std::string(100000, 'x'));
  until([&] { return under_way.has_value(); });
  EXPECT_GE(bytes_->reserved(), 100000U);
  answer(*under_way);
  EXPECT_EQ(bytes_->reserved(), 0U);
  until([&] { return caller.got().ends_with("ok"); });
}

TEST_F(resource_bounds, room_of_a_caller_that_left_is_free) {
  {
    const plain_caller caller(address_);
    caller.send(head_of(3 * kMegabyte));
    until([&] { return bytes_->reserved() >= 3 * kMegabyte; });
  }
  until([&] { return bytes_->reserved() == 0; });
}

TEST_F(resource_bounds, unfinished_heads_count) {
  const plain_caller caller(address_);
  caller.send("GET / HTTP/1.1\r\nHost: a\r\nX-A: " + std::string(9000, 'x'));
  until([&] { return bytes_->reserved() > 9000; });
}

TEST_F(resource_bounds, caller_with_the_most_unsent_is_broken_off) {
  const auto half = std::make_shared<const std::string>(kMegabyte / 2, 'x');
  std::vector<caller_id> callers;
  on_request_ = [&](caller_id caller) {
    callers.push_back(caller);
    server_.begin(caller, {200, "", {}, 3 * kMegabyte + kMegabyte / 2});
    if (callers.size() < 2) return;
    // Nothing is sent before the loop turns.
    server_.write(callers[0], half);
    for (int i = 0; i < 6; ++i) server_.write(callers[1], half);
  };
  plain_caller first(address_);
  first.send(kSmall);
  until([&] { return callers.size() == 1; });
  plain_caller second(address_);
  second.send(kSmall);
  until([&] { return gone_.size() == 1; });
  EXPECT_EQ(gone_, std::vector<caller_id>{callers[1]});
  EXPECT_EQ(server_.counts().broken_off, 1U);
  for (int i = 0; i < 6; ++i) server_.write(callers[0], half);
  server_.finish(callers[0]);
  until([&] { return first.got().size() > 3 * kMegabyte + kMegabyte / 2; });
  EXPECT_TRUE(second.is_closed());
  EXPECT_LT(second.got().size(), 3 * kMegabyte);
}

TEST_F(resource_bounds, new_connection_takes_the_place_of_the_longest_idle) {
  std::vector<std::unique_ptr<plain_caller>> waiting;
  for (std::size_t i = 0; i < kConnections; ++i) {
    waiting.push_back(std::make_unique<plain_caller>(address_));
    until([&] { return server_.connection_count() == i + 1; });
  }
  // The first one is no longer idle.
  waiting[0]->send("GET / HT");
  turns_in(1200ms);
  plain_caller late(address_);
  late.send(kSmall);
  until([&] { return late.got().ends_with("ok"); });
  EXPECT_FALSE(waiting[0]->is_closed());
  EXPECT_TRUE(waiting[1]->is_closed());
  EXPECT_FALSE(waiting[2]->is_closed());
  EXPECT_EQ(server_.counts().replaced, 1U);
}

TEST_F(resource_bounds, connection_without_a_place_is_closed_unread) {
  std::vector<std::unique_ptr<plain_caller>> busy;
  for (std::size_t i = 0; i < kConnections; ++i) {
    busy.push_back(std::make_unique<plain_caller>(address_));
    busy.back()->send("GET / HT");
  }
  until([&] { return server_.connection_count() == kConnections; });
  plain_caller late(address_);
  until([&] { return late.is_closed(); });
  EXPECT_EQ(late.got(), "");
  EXPECT_EQ(server_.counts().closed_unread, 1U);
  EXPECT_EQ(server_.connection_count(), kConnections);
}

TEST_F(resource_bounds, bytes_sent_ahead_do_not_spin) {
  std::optional<caller_id> under_way;
  on_request_ = [&](caller_id caller) { under_way = caller; };
  plain_caller caller(address_);
  caller.send(kSmall);
  until([&] { return under_way.has_value(); });
  on_request_ = [&](caller_id next) { answer(next); };
  // Far more than is read while a request is under way.
  const std::string ahead(200000, 'x');
  const auto next = head_of(ahead.size()) + ahead;
  std::size_t sent = 0;
  const auto send_some = [&] {
    sent += caller.send_some(std::string_view(next).substr(sent));
  };
  send_some();
  EXPECT_LT(turns_in(200ms), 100U);
  EXPECT_EQ(requests_, 1U);
  answer(*under_way);
  until([&] {
    send_some();
    return requests_ == 2;
  });
}

}  // namespace
}  // namespace seamglade::detail
