// seamglade - a process that holds an address, for tests
//
// Usage: seamglade-holder-standin KIND ADDRESS. Holds ADDRESS (IP:port) until
// it is ended: as a `listener`, as a `connected` socket or for `datagrams`.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <sys/socket.h>
#include <unistd.h>

#include <iostream>
#include <string>

#include "connection/event_handles.h"

namespace {

using namespace seamglade::detail;

/** Returns a socket that is bound to an address, or -1. */
int bound_socket(int type, const endpoint& where) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const auto address = to_socket_address(where);
  const bool is_bound =
      fd >= 0 && bind(fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0;
  return is_bound ? fd : -1;
}

/** Connects a bound socket to a listener of this process. */
bool connect_to_self(int fd) {
  const int listener = bound_socket(SOCK_STREAM, {"127.0.0.1", 0});
  if (listener < 0 || listen(listener, 1) != 0) return false;
  const auto address = to_socket_address(bound_endpoint(listener));
  return connect(fd, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0;
}

bool hold(const std::string& kind, const endpoint& where) {
  if (kind == "datagrams") return bound_socket(SOCK_DGRAM, where) >= 0;
  const int fd = bound_socket(SOCK_STREAM, where);
  if (fd < 0) return false;
  if (kind == "listener") return listen(fd, 1) == 0;
  return kind == "connected" && connect_to_self(fd);
}

}  // namespace

int main(int count, char** words) {
  const auto where = parse_endpoint(count == 3 ? words[2] : "");
  if (!where || !hold(words[1], where.value())) {
    std::cerr << "usage: seamglade-holder-standin "
                 "listener|connected|datagrams IP:PORT\n";
    return 2;
  }
  std::cout << "holding" << std::endl;
  pause();
  return 0;
}
