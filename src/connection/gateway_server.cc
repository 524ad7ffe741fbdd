// seamglade - the callers' side of the direct path: HTTP/1.1 connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/gateway_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/beast/http/status.hpp>
#include <boost/outcome/try.hpp>

#include "connection/listening.h"

namespace seamglade::detail {
namespace {

using gateway::body_framing;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/** Bytes that a caller may send ahead of its answer. */
constexpr std::size_t kReadAhead = 65536;
/** Bytes that may wait for a slow caller. */
constexpr std::size_t kMaxUnsent = 4UL * 1024UL * 1024UL;
/** How long a closed connection's caller may still send, unread. */
constexpr duration kLinger = 1s;
constexpr duration kDeadPeer = 10s;
constexpr std::size_t kMaxConnections = 3400;
constexpr int kBacklog = 512;

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

bool has_no_body(int status) {
  return status == kNoContent || status == kNotModified;
}

void append(evbuffer* to, std::string_view text) {
  evbuffer_add(to, text.data(), text.size());
}

}  // namespace

std::string_view reason_phrase(int status) {
  const auto phrase = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

gateway_server::gateway_server(event_base* base, handlers on,
                               caller_id first_caller)
    : base_(base), on_(std::move(on)), next_caller_(first_caller) {}

gateway_server::~gateway_server() = default;

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
  return bound_endpoint(evconnlistener_get_fd(listener_.get()));
}

void gateway_server::accept(evutil_socket_t fd, std::uint32_t from) {
  if (connections_.size() >= kMaxConnections) {
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
  bufferevent_setwatermark(c.io.get(), EV_READ, 0, kReadAhead);
  connections_.emplace(c.number, std::move(made));
  start_reading(c);
  bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
}

void gateway_server::start_reading(connection& c) {
  c.now = phase::reading;
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
  if (c.now == phase::reading) read_request(c);
}

void gateway_server::read_request(connection& c) {
  auto* in = bufferevent_get_input(c.io.get());
  if (evbuffer_get_length(in) == 0) return;
  const bool first = !c.reader->started();
  const auto progress = c.reader->read(in);
  if (progress == parse_progress::failed) {
    refuse(c, status_of(c.reader->fault()));
    return;
  }
  if (progress == parse_progress::complete) {
    request_complete(c);
    return;
  }
  if (c.reader->wants_continue() && !c.told_continue) {
    c.told_continue = true;
    append(bufferevent_get_output(c.io.get()), "HTTP/1.1 100 Continue\r\n\r\n");
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
  c.caller = next_caller_++;
  by_caller_[c.caller] = &c;
  on_.request(c.caller, std::move(message));
}

void gateway_server::refuse(connection& c, int status) {
  on_.refused(status);
  append(bufferevent_get_output(c.io.get()),
         fmt::format("HTTP/1.1 {} {}\r\nContent-Length: 0\r\n"
                     "Connection: close\r\n\r\n",
                     status, reason_phrase(status)));
  close_after_flush(c);
}

void gateway_server::on_timer(connection& c) {
  if (c.now == phase::closing) {
    erase(c);
    return;
  }
  if (c.now != phase::reading) return;
  auto* in = bufferevent_get_input(c.io.get());
  const bool started = c.reader->started() || evbuffer_get_length(in) > 0;
  if (started) {
    refuse(c, kRequestTimeout);
    return;
  }
  const auto rest = c.since + limits_.idle_timeout - boot_now();
  if (rest > 0ms) {
    arm(c, rest);
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
}

void gateway_server::close_after_flush(connection& c) {
  if (c.caller != 0) by_caller_.erase(c.caller);
  c.caller = 0;
  c.now = phase::closing;
  arm(c, kLinger);
  auto* in = bufferevent_get_input(c.io.get());
  evbuffer_drain(in, evbuffer_get_length(in));
  if (evbuffer_get_length(bufferevent_get_output(c.io.get())) == 0) {
    end_output(c);
  }
}

void gateway_server::erase(connection& c) {
  if (c.caller != 0) by_caller_.erase(c.caller);
  connections_.erase(c.number);
}

gateway_server::connection* gateway_server::find(caller_id caller) {
  const auto found = by_caller_.find(caller);
  return found == by_caller_.end() ? nullptr : found->second;
}

void gateway_server::begin(caller_id caller, const reply_head& head) {
  auto* c = find(caller);
  if (c == nullptr) return;
  c->body = framing_of(*c, head);
  if (draining_) c->keep = false;
  if (c->body == body_framing::close_delimited) {
    // Only finish() may end it in order: that is all that marks its end.
    set_reset_on_close(bufferevent_getfd(c->io.get()), true);
    c->keep = false;
  }
  append(bufferevent_get_output(c->io.get()), head_text(*c, head));
}

body_framing gateway_server::framing_of(const connection& c,
                                        const reply_head& head) {
  if (has_no_body(head.status) || head.length) return body_framing::length;
  const bool has_chunks = !c.old_version && !head.close_delimited;
  return has_chunks ? body_framing::chunked : body_framing::close_delimited;
}

std::string gateway_server::head_text(const connection& c,
                                      const reply_head& head) {
  const auto phrase =
      head.reason.empty() ? reason_phrase(head.status) : head.reason;
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, phrase);
  for (const auto& header : head.headers) {
    text += header.name;
    text += ": ";
    text += header.value;
    text += "\r\n";
  }
  if (!has_no_body(head.status) && head.length) {
    text += fmt::format("Content-Length: {}\r\n", *head.length);
  } else if (c.body == body_framing::chunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  if (!c.keep) {
    text += "Connection: close\r\n";
  } else if (c.old_version) {
    text += "Connection: keep-alive\r\n";
  }
  return text + "\r\n";
}

void gateway_server::write(caller_id caller,
                           const std::shared_ptr<const std::string>& data) {
  auto* c = find(caller);
  if (c == nullptr || !data || data->empty() || c->bodyless) return;
  auto* out = bufferevent_get_output(c->io.get());
  if (evbuffer_get_length(out) > kMaxUnsent) {
    on_event(*c, BEV_EVENT_ERROR);
    return;
  }
  if (c->body == body_framing::chunked) {
    append(out, fmt::format("{:x}\r\n", data->size()));
  }
  evbuffer_add(out, data->data(), data->size());
  if (c->body == body_framing::chunked) append(out, "\r\n");
}

std::size_t gateway_server::unsent_bytes() const {
  std::size_t total = 0;
  for (const auto& [number, c] : connections_) {
    total += evbuffer_get_length(bufferevent_get_output(c->io.get()));
  }
  return total;
}

void gateway_server::finish(caller_id caller) {
  auto* c = find(caller);
  if (c == nullptr) return;
  if (c->body == body_framing::chunked && !c->bodyless) {
    append(bufferevent_get_output(c->io.get()), "0\r\n\r\n");
  }
  if (!c->keep || draining_) {
    close_after_flush(*c);
    return;
  }
  by_caller_.erase(caller);
  start_reading(*c);
  // What the caller sent ahead is read in a turn of its own.
  bufferevent_trigger(c->io.get(), EV_READ,
                      BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
}

void gateway_server::abort(caller_id caller) {
  auto* c = find(caller);
  if (c == nullptr) return;
  if (c->body == body_framing::close_delimited) {
    erase(*c);
    return;
  }
  close_after_flush(*c);
}

void gateway_server::close_idle() {
  std::vector<connection*> idle;
  for (const auto& [number, c] : connections_) {
    const bool unread =
        evbuffer_get_length(bufferevent_get_input(c->io.get())) > 0;
    if (c->now == phase::reading && !unread && !c->reader->started()) {
      idle.push_back(c.get());
    }
  }
  for (auto* c : idle) erase(*c);
}

}  // namespace seamglade::detail
