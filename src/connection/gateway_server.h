// seamglade - the callers' side of the direct path: HTTP/1.1 connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_GATEWAY_SERVER_H_
#define SEAMGLADE_SRC_CONNECTION_GATEWAY_SERVER_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "connection/event_handles.h"
#include "connection/http_parser.h"
#include "seamglade/answer_end.h"
#include "seamglade/controller.h"
#include "seamglade/gateway_types.h"

namespace seamglade::detail {

/** The head of an answer to a caller. */
struct reply_head {
  int status = 200;
  std::string reason;
  std::vector<http_header> headers;
  /** None: the length is not known yet. */
  std::optional<std::uint64_t> length;
  /** Without a length: no chunks, also where the caller understands them. */
  bool close_delimited = false;
};

/** Returns the usual phrase for a status. */
std::string_view reason_phrase(int status);

/**
 * Listens for callers, reads whole requests and writes answers.
 *
 * A connection carries one request at a time; what a caller sends ahead waits
 * in its buffer. A request that cannot be read is answered here and never
 * leaves this class.
 */
class gateway_server {
 public:
  struct handlers {
    std::function<void(caller_id, gateway::caller_message)> request;
    /** The caller left before its answer was complete. */
    std::function<void(caller_id)> gone;
    /** A request that could not be read was answered with this status. */
    std::function<void(int)> refused;
  };

  /** `first_caller`: names its first caller; the next ones count on. */
  gateway_server(event_base* base, handlers on, caller_id first_caller = 1);
  ~gateway_server();
  gateway_server(const gateway_server&) = delete;
  gateway_server& operator=(const gateway_server&) = delete;

  /** Fails with cannot_listen or cannot_listen_yet. */
  result<endpoint> listen(const endpoint& where);
  void set_limits(const gateway::caller_limits& limits) { limits_ = limits; }
  /** From now on every answer ends its connection. */
  void drain() { draining_ = true; }
  /** Closes the connections on which no request is under way. */
  void close_idle();
  std::size_t connection_count() const { return connections_.size(); }
  /** Returns the bytes of answers that no caller has taken yet. */
  std::size_t unsent_bytes() const;

  void begin(caller_id caller, const reply_head& head);
  void write(caller_id caller, const std::shared_ptr<const std::string>& data);
  void finish(caller_id caller);
  /** Ends the connection so that the answer is seen to be incomplete. */
  void abort(caller_id caller);

 private:
  enum class phase : std::uint8_t { reading, answering, closing };

  struct connection {
    gateway_server* owner = nullptr;
    std::uint64_t number = 0;
    std::uint32_t caller_address = 0;
    bufferevent_handle io;
    event_handle timer;
    std::unique_ptr<request_reader> reader;
    phase now = phase::reading;
    caller_id caller = 0;
    bool keep = true;
    bool old_version = false;
    bool bodyless = false;
    bool told_continue = false;
    gateway::body_framing body = gateway::body_framing::length;
    time_point since;
  };

  /** `from`: the caller's IPv4 number, in host order. */
  void accept(evutil_socket_t fd, std::uint32_t from);
  void on_readable(connection& c);
  void on_event(connection& c, short what);
  void on_timer(connection& c);
  void on_written(connection& c);
  void read_request(connection& c);
  void request_complete(connection& c);
  void refuse(connection& c, int status);
  void start_reading(connection& c);
  void close_after_flush(connection& c);
  static gateway::body_framing framing_of(const connection& c,
                                          const reply_head& head);
  static std::string head_text(const connection& c, const reply_head& head);
  /** Closes the way out once all is written. */
  void end_output(connection& c);
  void arm(connection& c, duration wait);
  void erase(connection& c);
  connection* find(caller_id caller);

  event_base* base_;
  handlers on_;
  listener_handle listener_;
  gateway::caller_limits limits_;
  bool draining_ = false;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
  std::map<caller_id, connection*> by_caller_;
  caller_id next_caller_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_GATEWAY_SERVER_H_
