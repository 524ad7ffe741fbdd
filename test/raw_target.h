// seamglade - a target that sends given bytes, for tests of HTTP over sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_RAW_TARGET_H_
#define SEAMGLADE_TEST_RAW_TARGET_H_

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "connection/event_handles.h"
#include "loopback_listener.h"

namespace seamglade::detail {

/** Sends one answer, piece by piece, and ends its connection. */
class raw_target {
 public:
  /** `end`: the target ends, and with it its listener. */
  enum class ending : std::uint8_t { close, reset, none, end };

  raw_target(event_base* base, std::vector<std::string> pieces, ending how)
      : pieces_(std::move(pieces)), how_(how) {
    listener_.emplace(base, [this](evutil_socket_t fd) { accept(fd); });
    const auto tick = [](evutil_socket_t, short, void* self) {
      static_cast<raw_target*>(self)->step();
    };
    timer_.reset(event_new(base, -1, EV_PERSIST, tick, this));
  }
  ~raw_target() {
    if (fd_ >= 0) close(fd_);
  }
  raw_target(const raw_target&) = delete;
  raw_target& operator=(const raw_target&) = delete;

  std::string address() const { return listener_->address(); }

 private:
  void accept(evutil_socket_t fd) {
    fd_ = fd;
    evutil_make_socket_nonblocking(fd);
    const auto wait = to_timeval(20ms);
    event_add(timer_.get(), &wait);
  }

  void step() {
    char request[4096];
    // Unread bytes would turn the close into a reset.
    while (recv(fd_, request, sizeof(request), 0) > 0) {
    }
    if (next_ < pieces_.size()) {
      const auto& piece = pieces_[next_++];
      EXPECT_EQ(send(fd_, piece.data(), piece.size(), 0),
                static_cast<ssize_t>(piece.size()));
      return;
    }
    event_del(timer_.get());
    if (how_ == ending::none) return;
    if (how_ == ending::reset) set_reset_on_close(fd_, true);
    close(std::exchange(fd_, -1));
    if (how_ == ending::end) listener_.reset();
  }

  std::vector<std::string> pieces_;
  ending how_;
  std::size_t next_ = 0;
  evutil_socket_t fd_ = -1;
  std::optional<loopback_listener> listener_;
  event_handle timer_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_TEST_RAW_TARGET_H_
