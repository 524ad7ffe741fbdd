// seamglade - ports of connections that an instance opens, and its listeners
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <fstream>
#include <functional>
#include <optional>
#include <sstream>

#include "connection/call_client.h"
#include "connection/connect_probe.h"
#include "connection/listening.h"
#include "connection/peer_network.h"
#include "loopback_listener.h"

namespace seamglade::detail {
namespace {

/** Accepts one connection on loopback and tells where it comes from. */
class far_end {
 public:
  explicit far_end(event_base* base)
      : base_(base), listener_(base, [this](evutil_socket_t fd) {
          fd_ = fd;
          event_base_loopbreak(base_);
        }) {}
  far_end(const far_end&) = delete;
  far_end& operator=(const far_end&) = delete;
  ~far_end() { close(); }

  std::string address() const { return listener_.address(); }

  /** Waits for the connection; returns the address that it was opened from. */
  endpoint accepted_from() {
    if (fd_ < 0) event_base_dispatch(base_);
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    getpeername(fd_, reinterpret_cast<sockaddr*>(&from), &size);
    char host[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &from.sin_addr, host, sizeof(host));
    return {host, ntohs(from.sin_port)};
  }

  void close() {
    if (fd_ >= 0) evutil_closesocket(fd_);
    fd_ = -1;
  }

  /** Waits until the other side has closed, then closes. */
  void close_after_other() {
    evutil_make_socket_nonblocking(fd_);
    const auto ended = [](evutil_socket_t fd, short, void* arg) {
      char bytes[256];
      while (recv(fd, bytes, sizeof(bytes), 0) > 0) {
      }
      event_base_loopbreak(static_cast<event_base*>(arg));
    };
    const event_handle readable(event_new(base_, fd_, EV_READ, ended, base_));
    event_add(readable.get(), nullptr);
    event_base_dispatch(base_);
    close();
  }

 private:
  event_base* base_;
  evutil_socket_t fd_ = -1;
  loopback_listener listener_;
};

/** Returns why an address can't be listened on; nothing where it can. */
std::string why_not(const endpoint& where) {
  const auto socket = listening_socket(where, 1);
  if (!socket) return socket.error().detail;
  evutil_closesocket(socket.value());
  return {};
}

/** Returns how many sockets of this machine have a local port. */
std::size_t sockets_at(std::uint16_t port) {
  const auto mark = fmt::format(":{:04X}", port);
  std::ifstream table("/proc/net/tcp");
  std::size_t count = 0;
  for (std::string line; std::getline(table, line);) {
    std::istringstream words(line);
    std::string number;
    std::string own;
    words >> number >> own;
    if (own.ends_with(mark)) ++count;
  }
  return count;
}

class reused_port : public testing::Test {
 protected:
  // Callbacks that are due hold their connections.
  ~reused_port() override { event_base_loop(base_.get(), EVLOOP_NONBLOCK); }

  /**
   * Opens connections until one has a port that no socket of another process
   * has too: those need not let others listen.
   */
  endpoint own_port(const std::function<void()>& open) {
    constexpr int kTries = 20;
    endpoint port;
    for (int i = 0; i < kTries; ++i) {
      open();
      port = end_.accepted_from();
      if (sockets_at(port.port) == 1) break;
      end_.close();
    }
    return port;
  }

  base_handle base_{event_base_new()};
  far_end end_{base_.get()};
};

TEST_F(reused_port, a_call_keeps_no_listener_from_its_port) {
  call_client client(base_.get(), {});
  call_client::token token = 0;
  const auto port = own_port([&] {
    if (token != 0) client.cancel(token);
    outgoing_call call;
    call.address = end_.address();
    call.method = "GET";
    call.target = "/";
    call.host = "host";
    call.connect_timeout = 10s;
    token = client.start(std::move(call), {});
  });
  EXPECT_EQ(why_not(port), "");
  client.cancel(token);
  end_.close_after_other();
  EXPECT_EQ(why_not(port), "") << "in TIME-WAIT";
}

TEST_F(reused_port, a_probe_keeps_no_listener_from_its_port) {
  connect_prober prober(base_.get());
  const auto port =
      own_port([&] { prober.probe(end_.address(), [](connect_outcome) {}); });
  EXPECT_EQ(why_not(port), "");
}

TEST_F(reused_port, a_link_to_a_peer_keeps_no_listener_from_its_port) {
  std::optional<peer_network> peers;
  const auto port = own_port([&] {
    peers.emplace(base_.get(), hello{kProtocolVersion, "a", 1},
                  peer_observer{[](const instance_id&, std::uint64_t) {},
                                [](const instance_id&) {},
                                [](const instance_id&, const message&) {},
                                [](const failure&) {}});
    instance_entry peer;
    peer.id = "b";
    peer.address = end_.address();
    peers->set_peers({peer});
  });
  EXPECT_EQ(why_not(port), "");
}

}  // namespace
}  // namespace seamglade::detail
