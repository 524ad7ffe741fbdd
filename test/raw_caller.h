// seamglade - a caller that sends given bytes, for tests of HTTP over sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_RAW_CALLER_H_
#define SEAMGLADE_TEST_RAW_CALLER_H_

#include <string>

#include "connection/event_handles.h"
#include "loop_patience.h"

namespace seamglade::detail {

/** What came back on one connection. */
struct raw_reply {
  std::string bytes;
  /** It ended by a reset, not in order. */
  bool was_reset = false;
};

/** Sends bytes and runs the loop until the connection ends, 3 s at most. */
inline raw_reply call_raw(event_base* base, const endpoint& to,
                          const std::string& bytes) {
  struct {
    raw_reply reply;
    event_base* base;
  } call{{}, base};
  using context = decltype(call);
  const bufferevent_handle io(
      bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      io.get(),
      [](bufferevent* from, void* arg) {
        static_cast<context*>(arg)->reply.bytes +=
            *take_all(bufferevent_get_input(from));
      },
      nullptr,
      [](bufferevent* from, short what, void* arg) {
        if ((what & BEV_EVENT_CONNECTED) != 0) return;
        auto& [reply, loop] = *static_cast<context*>(arg);
        reply.bytes += *take_all(bufferevent_get_input(from));
        reply.was_reset = (what & BEV_EVENT_ERROR) != 0;
        event_base_loopbreak(loop);
      },
      &call);
  bufferevent_enable(io.get(), EV_READ | EV_WRITE);
  auto address = to_socket_address(to);
  bufferevent_socket_connect(io.get(), reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
  bufferevent_write(io.get(), bytes.data(), bytes.size());
  run_loop(base, 3s);
  return call.reply;
}

}  // namespace seamglade::detail

#endif  // SEAMGLADE_TEST_RAW_CALLER_H_
