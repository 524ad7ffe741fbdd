// seamglade - sockets that listen, and why one can't be had
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_LISTENING_H_
#define SEAMGLADE_SRC_CONNECTION_LISTENING_H_

#include "connection/event_handles.h"

namespace seamglade::detail {

/**
 * Returns the failure for an address that `error` (of errno) kept from being
 * bound: cannot_listen_yet if what is missing may come, else cannot_listen.
 */
failure listen_failure(const endpoint& where, int error);

/** Returns a listening TCP socket; fails as listen_failure() says. */
result<evutil_socket_t> listening_socket(const endpoint& where, int backlog);

/** Hands connections to `accept`; fails as listen_failure() says. */
result<listener_handle> make_listener(event_base* base, const endpoint& where,
                                      int backlog, evconnlistener_cb accept,
                                      void* arg);

/** Has an HTTP server listen; fails as listen_failure() says. */
result<evhttp_bound_socket*> listen_with(evhttp* server, const endpoint& where);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_LISTENING_H_
