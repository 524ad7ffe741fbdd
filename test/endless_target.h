// seamglade - a target whose bytes never end, for tests of HTTP over sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_ENDLESS_TARGET_H_
#define SEAMGLADE_TEST_ENDLESS_TARGET_H_

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>

#include "connection/event_handles.h"
#include "loopback_listener.h"

namespace seamglade::detail {

/** Sends a beginning, and then a piece again and again until it is closed. */
class endless_target {
 public:
  endless_target(event_base* base, std::string beginning, std::string piece)
      : base_(base),
        beginning_(std::move(beginning)),
        piece_(std::move(piece)),
        listener_(base, [this](evutil_socket_t fd) { accept(fd); }) {}
  ~endless_target() {
    if (fd_ >= 0) close(fd_);
  }
  endless_target(const endless_target&) = delete;
  endless_target& operator=(const endless_target&) = delete;

  std::string address() const { return listener_.address(); }
  /** Bytes that the other side's system has taken. */
  std::size_t sent() const { return sent_; }
  bool was_closed() const { return was_closed_; }

 private:
  void accept(evutil_socket_t fd) {
    fd_ = fd;
    evutil_make_socket_nonblocking(fd);
    unsent_ = beginning_;
    const auto writable = [](evutil_socket_t, short, void* self) {
      static_cast<endless_target*>(self)->write();
    };
    event_.reset(event_new(base_, fd, EV_WRITE | EV_PERSIST, writable, this));
    event_add(event_.get(), nullptr);
  }

  void write() {
    if (unsent_.empty()) unsent_ = piece_;
    const auto count = send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (count < 0) {
      was_closed_ = true;
      event_.reset();
      close(std::exchange(fd_, -1));
      return;
    }
    sent_ += static_cast<std::size_t>(count);
    unsent_.erase(0, static_cast<std::size_t>(count));
  }

  event_base* base_;
  std::string beginning_;
  std::string piece_;
  std::string unsent_;
  std::size_t sent_ = 0;
  bool was_closed_ = false;
  evutil_socket_t fd_ = -1;
  event_handle event_;
  loopback_listener listener_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_TEST_ENDLESS_TARGET_H_
