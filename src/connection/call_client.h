// seamglade - calls over HTTP/1.1 with kept connections, for all paths
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_CALL_CLIENT_H_
#define SEAMGLADE_SRC_CONNECTION_CALL_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/connection_budget.h"
#include "connection/event_handles.h"
#include "connection/http_parser.h"
#include "seamglade/types.h"

namespace seamglade::detail {

/** Idle connections that are kept to an address where nothing tells better. */
inline constexpr std::size_t kUsualIdle = 16;

/** A request to make. */
struct outgoing_call {
  /** IP:port. */
  std::string address;
  std::string method;
  std::string target;
  std::string host;
  std::vector<http_header> headers;
  std::shared_ptr<const std::string> body;
  /** How long a new connection may take to come up. */
  duration connect_timeout = 500ms;
  /**
   * Tells the call from others: its answer carries it back in the client's name
   * header. Empty: the call has no name.
   */
  std::string name;
  /**
   * Of a call without a name: an answer to an earlier call of the same series
   * holds for this one too. 0: of none.
   */
  std::uint64_t series = 0;
  /**
   * Opens a connection, and closes the idle ones to the address: they may have
   * fallen silent without a reset.
   */
  bool on_new_connection = false;
  /** Its connection carries no other call, before or after. */
  bool is_alone = false;
  /** No byte is written after this time: the call then ends as not sent. */
  time_point not_after = time_point::max();
  connection_use use = connection_use::control;
  /** Idle connections that are kept to the address afterwards, at most. */
  std::size_t most_idle = kUsualIdle;
};

using gateway::answer_carrier;
using gateway::answer_defect;
using gateway::answer_fault;
using gateway::body_framing;
using gateway::call_end;

/**
 * Makes calls and keeps connections for the next ones.
 *
 * The other side may send an answer again on its connection, at any later time:
 * before, during or behind the calls that follow, and more than once. What a
 * call is given is its own answer all the same:
 *
 * - The answer to a call with a name counts only if it bears that name; others
 *   are skipped. No connection carries two calls of one name, so a name tells
 *   one call. Names come from callers and need not be unique.
 * - On a connection that has carried nothing else, a final answer that bears no
 *   name is no answer: it ends a call that has one.
 * - A connection carries one call without a name, or those of one series, so an
 *   answer without a name tells which.
 *
 * A client without a name header is for those that answer each call once, in
 * order: its connections carry any calls one after the other.
 *
 * A connection carries one call at a time. It is kept only if the answer was
 * whole, the request had been written whole, and no answer was skipped on it.
 * A kept connection on which anything comes, be it its close, carries no
 * further call. Few are kept that have carried a call without a name.
 *
 * With a budget, a call that needs a connection beyond it ends as `no_room`, as
 * one does for which the system has no descriptor.
 */
class call_client {
 public:
  using token = std::uint64_t;

  struct handlers {
    std::function<void(const answer_head&, const answer_carrier&)> head;
    std::function<void(std::shared_ptr<const std::string>)> data;
    std::function<void(call_end)> end;
    /**
     * Why what came is no answer, before an end as `malformed` or, within a
     * head, as `closed`. Not needed; cancels no call.
     */
    std::function<void(const answer_defect&)> defect = {};
    /**
     * An answer came that is not this call's, or an interim one. Not needed;
     * cancels no call.
     */
    std::function<void(const answer_head&, const answer_carrier&)> skipped = {};
  };

  struct counters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    /** Answers that belong to no call of their connection, by when they came.
     */
    std::uint64_t skipped_while_idle = 0;
    std::uint64_t skipped_during_call = 0;
    std::uint64_t skipped_behind_answer = 0;
    /** Kept connections on which something had come when a call was due. */
    std::uint64_t found_ended = 0;
    /** Peak of connections to one address. */
    std::uint64_t most_to_one_address = 0;
  };

  /**
   * `name_header`: the header in which answers bear the names of calls.
   * `budget`: shared with other clients; none: there is no bound.
   */
  call_client(event_base* base, std::string name_header,
              std::shared_ptr<connection_budget> budget = nullptr);
  ~call_client();
  call_client(const call_client&) = delete;
  call_client& operator=(const call_client&) = delete;

  /** Starts a call; no handler runs before this returns. */
  token start(outgoing_call call, handlers on);
  /**
   * Ends a call and its connection; no handler runs afterwards. Returns whether
   * any byte of the request may have been written.
   */
  bool cancel(token call);
  const counters& counts() const { return counts_; }
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t idle_count() const;

 private:
  enum class phase : std::uint8_t { connecting, calling, idle };

  struct connection {
    call_client* owner = nullptr;
    std::uint64_t number = 0;
    std::string address;
    bufferevent_handle io;
    event_handle timer;
    std::optional<connection_budget::place> place;
    phase now = phase::connecting;
    /** What its call ends with where nothing of it is written. */
    call_end unsent = call_end::not_sent;
    token call = 0;
    outgoing_call request;
    /** Shared: a handler may cancel its own call while it runs. */
    std::shared_ptr<handlers> on;
    std::unique_ptr<answer_reader> reader;
    /** Calls that it carried before this one. */
    std::uint32_t calls_before = 0;
    /** Hashes of the names that it has carried. */
    std::vector<std::size_t> names;
    /** Series of the calls without a name that it carried; none: no such. */
    std::optional<std::uint64_t> nameless_series;
    bool head_given = false;
    bool skipping = false;
    /** It failed, in either direction; what came before may be unread. */
    bool has_failed = false;
    /** Answers before the call's own, and their bodies' bytes. */
    std::size_t skipped_answers = 0;
    std::size_t skipped_bytes = 0;
    /** An answer came on it that a later one might be mistaken for. */
    bool ends_after_call = false;
  };

  connection* open(const outgoing_call& call);
  void note_peak(const std::string& address);
  /** Returns an idle connection that may carry a call; null: none may. */
  connection* take_idle(const outgoing_call& call);
  void close_idle(const std::string& address);
  /** Closes one that is idle; what it was kept for opens another. */
  void give_up_idle(std::uint64_t number);
  bool may_carry(const connection& c, const outgoing_call& call) const;
  bool may_be_kept(const connection& c) const;
  /** Whether nothing has come on an idle connection, also no close. */
  static bool is_quiet(const connection& c);
  /** If it is too late, ends the call in place of that. */
  void write_request(connection& c);
  /** Ends a call of which nothing was written, from the loop. */
  static void end_unsent(connection& c, call_end how = call_end::not_sent);
  void connect(connection& c, const outgoing_call& call);
  void on_readable(connection& c);
  void on_event(connection& c, short what);
  /** Nothing more will come on a connection that carries a call. */
  void on_last_byte(connection& c);
  /** Whether the other side has received all of a request. */
  static bool is_request_received(const connection& c);
  void on_timer(connection& c);
  /** Gives out the head; returns false if the connection is gone. */
  bool give_head(connection& c);
  /** Returns the name that an answer bears; none: it bears none. */
  std::optional<std::string_view> name_in(const answer_head& head) const;
  bool belongs_to_call(const connection& c) const;
  /** Begins to skip an answer; returns false if the connection is gone. */
  bool skip_answer(connection& c);
  /** Whether an answer can belong neither to its call nor to an earlier one. */
  bool is_nobodys(const connection& c) const;
  /** Remembers what a connection now carries, for may_carry(). */
  void note_call(connection& c, const outgoing_call& call) const;
  bool give_body(connection& c);
  void complete(connection& c);
  void end_call(connection& c, call_end how);
  void end_malformed(connection& c, const answer_defect& defect);
  void keep(connection& c, std::uint32_t keep_alive_seconds);
  /** Bounds the idle connections to an address, in all and by kind. */
  void close_surplus(const std::string& address, std::size_t most_idle);
  void begin_answer(connection& c);

  event_base* base_;
  std::string name_header_;
  std::shared_ptr<connection_budget> budget_;
  token next_token_ = 1;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
  std::map<token, connection*> calls_;
  /** Idle connections by address; the one used last comes last. */
  std::map<std::string, std::vector<connection*>, std::less<>> idle_;
  counters counts_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_CALL_CLIENT_H_
