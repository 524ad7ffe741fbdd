// seamglade - the decisions: events in, actions out, no I/O and no clock
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_CONTROLLER_H_
#define SEAMGLADE_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "seamglade/fleet.h"
#include "seamglade/message.h"
#include "seamglade/settings.h"
#include "seamglade/types.h"

namespace seamglade {

/** Names the caller's side of a request; the driver picks it. */
using caller_id = std::uint64_t;
/** Names a request or an order on its way to a target. */
using call_id = std::uint64_t;

/** What an order asks of a target. */
enum class order_kind : std::uint8_t {
  report,  // say what is loaded; carries no fence, changes nothing
  claim,   // make the fence's holder the owner; also renews
  load,    // load an adapter
  unload   // unload an adapter if no request uses it
};

std::string_view to_string(order_kind kind);

struct target_order {
  order_kind kind = order_kind::report;
  std::optional<adapter_ref> adapter;
  /** None for a target that checks no orders. */
  std::optional<fence> guard;
};

/** What a target says of an adapter it holds. */
struct loaded_adapter {
  std::string name;
  std::uint32_t running = 0;

  friend bool operator==(const loaded_adapter&,
                         const loaded_adapter&) = default;
};

/** What a target says of itself. */
struct target_report {
  /** Differs after every restart of the target. */
  std::uint64_t incarnation = 0;
  std::vector<loaded_adapter> loaded;
  /** The highest fence the target has seen. */
  fence highest;
  /** Time since the holder last claimed or renewed. */
  duration holder_age{};
};

enum class order_status : std::uint8_t {
  done,        // carried out
  stale,       // refused: a higher fence was seen
  busy,        // unload refused: a request uses the adapter
  full,        // load refused: no slot
  failed,      // the target says it could not
  unreachable  // no answer; it may have been carried out
};

std::string_view to_string(order_status status);

/** Events: what the driver tells the decisions. */
namespace event {

struct caller_request {
  caller_id caller = 0;
  request_spec spec;
};
struct caller_gone {
  caller_id caller = 0;
};
/** A link to a peer is ready; both sides have said hello. */
struct peer_up {
  instance_id peer;
  std::uint64_t incarnation = 0;
};
struct peer_down {
  instance_id peer;
};
struct peer_message {
  instance_id from;
  message body;
};
struct target_part {
  call_id call = 0;
  answer_part piece;
};
/** A call ended without a complete answer. */
struct target_failed {
  call_id call = 0;
  /** Whether any byte of the request may have reached the target. */
  bool written = true;
  /** Whether the target itself said that the adapter is not loaded. */
  bool not_loaded = false;
};
struct order_reply {
  call_id order = 0;
  order_status status = order_status::unreachable;
  std::optional<target_report> report;
};
/** The answer of the configuration service, whole. */
struct published {
  std::uint64_t index = 0;
  struct document {
    std::string name;
    std::string text;
    std::uint64_t index = 0;
  };
  std::vector<document> documents;
};
struct service_failed {};
/** What the wall clock says; needed for idempotency keys and peak hours. */
struct wall_time {
  std::int64_t unix_ms = 0;
};
/** The time that next_wakeup() named has come. */
struct tick {};
/** Stop: finish what runs, hand over, take nothing new. */
struct drain {};

}  // namespace event

using any_event =
    std::variant<event::caller_request, event::caller_gone, event::peer_up,
                 event::peer_down, event::peer_message, event::target_part,
                 event::target_failed, event::order_reply, event::published,
                 event::service_failed, event::wall_time, event::tick,
                 event::drain>;

/** Actions: what the decisions tell the driver to do, in order. */
namespace action {

struct reply_part {
  caller_id caller = 0;
  answer_part piece;
};
struct reply_refusal {
  caller_id caller = 0;
  refusal why;
};
/** The answer cannot be completed: break the connection off. */
struct reply_abort {
  caller_id caller = 0;
};
struct send_peer {
  instance_id to;
  message body;
};
/** The instances to keep links with, this one excluded. */
struct link_peers {
  std::vector<instance_entry> peers;
};
struct call_target {
  call_id call = 0;
  target_id target;
  std::string address;
  request_spec spec;
  /** Not to be written later than this, by a clock read just before. */
  time_point not_after;
};
struct cancel_call {
  call_id call = 0;
};
struct send_order {
  call_id order = 0;
  target_id target;
  std::string address;
  target_order what;
  duration timeout{};
};
/** Ask the configuration service; wait for an index above `after`. */
struct read_service {
  std::uint64_t after = 0;
  /** Zero: answer at once. */
  duration wait{};
};

enum class decision_kind : std::uint8_t {
  route,      // where a request goes
  refuse,     // a request was refused or given up on
  dispatch,   // a request was sent to its target
  load,       // an adapter is to be loaded
  unload,     // an adapter is to be unloaded
  claim,      // ownership of a target is claimed
  step_back,  // ownership of a target was lost or given up
  accept,     // a document is in force
  reject      // a document was refused
};

/** One line of the log of decisions. */
struct log_decision {
  decision_kind kind = decision_kind::route;
  request_id request;
  target_id target;
  std::string adapter;
  /** A name from this code, never a caller's content. */
  std::string reason;
  std::vector<std::string> candidates;
};
/** Everything is finished after a drain; the process may end. */
struct finished {};

}  // namespace action

std::string_view to_string(action::decision_kind kind);

using any_action =
    std::variant<action::reply_part, action::reply_refusal, action::reply_abort,
                 action::send_peer, action::link_peers, action::call_target,
                 action::cancel_call, action::send_order, action::read_service,
                 action::log_decision, action::finished>;

/** Which mechanisms are in force; tests switch them off to see proofs fail. */
struct mechanism_switches {
  bool exact_version = true;       // only the version that was named
  bool tell_unknown = true;        // not_run only where it is proved
  bool lease_gate = true;          // dispatch only within the lease
  bool pin_running = true;         // count running requests per adapter
  bool inherit_pins = true;        // treat found adapters as in use
  bool retry_only_not_run = true;  // never run an unknown request again
  bool forward_only = true;        // refuse older documents
  bool order_parts = true;         // put pieces of answers in order
  bool fence_orders = true;        // step back when the fence is refused
  bool refuse_leaving = true;      // no new work for leaving targets
  bool drain_waits = true;         // finish requests before a planned stop
};

/** What an instance knows of itself when it starts. */
struct controller_options {
  instance_id self;
  std::string zone;
  /** Differs for every start of an instance. */
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 0;
  /** The naive policy instead of the placement policy. */
  bool naive_policy = false;
  mechanism_switches switches;
};

/** Counters and sizes for status pages and metrics. */
struct controller_status {
  bool ready = false;
  bool draining = false;
  std::size_t peers_up = 0;
  std::size_t callers_waiting = 0;
  std::size_t requests_served = 0;
  std::uint64_t settings_index = 0;
  std::uint64_t settings_digest = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t ended_unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t loads = 0;
  std::uint64_t unloads = 0;
  std::uint64_t claims = 0;
  std::uint64_t step_backs = 0;
  /** Seconds that dispatched requests waited for loads, in total. */
  double load_stall_seconds = 0;
  std::size_t facts = 0;

  struct target {
    target_id id;
    std::string owner;
    std::string role;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<std::string> loaded;
  };
  std::vector<target> targets;
};

/**
 * All decisions of one instance.
 *
 * A driver calls handle() with every event and carries out the actions in
 * order; it calls handle() with event::tick no later than next_wakeup().
 * The same events at the same times give the same actions.
 */
class controller {
 public:
  explicit controller(controller_options options);
  ~controller();
  controller(const controller&) = delete;
  controller& operator=(const controller&) = delete;

  /** Takes one event; `now` never goes back. */
  std::vector<any_action> handle(time_point now, any_event event);

  /** Returns when the next tick is due. */
  time_point next_wakeup() const;

  controller_status status() const;
  /** Returns the tree in force; never null. */
  std::shared_ptr<const settings_tree> tree() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace seamglade

#endif  // SEAMGLADE_CONTROLLER_H_
