// seamglade - sockets that listen, and why one can't be had
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/listening.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <boost/outcome/try.hpp>
#include <cerrno>
#include <system_error>

namespace seamglade::detail {
namespace {

/** As libevent's HTTP server has it. */
constexpr int kHttpBacklog = 128;

bool may_pass(int error) {
  switch (error) {
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case EMFILE:
    case ENFILE:
    case ENOMEM:
    case ENOBUFS:
      return true;
    default:
      return false;
  }
}

}  // namespace

failure listen_failure(const endpoint& where, int error) {
  return {may_pass(error) ? errc::cannot_listen_yet : errc::cannot_listen,
          fmt::format("{}: {}", where.str(),
                      std::generic_category().message(error)),
          0};
}

result<evutil_socket_t> listening_socket(const endpoint& where, int backlog) {
  const auto fd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return listen_failure(where, errno);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  const auto address = to_socket_address(where);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, backlog) != 0) {
    const int error = errno;
    evutil_closesocket(fd);
    return listen_failure(where, error);
  }
  return fd;
}

result<listener_handle> make_listener(event_base* base, const endpoint& where,
                                      int backlog, evconnlistener_cb accept,
                                      void* arg) {
  BOOST_OUTCOME_TRY(fd, listening_socket(where, backlog));
  // A backlog of 0: the socket listens already.
  listener_handle made(evconnlistener_new(
      base, accept, arg, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, fd));
  if (made) return made;
  evutil_closesocket(fd);
  return listen_failure(where, ENOMEM);
}

result<evhttp_bound_socket*> listen_with(evhttp* server,
                                         const endpoint& where) {
  BOOST_OUTCOME_TRY(fd, listening_socket(where, kHttpBacklog));
  auto* bound = evhttp_accept_socket_with_handle(server, fd);
  if (bound != nullptr) return bound;
  evutil_closesocket(fd);
  return listen_failure(where, ENOMEM);
}

}  // namespace seamglade::detail
