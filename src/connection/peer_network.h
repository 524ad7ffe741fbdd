// seamglade - links between instances: frames over TCP
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_PEER_NETWORK_H_
#define SEAMGLADE_SRC_CONNECTION_PEER_NETWORK_H_

#include <list>
#include <map>
#include <set>

#include "connection/event_handles.h"
#include "seamglade/fleet.h"
#include "seamglade/wire.h"

namespace seamglade::detail {

/** What the network tells its owner, from the loop. */
struct peer_observer {
  std::function<void(const instance_id&, std::uint64_t incarnation)> on_up;
  std::function<void(const instance_id&)> on_down;
  std::function<void(const instance_id&, message)> on_message;
  /** A connection was closed because of what it sent. */
  std::function<void(const failure&)> on_bad_peer;
};

struct peer_traffic {
  std::uint64_t frames_in = 0;
  std::uint64_t frames_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

/**
 * One connection to each peer. Of two instances the one whose name sorts
 * first connects; a newer connection from a peer replaces the older one.
 */
class peer_network {
 public:
  peer_network(event_base* base, hello self, peer_observer observer);
  ~peer_network();
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  /** Fails with cannot_listen or cannot_listen_yet. */
  result<endpoint> listen(const endpoint& at);
  /** Sets the instances to keep links with. */
  void set_peers(std::vector<instance_entry> peers);
  void send(const instance_id& to, const message& body);
  /** Takes no new connections from now on. */
  void stop_listening() { listener_.reset(); }
  const peer_traffic& traffic() const { return traffic_; }

 private:
  struct link;

  void accept(evutil_socket_t fd);
  void connect(const instance_entry& peer);
  void connect_missing();
  void on_readable(link& from);
  bool take_frame(link& from);
  bool on_frame(link& from, frame body);
  bool on_hello(link& from, const hello& first);
  void write(link& to, const encoded_frame& data);
  void close(link& which);
  void close_bad(link& which, const failure& why);
  link* find(const instance_id& peer);

  event_base* base_;
  hello self_;
  peer_observer observer_;
  peer_traffic traffic_;
  listener_handle listener_;
  event_handle reconnect_;
  std::map<instance_id, instance_entry> wanted_;
  std::list<std::unique_ptr<link>> links_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_PEER_NETWORK_H_
