// seamglade - the callers' side of the direct path: HTTP/1.1 connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/gateway_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/outcome/try.hpp>

#include "connection/answer_text.h"
#include "connection/listening.h"

namespace seamglade::detail {
namespace {

using gateway::body_framing;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

/** Bytes of a request that wait to be read. */
constexpr std::size_t kReadAtOnce = 65536;
/** Bytes that a caller may send ahead of its answer: read, and unread. */
constexpr std::size_t kReadAhead = 4096;
constexpr int kUnreadAhead = 16384;
/** How long a closed connection's caller may still send, unread. */
constexpr duration kLinger = 1s;
/** A caller that takes none of its last answer's bytes for so long is gone. */
constexpr duration kStalled = 10s;
constexpr duration kDeadPeer = 10s;
constexpr int kBacklog = 512;
/** Without a free descriptor no connection is accepted for so long. */
constexpr duration kAcceptRest = 100ms;
/** A head that has come in pieces for less may still be whole soon. */
constexpr duration kLeastHead = 1s;
/** So many idle connections are looked at for one to close. */
constexpr int kIdleLooks = 8;

int status_of(parse_fault fault) {
  switch (fault) {
    case parse_fault::headers_too_large:
      return kHeadersTooLarge;
    case parse_fault::body_too_large:
      return kBodyTooLarge;
    default:
      return kBadRequest;
  }
}

}  // namespace

gateway_server::counters& gateway_server::counters::operator+=(
    const counters& other) {
  room_refusals += other.room_refusals;
  broken_off += other.broken_off;
  replaced += other.replaced;
  closed_unread += other.closed_unread;
  accept_rests += other.accept_rests;
  return *this;
}

gateway_server::gateway_server(event_base* base, handlers on,
                               caller_id first_caller, listener_bounds bounds)
    : base_(base),
      on_(std::move(on)),
      bounds_(std::move(bounds)),
      next_caller_(first_caller) {
  const auto rested = [](evutil_socket_t, short, void* self) {
    evconnlistener_enable(static_cast<gateway_server*>(self)->listener_.get());
  };
  rest_timer_.reset(event_new(base_, -1, 0, rested, this));
}

gateway_server::~gateway_server() = default;

gateway_server::connection::~connection() {
  // A buffer outlives its handle while a deferred callback is due.
  if (counter == nullptr) return;
  evbuffer_remove_cb_entry(bufferevent_get_output(io.get()), counter);
}

result<endpoint> gateway_server::listen(const endpoint& where) {
  const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr* from,
                           int, void* self) {
    // The listener is bound to an IPv4 address.
    const auto* peer = reinterpret_cast<const sockaddr_in*>(from);
    static_cast<gateway_server*>(self)->accept(fd,
                                               ntohl(peer->sin_addr.s_addr));
  };
  BOOST_OUTCOME_TRY(made,
                    make_listener(base_, where, kBacklog, accepted, this));
  listener_ = std::move(made);
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    static_cast<gateway_server*>(self)->rest();
  });
  return bound_endpoint(evconnlistener_get_fd(listener_.get()));
}

void gateway_server::accept(evutil_socket_t fd, std::uint32_t from) {
  if (connections_.size() >= bounds_.connections && !make_place()) {
    ++counts_.closed_unread;
    evutil_closesocket(fd);
    return;
  }
  set_no_delay(fd);
  set_dead_peer_timeout(fd, kDeadPeer);
  auto made = std::make_unique<connection>();
  auto& c = *made;
  c.owner = this;
  c.number = next_number_++;
  c.caller_address = from;
  c.io.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  const auto fired = [](evutil_socket_t, short, void* arg) {
    auto* self = static_cast<connection*>(arg);
    self->owner->on_timer(*self);
  };
  c.timer.reset(event_new(base_, -1, 0, fired, &c));
  c.bytes.emplace(*bounds_.bytes, bounds_.use, [&c] { c.owner->break_off(c); });
  c.counter = evbuffer_add_cb(
      bufferevent_get_output(c.io.get()),
      [](evbuffer*, const evbuffer_cb_info* change, void* arg) {
        static_cast<connection*>(arg)->bytes->set_unsent(
            change->orig_size + change->n_added - change->n_deleted);
      },
      &c);
  bufferevent_setcb(
      c.io.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<connection*>(arg);
        self->owner->on_readable(*self);
      },
      [](bufferevent*, void* arg) {
        auto* self = static_cast<connection*>(arg);
        self->owner->on_written(*self);
      },
      [](bufferevent*, short what, void* arg) {
        auto* self = static_cast<connection*>(arg);
        self->owner->on_event(*self, what);
      },
      &c);
  connections_.emplace(c.number, std::move(made));
  start_reading(c);
  bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
}

void gateway_server::rest() {
  ++counts_.accept_rests;
  evconnlistener_disable(listener_.get());
  const auto wait = to_timeval(kAcceptRest);
  event_add(rest_timer_.get(), &wait);
}

bool gateway_server::is_idle(const connection& c) {
  return evbuffer_get_length(bufferevent_get_input(c.io.get())) == 0 &&
         evbuffer_get_length(bufferevent_get_output(c.io.get())) == 0 &&
         unread_bytes(bufferevent_getfd(c.io.get())) == 0;
}

bool gateway_server::close_longest_idle() {
  const auto latest = boot_now() - kLeastIdle;
  int looks = 0;
  for (auto& c : idle_) {
    if (c.since > latest || ++looks > kIdleLooks) return false;
    if (!is_idle(c)) continue;
    ++counts_.replaced;
    erase(c);
    return true;
  }
  return false;
}

bool gateway_server::close_longest_head() {
  if (heads_.empty()) return false;
  auto& c = heads_.front();
  if (c.since > boot_now() - kLeastHead) return false;
  ++counts_.replaced;
  erase(c);
  return true;
}

bool gateway_server::make_place() {
  return close_longest_idle() || close_longest_head();
}

void gateway_server::break_off(connection& c) {
  ++counts_.broken_off;
  on_event(c, BEV_EVENT_ERROR);
}

void gateway_server::start_reading(connection& c) {
  c.now = phase::reading;
  c.bytes->release();
  // A head that is not whole yet must not reach the watermark.
  const std::size_t most = std::max(kReadAtOnce, 2UL * limits_.header_bytes);
  bufferevent_setwatermark(c.io.get(), EV_READ, 0, most);
  if (c.sends_ahead) bufferevent_enable(c.io.get(), EV_READ);
  idle_.push_back(c);
  c.caller = 0;
  c.told_continue = false;
  c.reader = std::make_unique<request_reader>(limits_.header_bytes,
                                              limits_.body_bytes);
  c.since = boot_now();
  arm(c, limits_.idle_timeout);
}

void gateway_server::arm(connection& c, duration wait) {
  const auto when = to_timeval(wait);
  event_add(c.timer.get(), &when);
}

void gateway_server::on_readable(connection& c) {
  if (c.now == phase::closing) {
    auto* in = bufferevent_get_input(c.io.get());
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  if (c.now == phase::reading) {
    read_request(c);
  } else {
    read_ahead(c);
  }
}

void gateway_server::read_ahead(connection& c) {
  const auto* in = bufferevent_get_input(c.io.get());
  if (!std::exchange(c.sends_ahead, true)) {
    set_receive_buffer(bufferevent_getfd(c.io.get()), kUnreadAhead);
  }
  // libevent calls back without end for what stays at the watermark.
  if (evbuffer_get_length(in) >= kReadAhead) {
    bufferevent_disable(c.io.get(), EV_READ);
  }
}

bool gateway_server::reserve(connection& c) {
  const auto unread = evbuffer_get_length(bufferevent_get_input(c.io.get()));
  return c.bytes->reserve(c.reader->size() + unread);
}

void gateway_server::read_request(connection& c) {
  auto* in = bufferevent_get_input(c.io.get());
  if (evbuffer_get_length(in) == 0) return;
  const bool first = !c.reader->started();
  if (first) {
    c.idle_hook::unlink();
    heads_.push_back(c);
    c.since = boot_now();
  }
  const auto progress = c.reader->read(in);
  if (c.reader->head_complete() || progress == parse_progress::failed) {
    c.idle_hook::unlink();
  }
  if (progress == parse_progress::failed) {
    refuse(c, status_of(c.reader->fault()));
    return;
  }
  if (!reserve(c)) {
    refuse_for_room(c);
    return;
  }
  if (progress == parse_progress::complete) {
    request_complete(c);
    return;
  }
  if (c.reader->wants_continue() && !c.told_continue) {
    c.told_continue = true;
    append_text(bufferevent_get_output(c.io.get()),
                "HTTP/1.1 100 Continue\r\n\r\n");
  }
  // The head has one time limit as a whole, the body one for each piece.
  const bool in_body = c.reader->head_complete();
  if (first || in_body) arm(c, limits_.header_timeout);
}

void gateway_server::request_complete(connection& c) {
  event_del(c.timer.get());
  c.keep = c.reader->keeps_connection();
  c.old_version = c.reader->is_old_version();
  auto message = c.reader->take();
  message.caller_address = c.caller_address;
  c.bodyless = message.method == "HEAD";
  c.now = phase::answering;
  bufferevent_setwatermark(c.io.get(), EV_READ, 0, kReadAhead);
  c.caller = next_caller_++;
  by_caller_[c.caller] = &c;
  on_.request(c.caller, std::move(message));
}

void gateway_server::refuse(connection& c, int status,
                            std::string_view headers) {
  c.idle_hook::unlink();
  on_.refused(status);
  std::string text =
      fmt::format("HTTP/1.1 {} {}\r\n", status, reason_phrase(status));
  text += headers;
  if (on_.refusal_headers) {
    add_fields(text, on_.refusal_headers(c.reader->headers()));
  }
  text += "Content-Length: 0\r\nConnection: close\r\n\r\n";
  append_text(bufferevent_get_output(c.io.get()), text);
  close_after_flush(c);
}

void gateway_server::refuse_for_room(connection& c) {
  if (!bounds_.bytes->can_ever_hold(bounds_.use, c.reader->size())) {
    refuse(c, kBodyTooLarge);
    return;
  }
  ++counts_.room_refusals;
  refuse(c, kUnavailable, kRetryAfter);
}

void gateway_server::on_timer(connection& c) {
  if (c.now == phase::closing) return look_at_unsent(c);
  if (c.now != phase::reading) return;
  auto* in = bufferevent_get_input(c.io.get());
  const bool started = c.reader->started() || evbuffer_get_length(in) > 0;
  if (started) {
    refuse(c, kRequestTimeout);
    return;
  }
  const auto rest = c.since + limits_.idle_timeout - boot_now();
  if (rest > 0ms || !is_idle(c)) {
    arm(c, std::max<duration>(rest, kLeastIdle));
    return;
  }
  erase(c);
}

void gateway_server::on_event(connection& c, short what) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0) {
    return;
  }
  const auto caller = c.caller;
  const bool answering = c.now == phase::answering;
  erase(c);
  if (answering) on_.gone(caller);
}

void gateway_server::on_written(connection& c) {
  if (c.now == phase::closing) end_output(c);
}

void gateway_server::end_output(connection& c) {
  const auto fd = bufferevent_getfd(c.io.get());
  if (c.body == body_framing::close_delimited) set_reset_on_close(fd, false);
  shutdown(fd, SHUT_WR);
  c.unsent = 0;
  arm(c, kLinger);
}

void gateway_server::look_at_unsent(connection& c) {
  const auto left = evbuffer_get_length(bufferevent_get_output(c.io.get()));
  if (left >= c.unsent) return erase(c);
  c.unsent = left;
  arm(c, kStalled);
}

void gateway_server::close_after_flush(connection& c) {
  if (c.caller != 0) by_caller_.erase(c.caller);
  c.caller = 0;
  c.now = phase::closing;
  c.bytes->release();
  c.reader.reset();
  // Unread bytes would turn the close into a reset.
  if (c.sends_ahead) bufferevent_enable(c.io.get(), EV_READ);
  auto* in = bufferevent_get_input(c.io.get());
  evbuffer_drain(in, evbuffer_get_length(in));
  c.unsent = evbuffer_get_length(bufferevent_get_output(c.io.get()));
  if (c.unsent == 0) return end_output(c);
  arm(c, kStalled);
}

void gateway_server::erase(connection& c) {
  if (c.caller != 0) by_caller_.erase(c.caller);
  connections_.erase(c.number);
}

gateway_server::connection* gateway_server::find(caller_id caller) {
  const auto found = by_caller_.find(caller);
  return found == by_caller_.end() ? nullptr : found->second;
}

}  // namespace seamglade::detail
