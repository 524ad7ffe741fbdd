// seamglade - owning handles for libevent objects, and the clock
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_EVENT_HANDLES_H_
#define SEAMGLADE_SRC_CONNECTION_EVENT_HANDLES_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <functional>
#include <memory>
#include <string>

#include "seamglade/types.h"

namespace seamglade::detail {

template <auto Free>
struct free_with {
  template <typename Handle>
  void operator()(Handle* handle) const {
    Free(handle);
  }
};

using base_handle = std::unique_ptr<event_base, free_with<event_base_free>>;
using event_handle = std::unique_ptr<::event, free_with<event_free>>;
using http_handle = std::unique_ptr<evhttp, free_with<evhttp_free>>;
using bufferevent_handle =
    std::unique_ptr<bufferevent, free_with<bufferevent_free>>;
using listener_handle =
    std::unique_ptr<evconnlistener, free_with<evconnlistener_free>>;

/** An IP number and port. */
struct endpoint {
  std::string host;
  std::uint16_t port = 0;

  std::string str() const;
};

/** Parses "IP:port"; fails with bad_address. */
result<endpoint> parse_endpoint(std::string_view text);

/** Returns a parsed endpoint as sockets take it. */
sockaddr_in to_socket_address(const endpoint& where);

/** Returns the address that a listening socket was given. */
endpoint bound_endpoint(evutil_socket_t fd);

/**
 * Begins to connect; returns false, with errno, where that fails at once.
 * Neither the connection nor what is left of it in TIME-WAIT keeps a listener
 * from its own port.
 */
bool begin_connection(bufferevent* io, const endpoint& where);

/** Reads the clock that goes on while the process is suspended. */
time_point boot_now();

/** Returns the Unix time in milliseconds. */
std::int64_t unix_now_ms();

timeval to_timeval(duration wait);

/** Makes small writes leave at once. */
void set_no_delay(evutil_socket_t fd);

/** Lets the system close a connection whose other end is out of reach. */
void set_dead_peer_timeout(evutil_socket_t fd, duration timeout);

/**
 * Has the system reset a connection that is closed, also by the end of this
 * process, in place of closing it in order.
 */
void set_reset_on_close(evutil_socket_t fd, bool resets);

/** Resets a connection now; its socket stays open. */
void reset_connection(evutil_socket_t fd);

/** Runs a task on the loop, after the callbacks that run now. */
void run_later(event_base* base, std::function<void()> task);

/** Runs a task on the loop after a time. */
void run_after(event_base* base, duration wait, std::function<void()> task);

/** Moves all bytes of a buffer into one string. */
std::shared_ptr<const std::string> take_all(evbuffer* from);

/**
 * Bounds what the system keeps of bytes that arrive and are not read; it takes
 * this for half of what it may use.
 */
void set_receive_buffer(evutil_socket_t fd, int bytes);

/**
 * Writes from a bufferevent's output what the system takes at once; returns
 * whether nothing is left.
 */
bool write_at_once(evbuffer* from, evutil_socket_t fd);

/** Returns the bytes that have arrived and were not read. */
std::size_t unread_bytes(evutil_socket_t fd);

/** Adds a shared text to a buffer; a large one is not copied. */
void add_text(evbuffer* to, const std::shared_ptr<const std::string>& text);

/** Adds a shared text to a buffer without copying it. */
void add_shared(evbuffer* to, std::shared_ptr<const std::string> text);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_EVENT_HANDLES_H_
