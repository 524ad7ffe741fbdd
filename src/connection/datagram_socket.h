// seamglade - datagrams between instances
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_DATAGRAM_SOCKET_H_
#define SEAMGLADE_SRC_CONNECTION_DATAGRAM_SOCKET_H_

#include <functional>

#include "connection/event_handles.h"
#include "seamglade/gateway_peers.h"

namespace seamglade::detail {

/** Parses an IPv4 number to host order; fails with bad_address. */
result<gateway::member_address> parse_member(const std::string& host);
std::string to_text(gateway::member_address member);

/** A UDP socket; all instances use one port. */
class datagram_socket {
 public:
  using receiver =
      std::function<void(gateway::member_address, std::string_view)>;

  datagram_socket(event_base* base, receiver on);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  /** Fails with cannot_listen or cannot_listen_yet. */
  result<void> bind(const endpoint& where);
  /** Sends or drops: a full buffer is the network's loss. */
  void send(gateway::member_address to, std::string_view bytes);

 private:
  void receive();
  void close();

  event_base* base_;
  receiver on_;
  evutil_socket_t fd_ = -1;
  std::uint16_t port_ = 0;
  event_handle readable_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_DATAGRAM_SOCKET_H_
