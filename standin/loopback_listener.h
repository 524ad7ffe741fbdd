// seamglade - a listener on loopback, for stand-ins and tests that speak bytes
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_LOOPBACK_LISTENER_H_
#define SEAMGLADE_STANDIN_LOOPBACK_LISTENER_H_

#include <functional>
#include <string>
#include <utility>

#include "connection/event_handles.h"

namespace seamglade::detail {

/** Hands out the connections that come to a free port of 127.0.0.1. */
class loopback_listener {
 public:
  using accept_handler = std::function<void(evutil_socket_t)>;

  loopback_listener(event_base* base, accept_handler accept)
      : accept_(std::move(accept)) {
    constexpr int kBacklog = 64;
    auto where = to_socket_address({"127.0.0.1", 0});
    const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr*,
                             int, void* self) {
      static_cast<loopback_listener*>(self)->accept_(fd);
    };
    listener_.reset(evconnlistener_new_bind(
        base, accepted, this, LEV_OPT_CLOSE_ON_FREE, kBacklog,
        reinterpret_cast<sockaddr*>(&where), sizeof(where)));
  }
  loopback_listener(const loopback_listener&) = delete;
  loopback_listener& operator=(const loopback_listener&) = delete;

  /** Returns its IP:port. */
  std::string address() const {
    return bound_endpoint(evconnlistener_get_fd(listener_.get())).str();
  }

 private:
  accept_handler accept_;
  listener_handle listener_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_STANDIN_LOOPBACK_LISTENER_H_
