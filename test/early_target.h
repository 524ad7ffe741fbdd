// seamglade - a target that answers while a request is still written
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_EARLY_TARGET_H_
#define SEAMGLADE_TEST_EARLY_TARGET_H_

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>

#include "connection/event_handles.h"
#include "loopback_listener.h"

namespace seamglade::detail {

/** Reads the beginning of a request, answers, and ends its connection. */
class early_target {
 public:
  enum class ending : std::uint8_t {
    reset,
    /** Closed with unread bytes, so that its system resets it. */
    close_unread,
    /** Closed in order, one way; what comes stays unread. */
    shut_down,
    /** The whole request is read before the answer. */
    read_and_close
  };

  /** `wait`: from the answer to the end. */
  early_target(event_base* base, std::string answer, ending how, duration wait)
      : base_(base),
        answer_(std::move(answer)),
        how_(how),
        wait_(wait),
        listener_(base, [this](evutil_socket_t fd) { accept(fd); }) {}
  ~early_target() {
    if (fd_ >= 0) close(fd_);
  }
  early_target(const early_target&) = delete;
  early_target& operator=(const early_target&) = delete;

  std::string address() const { return listener_.address(); }

 private:
  /** Without a byte for so long, the request is taken to be whole. */
  static constexpr duration kRequestRead = 200ms;

  void accept(evutil_socket_t fd) {
    fd_ = fd;
    evutil_make_socket_nonblocking(fd);
    const auto came = [](evutil_socket_t, short what, void* self) {
      static_cast<early_target*>(self)->read((what & EV_TIMEOUT) != 0);
    };
    readable_.reset(event_new(base_, fd, EV_READ | EV_PERSIST, came, this));
    const auto wait = to_timeval(kRequestRead);
    event_add(readable_.get(), &wait);
  }

  void read(bool is_silent) {
    char bytes[65536];
    const bool reads_all = how_ == ending::read_and_close;
    const auto most = reads_all ? sizeof(bytes) : 1024UL;
    if (!is_silent) {
      EXPECT_GT(recv(fd_, bytes, most, 0), 0);
    }
    if (reads_all && !is_silent) return;
    readable_.reset();
    EXPECT_EQ(send(fd_, answer_.data(), answer_.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(answer_.size()));
    if (wait_ == duration::zero()) return end();
    const auto due = [](evutil_socket_t, short, void* self) {
      static_cast<early_target*>(self)->end();
    };
    timer_.reset(event_new(base_, -1, 0, due, this));
    const auto wait = to_timeval(wait_);
    event_add(timer_.get(), &wait);
  }

  void end() {
    if (how_ == ending::shut_down) {
      shutdown(fd_, SHUT_WR);
      return;
    }
    if (how_ == ending::reset) set_reset_on_close(fd_, true);
    close(std::exchange(fd_, -1));
  }

  event_base* base_;
  std::string answer_;
  ending how_;
  duration wait_;
  evutil_socket_t fd_ = -1;
  event_handle readable_;
  event_handle timer_;
  loopback_listener listener_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_TEST_EARLY_TARGET_H_
