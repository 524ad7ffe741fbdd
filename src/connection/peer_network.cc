// seamglade - links between instances: frames over TCP
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/peer_network.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/outcome/try.hpp>

#include "connection/listening.h"

namespace seamglade::detail {
namespace {

constexpr duration kReconnectInterval = 300ms;
/** A peer that does not acknowledge for so long is cut off. */
constexpr duration kLinkTimeout = 5s;
/** A connection that has not said hello by then is closed. */
constexpr duration kHelloWait = 3s;
/** A peer that does not read is cut off above this many waiting bytes. */
constexpr std::size_t kMaxBacklog = 256 << 20;
/** Connections that wait to be accepted. */
constexpr int kBacklog = 128;

}  // namespace

struct peer_network::link {
  peer_network* network = nullptr;
  bufferevent_handle bev;
  instance_id peer;
  bool ready = false;
  bool closed = false;
};

peer_network::peer_network(event_base* base, hello self, peer_observer observer)
    : base_(base), self_(std::move(self)), observer_(std::move(observer)) {
  reconnect_.reset(event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* arg) {
        static_cast<peer_network*>(arg)->connect_missing();
      },
      this));
  const auto interval = to_timeval(kReconnectInterval);
  event_add(reconnect_.get(), &interval);
}

peer_network::~peer_network() = default;

result<endpoint> peer_network::listen(const endpoint& at) {
  const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                           void* self) {
    static_cast<peer_network*>(self)->accept(fd);
  };
  BOOST_OUTCOME_TRY(made, make_listener(base_, at, kBacklog, accepted, this));
  listener_ = std::move(made);
  return bound_endpoint(evconnlistener_get_fd(listener_.get()));
}

void peer_network::set_peers(std::vector<instance_entry> peers) {
  wanted_.clear();
  for (auto& peer : peers) wanted_.emplace(peer.id, std::move(peer));
  for (auto& one : links_) {
    if (one->ready && !wanted_.contains(one->peer)) close(*one);
  }
  connect_missing();
}

peer_network::link* peer_network::find(const instance_id& peer) {
  const auto it = std::find_if(links_.begin(), links_.end(), [&](auto& l) {
    return !l->closed && l->peer == peer;
  });
  return it == links_.end() ? nullptr : it->get();
}

void peer_network::connect_missing() {
  std::erase_if(links_, [](const auto& l) { return l->closed; });
  for (const auto& [id, peer] : wanted_) {
    if (self_.instance < id && find(id) == nullptr) connect(peer);
  }
}

void peer_network::accept(evutil_socket_t fd) {
  auto fresh = std::make_unique<link>();
  fresh->network = this;
  fresh->bev.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  auto& added = *links_.emplace_back(std::move(fresh));
  if (fd >= 0) {
    set_no_delay(fd);
    set_dead_peer_timeout(fd, kLinkTimeout);
  }
  const auto wait = to_timeval(kHelloWait);
  bufferevent_set_timeouts(added.bev.get(), &wait, nullptr);
  bufferevent_setcb(
      added.bev.get(),
      [](bufferevent*, void* arg) {
        auto& from = *static_cast<link*>(arg);
        from.network->on_readable(from);
      },
      nullptr,
      [](bufferevent* bev, short what, void* arg) {
        auto& from = *static_cast<link*>(arg);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
          set_no_delay(bufferevent_getfd(bev));
          set_dead_peer_timeout(bufferevent_getfd(bev), kLinkTimeout);
          return;
        }
        from.network->close(from);
      },
      &added);
  bufferevent_enable(added.bev.get(), EV_READ | EV_WRITE);
  write(added, encode(self_));
}

void peer_network::connect(const instance_entry& peer) {
  const auto at = parse_endpoint(peer.address);
  if (!at) return;
  accept(-1);
  auto& added = *links_.back();
  added.peer = peer.id;
  if (!begin_connection(added.bev.get(), at.value())) {
    close(added);
  }
}

void peer_network::on_readable(link& from) {
  while (!from.closed && take_frame(from)) {
  }
}

bool peer_network::take_frame(link& from) {
  auto* input = bufferevent_get_input(from.bev.get());
  if (evbuffer_get_length(input) < kFramePrefix) return false;
  char prefix[kFramePrefix];
  evbuffer_copyout(input, prefix, kFramePrefix);
  const auto lengths = decode_prefix({prefix, kFramePrefix});
  if (!lengths) {
    close_bad(from, lengths.error());
    return false;
  }
  const auto [header_size, payload_size] = lengths.value();
  const auto whole = kFramePrefix + header_size + payload_size;
  if (evbuffer_get_length(input) < whole) return false;
  evbuffer_drain(input, kFramePrefix);
  std::string header(header_size, '\0');
  evbuffer_remove(input, header.data(), header_size);
  std::shared_ptr<std::string> payload;
  if (payload_size > 0) {
    payload = std::make_shared<std::string>(payload_size, '\0');
    evbuffer_remove(input, payload->data(), payload_size);
  }
  ++traffic_.frames_in;
  traffic_.bytes_in += whole;
  auto body = decode(header, std::move(payload));
  if (!body) {
    close_bad(from, body.error());
    return false;
  }
  return on_frame(from, std::move(body.value()));
}

bool peer_network::on_frame(link& from, frame body) {
  if (const auto* first = std::get_if<hello>(&body)) {
    return on_hello(from, *first);
  }
  if (!from.ready) {
    close_bad(from, {errc::bad_frame, "first frame is no hello", 0});
    return false;
  }
  observer_.on_message(from.peer, std::move(std::get<message>(body)));
  return !from.closed;
}

bool peer_network::on_hello(link& from, const hello& first) {
  if (first.protocol != kProtocolVersion) {
    close_bad(from, {errc::protocol_version,
                     fmt::format("peer speaks {}, this speaks {}",
                                 first.protocol, kProtocolVersion),
                     0});
    return false;
  }
  if (from.ready || (!from.peer.empty() && from.peer != first.instance)) {
    close_bad(from, {errc::bad_frame, "hello of another instance", 0});
    return false;
  }
  // An instance that restarted connects before its old connection has died.
  if (from.peer.empty()) {
    if (auto* older = find(first.instance)) close(*older);
  }
  from.peer = first.instance;
  from.ready = true;
  bufferevent_set_timeouts(from.bev.get(), nullptr, nullptr);
  observer_.on_up(first.instance, first.incarnation);
  return !from.closed;
}

void peer_network::write(link& to, const encoded_frame& data) {
  ++traffic_.frames_out;
  traffic_.bytes_out += data.size();
  auto* output = bufferevent_get_output(to.bev.get());
  evbuffer_add(output, data.head.data(), data.head.size());
  add_shared(output, data.payload);
}

void peer_network::send(const instance_id& to, const message& body) {
  auto* through = find(to);
  if (through == nullptr || !through->ready) return;
  write(*through, encode(body));
  if (evbuffer_get_length(bufferevent_get_output(through->bev.get())) >
      kMaxBacklog) {
    close(*through);
  }
}

void peer_network::close(link& which) {
  if (which.closed) return;
  which.closed = true;
  bufferevent_disable(which.bev.get(), EV_READ | EV_WRITE);
  // The object is freed by the next connect_missing(): a callback of this
  // link may be running now. The socket is closed at once.
  bufferevent_setcb(which.bev.get(), nullptr, nullptr, nullptr, nullptr);
  if (const auto fd = bufferevent_getfd(which.bev.get()); fd >= 0) {
    bufferevent_setfd(which.bev.get(), -1);
    evutil_closesocket(fd);
  }
  if (which.ready) observer_.on_down(which.peer);
}

void peer_network::close_bad(link& which, const failure& why) {
  observer_.on_bad_peer(why);
  close(which);
}

}  // namespace seamglade::detail
