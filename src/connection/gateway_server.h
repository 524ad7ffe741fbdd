// seamglade - the callers' side of the direct path: HTTP/1.1 connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_GATEWAY_SERVER_H_
#define SEAMGLADE_SRC_CONNECTION_GATEWAY_SERVER_H_

#include <boost/intrusive/list.hpp>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "connection/byte_budget.h"
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

/** What a listener may have of an instance's resources. */
struct listener_bounds {
  /** Shared with other listeners. */
  std::shared_ptr<byte_budget> bytes =
      std::make_shared<byte_budget>(128UL << 20U);
  listener_use use = listener_use::callers;
  std::size_t connections = 1024;
};

/** Returns the usual phrase for a status. */
std::string_view reason_phrase(int status);

/**
 * Listens for callers, reads whole requests and writes answers.
 *
 * A connection carries one request at a time; what a caller sends ahead waits
 * in its buffer. A request that cannot be read, or that there is no room for,
 * is answered here and never leaves this class.
 *
 * A connection beyond the bound takes the place of the one that has been idle
 * for longest, or else is closed unread.
 */
class gateway_server {
 public:
  struct handlers {
    std::function<void(caller_id, gateway::caller_message)> request;
    /** The caller left before its answer was complete. */
    std::function<void(caller_id)> gone;
    /** A request that could not be read was answered with this status. */
    std::function<void(int)> refused;
    /** Returns what such an answer has to bear. Not needed. */
    std::function<std::vector<http_header>(const std::vector<http_header>&)>
        refusal_headers = {};
  };

  struct counters {
    /** Requests refused for want of room. */
    std::uint64_t room_refusals = 0;
    /** Answers broken off since too much was unsent. */
    std::uint64_t broken_off = 0;
    /** Idle connections that gave their place to a new one. */
    std::uint64_t replaced = 0;
    /** Connections closed unread since there was no place. */
    std::uint64_t closed_unread = 0;
    /** Times that it rested since there was no free descriptor. */
    std::uint64_t accept_rests = 0;

    counters& operator+=(const counters& other);
  };

  /** `first_caller`: names its first caller; the next ones count on. */
  gateway_server(event_base* base, handlers on, caller_id first_caller = 1,
                 listener_bounds bounds = {});
  ~gateway_server();
  gateway_server(const gateway_server&) = delete;
  gateway_server& operator=(const gateway_server&) = delete;

  /** Fails with cannot_listen or cannot_listen_yet. */
  result<endpoint> listen(const endpoint& where);
  void set_limits(const gateway::caller_limits& limits) { limits_ = limits; }
  /** Callers that leave more bytes unread than this are cut off. */
  void set_max_unsent(std::size_t bytes) { max_unsent_ = bytes; }
  /** Takes no new connections. */
  void stop_listening();
  /** From now on every answer ends its connection. */
  void drain() { draining_ = true; }
  /** Closes the connections on which no request is under way or about to come.
   */
  void close_idle();
  /** Refuses the requests that have begun to come and are not whole. */
  void refuse_unread();
  /**
   * Gives the system what it takes of unsent answers, which it goes on sending
   * when the process has ended.
   */
  void hand_over_unsent();
  std::size_t connection_count() const { return connections_.size(); }
  /** Returns the bytes of answers that no caller has taken yet. */
  std::size_t unsent_bytes() const;
  const counters& counts() const { return counts_; }

  void begin(caller_id caller, const reply_head& head);
  void write(caller_id caller, const std::shared_ptr<const std::string>& data);
  void finish(caller_id caller);
  /** Answers with a body that is there whole, and no headers. */
  void answer(caller_id caller, int status, std::string body);
  /** Ends the connection so that the answer is seen to be incomplete. */
  void abort(caller_id caller);

 private:
  static constexpr std::size_t kMaxUnsent = 4UL * 1024UL * 1024UL;
  /** A connection that is idle for less is about to send its request. */
  static constexpr duration kLeastIdle = 1s;
  static constexpr int kUnavailable = 503;
  /** Room, or another process, is there by then as a rule. */
  static constexpr std::string_view kRetryAfter = "Retry-After: 1\r\n";

  enum class phase : std::uint8_t { reading, answering, closing };

  using idle_hook = boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  struct connection : idle_hook {
    connection() = default;
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    gateway_server* owner = nullptr;
    std::uint64_t number = 0;
    std::uint32_t caller_address = 0;
    bufferevent_handle io;
    event_handle timer;
    std::optional<byte_budget::share> bytes;
    /** Counts its unsent bytes. */
    evbuffer_cb_entry* counter = nullptr;
    std::unique_ptr<request_reader> reader;
    phase now = phase::reading;
    caller_id caller = 0;
    bool keep = true;
    bool old_version = false;
    bool bodyless = false;
    bool told_continue = false;
    /** The caller sent bytes while a request was under way. */
    bool sends_ahead = false;
    gateway::body_framing body = gateway::body_framing::length;
    /** While closing: bytes that the caller had not taken at the last look. */
    std::size_t unsent = 0;
    time_point since;
  };

  using idle_list =
      boost::intrusive::list<connection, boost::intrusive::base_hook<idle_hook>,
                             boost::intrusive::constant_time_size<false>>;

  /** `from`: the caller's IPv4 number, in host order. */
  void accept(evutil_socket_t fd, std::uint32_t from);
  void on_readable(connection& c);
  void on_event(connection& c, short what);
  void on_timer(connection& c);
  void on_written(connection& c);
  void read_request(connection& c);
  void request_complete(connection& c);
  void refuse(connection& c, int status, std::string_view headers = {});
  /** Answers a request that there is no room for. */
  void refuse_for_room(connection& c);
  /** Sets room aside for what is known of a request; false: there is none. */
  static bool reserve(connection& c);
  void read_ahead(connection& c);
  /** Closes the connection that has been idle for longest; false: none is. */
  bool close_longest_idle();
  /** Closes the one that has sent part of a head for longest; false: none. */
  bool close_longest_head();
  /** Makes room for one more connection; false: all others are at work. */
  bool make_place();
  static bool is_idle(const connection& c);
  void rest();
  void break_off(connection& c);
  void start_reading(connection& c);
  void close_after_flush(connection& c);
  static gateway::body_framing framing_of(const connection& c,
                                          const reply_head& head);
  static std::string head_text(const connection& c, const reply_head& head);
  /** Closes the way out once all is written. */
  void end_output(connection& c);
  /** While closing, drops a connection whose caller takes no more bytes. */
  void look_at_unsent(connection& c);
  void arm(connection& c, duration wait);
  void erase(connection& c);
  connection* find(caller_id caller);

  event_base* base_;
  handlers on_;
  listener_bounds bounds_;
  listener_handle listener_;
  event_handle rest_timer_;
  counters counts_;
  gateway::caller_limits limits_;
  std::size_t max_unsent_ = kMaxUnsent;
  bool draining_ = false;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
  /** Those that have sent nothing of a request; the longest idle comes first.
   */
  idle_list idle_;
  /** Those that have sent part of a head; the one that began first is first. */
  idle_list heads_;
  std::map<caller_id, connection*> by_caller_;
  caller_id next_caller_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_GATEWAY_SERVER_H_
