// seamglade - the decisions of the direct path: events in, actions out
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_GATEWAY_H_
#define SEAMGLADE_GATEWAY_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "seamglade/answer_end.h"
#include "seamglade/controller.h"
#include "seamglade/dialect.h"
#include "seamglade/gateway_peers.h"
#include "seamglade/gateway_status.h"
#include "seamglade/stop_schedule.h"

namespace seamglade::gateway {

/** Names an order or a report under way. */
using engine_call_id = std::uint64_t;

/** Names a call of the store; an answer bears its call's. */
using store_call_id = std::uint64_t;
using fetch_id = std::uint64_t;

/** Events: what the driver tells the decisions. */
namespace event {

struct request {
  caller_id caller = 0;
  caller_message message;
  /** None: it came from a caller. */
  std::optional<relayed_request> relayed = {};
};
struct caller_gone {
  caller_id caller = 0;
};
struct answer_head {
  call_id call = 0;
  int status = 0;
  std::string reason;
  std::vector<http_header> headers;
  body_framing framing = body_framing::length;
  answer_carrier carrier = {};
  /** From an instance that can't help with the request, and did not run it. */
  bool is_no_help = false;
  /** From an instance: where the stream began; none: not told. */
  std::optional<stream_origin> origin = {};
};
struct answer_data {
  call_id call = 0;
  std::shared_ptr<const std::string> data;
};
/** A call to a target or an instance has ended, with or without an answer. */
struct answer_end {
  call_id call = 0;
  call_end end = call_end::complete;
  /** Why what came is no answer, if anything came. */
  answer_defect defect = {};
};
struct order_answer {
  engine_call_id call = 0;
  engine_order_status status = engine_order_status::unanswered;
  /** What the answer says of the target beside. */
  target_word word = {};
  answer_carrier carrier = {};
};
struct report_answer {
  engine_call_id call = 0;
  /** None: no answer, or no report. */
  std::optional<engine_report> report;
  /** What the answer says of the target beside. */
  target_word word = {};
  /** Whether any answer came. */
  bool is_answered = false;
};
/** Which parts of prompts a target keeps. */
struct contents_answer {
  engine_call_id call = 0;
  /** None: no answer, or no list. */
  std::optional<std::vector<prompt_part>> parts;
};
/**
 * How a connection to a target fared that was tried to see if it ended. That it
 * came up shows no way to the target: something between may have taken it.
 */
struct target_probed {
  target_id target;
  /** `refused`: no process listens there. `silent`: no word in time. */
  enum class how : std::uint8_t { refused, connected, silent } outcome;
  /** When the connection was begun. */
  time_point begun;
};
/** An answer of the platform's store. */
struct store_read {
  store_call_id call = 0;
  store_scope scope = store_scope::everything;
  enum class outcome : std::uint8_t {
    answered,
    history_gone,
    /** An answer began that takes more bytes or time than one may. */
    too_large,
    failed
  };
  outcome how = outcome::failed;
  /** HTTP status; 0: no answer. */
  int status = 0;
  /** The history that the answer belongs to; 0: not told. */
  store_epoch epoch = 0;
  store_answer answer;
};
/** What a peer sent that was asked for its changes; none: it failed. */
struct peer_changes {
  fetch_id call = 0;
  member_address from = 0;
  std::optional<store_changes> changes;
};
struct datagram {
  member_address from = 0;
  peer_message message;
};
/** The settings file changed. */
struct new_seeds {
  std::vector<member_address> seeds;
};
struct tick {};
/**
 * Stop: finish what runs, and begin only what ends in time. Again: the times of
 * the stop have changed.
 */
struct drain {
  stop_schedule times;
};
/** The stop is over: the process ends after this event. */
struct stop_over {};

}  // namespace event

using any_event =
    std::variant<event::request, event::caller_gone, event::answer_head,
                 event::answer_data, event::answer_end, event::order_answer,
                 event::report_answer, event::contents_answer,
                 event::target_probed, event::store_read, event::peer_changes,
                 event::datagram, event::new_seeds, event::tick, event::drain,
                 event::stop_over>;

/** One field of a line of the log. */
struct log_field {
  std::string_view name;
  std::variant<std::string, std::int64_t> value;
};

/** Actions: what the decisions tell the driver to do, in order. */
namespace action {

struct reply_head {
  caller_id caller = 0;
  int status = 0;
  std::string reason;
  std::vector<http_header> headers;
  /** None: the length is not known. */
  std::optional<std::uint64_t> length;
  /** Tells the instance that handed the request on to try another. */
  bool is_no_help = false;
  /** Tells that instance where the stream began. */
  std::optional<stream_origin> origin = {};
};
struct reply_data {
  caller_id caller = 0;
  std::shared_ptr<const std::string> data;
};
struct reply_end {
  caller_id caller = 0;
};
/** Ends the connection: the answer is seen to be incomplete. */
struct reply_abort {
  caller_id caller = 0;
};
struct call_target {
  call_id call = 0;
  std::string address;
  /** Kept alive by the request; headers are the target's. */
  std::string method;
  std::string target;
  std::string host;
  std::vector<http_header> headers;
  std::shared_ptr<const std::string> body;
  std::string request_id;
  /** Idle connections to the target that may be kept; 0: the usual number. */
  std::size_t most_idle = 0;
};
/** Hands a request on to an instance; its answer comes as a target's does. */
struct call_peer {
  call_id call = 0;
  member_address to = 0;
  std::string method;
  std::string target;
  std::string host;
  std::vector<http_header> headers;
  std::shared_ptr<const std::string> body;
  /** Targets on which it may have run. */
  std::uint32_t runs = 0;
  /** Where the stream began that it goes on with; none: it begins one. */
  std::optional<stream_origin> origin = {};
};
struct cancel_call {
  call_id call = 0;
};
struct send_order {
  engine_call_id call = 0;
  std::string address;
  target_id target;
  engine_order order;
  /**
   * The first of the orders for the same load, of which this asks whether it
   * has ended; else this call.
   */
  engine_call_id series = 0;
};
struct read_report {
  engine_call_id call = 0;
  std::string address;
  target_id target;
};
/** Asks a target which parts of prompts it keeps; it holds its work up. */
struct list_contents {
  engine_call_id call = 0;
  std::string address;
  target_id target;
};
/** Opens a connection, sends nothing and closes it. */
struct probe_target {
  target_id target;
  std::string address;
};
struct watch_store {
  store_call_id call = 0;
  store_scope scope = store_scope::everything;
  std::uint64_t after = 0;
  duration wait{};
  /** Kept connections may have fallen silent. */
  bool on_new_connection = false;
};
struct range_store {
  store_call_id call = 0;
  store_scope scope = store_scope::everything;
  /** The page begins behind this key; empty: at the first. */
  std::string after_key;
  bool on_new_connection = false;
};
struct fetch_changes {
  fetch_id call = 0;
  member_address from = 0;
  copy_extent known;
  bool on_new_connection = false;
};
struct send_datagram {
  member_address to = 0;
  peer_message message;
};
struct set_limits {
  caller_limits limits;
};
struct log_line {
  std::string_view event;
  std::vector<log_field> fields;
  /** Kept even where the budget of its kind is spent. */
  bool important = false;
};

}  // namespace action

using any_action =
    std::variant<action::reply_head, action::reply_data, action::reply_end,
                 action::reply_abort, action::call_target, action::call_peer,
                 action::cancel_call, action::send_order, action::read_report,
                 action::list_contents, action::probe_target,
                 action::watch_store, action::range_store,
                 action::fetch_changes, action::send_datagram,
                 action::set_limits, action::log_line>;

/** What operators allow the fleet beyond a workspace's rate and burst. */
struct quota_bounds {
  /** A limit is judged over any span of this length. */
  duration window = 8s;
  /** Part of what a window allows that may be passed. */
  double excess = 0.25;
  /** Units that may be passed beside. */
  double slack = 0;
};

/** What operators allow beyond the rate that a cold target bears. */
struct cold_bounds {
  /** Of that rate, so much may come in any second ... */
  double excess = 1;
  /** ... and so many requests beside. */
  double slack = 0;
};

struct gateway_options {
  instance_id id;
  member_address self = 0;
  std::string failure_domain;
  /** The region of each failure domain; one that is not named is its own. */
  std::map<std::string, std::string, std::less<>> regions;
  std::uint64_t incarnation = 0;
  std::uint64_t random_seed = 0;
  std::vector<member_address> seeds;
  /** Silence after which another holder may give orders to a target. */
  duration lease = 3s;
  /** Targets refuse orders under a lower fence than one already seen. */
  bool fenced = true;
  /** Share of requests that may be sent to a second target, fleet-wide. */
  double retry_ratio = 0.2;
  /** Repeats beyond the share in a window, fleet-wide. */
  double retry_extra = 54;
  duration retry_window = 10s;
  /**
   * A key that operators took away works so long at most, also where their word
   * does not come through; zero: until it comes.
   */
  duration key_bound{};
  quota_bounds quota;
  cold_bounds cold;
  /** Places at plain targets are handed out; else all requests go there. */
  bool admission = true;
  /** Bytes of bodies of answers that are not whole yet, in all. */
  std::size_t answer_bytes = 32UL << 20U;
};

/** All decisions of one instance of the direct path. */
class gateway_core {
 public:
  gateway_core(gateway_options options, const dialect& platform);
  ~gateway_core();
  gateway_core(const gateway_core&) = delete;
  gateway_core& operator=(const gateway_core&) = delete;

  /** Takes one event; `now` never goes back. */
  std::vector<any_action> handle(time_point now, any_event event);
  /** Returns when the next tick is due. */
  time_point next_wakeup() const;
  gateway_status status(time_point now) const;
  /** Returns how far a member is; one that is not known is far. */
  proximity distance_to(member_address member) const;
  /** Returns what a peer lacks that knows so much of the store. */
  store_changes changes_after(copy_extent known) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_GATEWAY_H_
