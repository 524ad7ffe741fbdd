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

/** What an instance believes and has counted; for metrics and status. */
struct gateway_status {
  bool ready = false;
  bool draining = false;
  std::uint64_t configuration = 0;
  std::uint64_t store_revision = 0;
  std::uint64_t store_epoch = 0;
  /** Times that the store was found to be restored from an older copy. */
  std::uint64_t store_restores = 0;
  std::size_t members_alive = 0;
  std::size_t targets = 0;
  std::size_t held = 0;
  std::size_t waiting = 0;
  std::size_t calling = 0;
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  /** Answers of targets to requests. */
  answer_end_counts answer_ends;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cut = 0;
  std::uint64_t retries = 0;
  std::uint64_t loads = 0;
  std::uint64_t unloads = 0;
  std::uint64_t store_calls = 0;
  std::uint64_t step_backs = 0;
  /** Requests without a key that is known here. */
  std::uint64_t unknown_keys = 0;
  /** Refused since the word of the configuration in force was too old. */
  std::uint64_t unconfirmed_keys = 0;
  /** Refused since their workspace had used its quota up. */
  std::uint64_t over_quota = 0;
  /** Refused since no accountant answered. */
  std::uint64_t unmetered = 0;
  /** Refused since no plain target would have served them in time. */
  std::uint64_t overloaded = 0;
  /** Failure domains that were suspected, and that are now. */
  std::uint64_t domain_suspicions = 0;
  std::size_t suspect_domains = 0;
  /** Times that this instance lost its way to all targets; it has lost it. */
  std::uint64_t target_cuts = 0;
  bool is_cut_off = false;
  /** Requests handed on to other instances, and by them. */
  std::uint64_t relayed_out = 0;
  std::uint64_t relayed_in = 0;
  /** Targets that take no connection from here. */
  std::size_t out_of_reach = 0;
  /** Targets that ended while a request of this instance ran there. */
  std::uint64_t target_ends = 0;
  /** Answers that ended with their connections, of targets that may end. */
  std::uint64_t ends_in_doubt = 0;
  /** Requests that came to be refused, as seen here or told by others. */
  std::uint64_t quarantines = 0;
  /** Refused, not run, since their request had ended targets. */
  std::uint64_t quarantine_refusals = 0;
  /** Requests that are refused now, and all that were there at an end. */
  std::size_t quarantined = 0;
  std::size_t blamed = 0;
  /** Answers by which a target was found to leave, and that asked for rest. */
  std::uint64_t leaving_words = 0;
  std::uint64_t rest_words = 0;
  /** Answers that named a limit, and listed targets of which one is known. */
  std::uint64_t limit_words = 0;
  std::size_t limited = 0;
  /** Times that a target was left alone since it turned all away. */
  std::uint64_t assumed_rests = 0;
  /** Requests refused since all targets that may serve them wanted rest. */
  std::uint64_t all_at_rest = 0;
  /** Listed targets that say they leave, or have asked this one for rest. */
  std::size_t said_leaving = 0;
  std::size_t at_rest = 0;
  /** Calls given up and made elsewhere since their domain was suspect. */
  std::uint64_t left_calls = 0;
  /** Words of holders that built on others which were not heard here. */
  std::uint64_t unusable_words = 0;
  /** Age of that word; longest where there is none. */
  duration key_age{};
  /** Workspaces that this instance accounts for. */
  std::size_t accounts = 0;
  /** Failure domains that operators evacuated. */
  std::size_t evacuated_domains = 0;
  /** Requests refused since all targets of their service are evacuated. */
  std::uint64_t all_evacuated = 0;
  /** Requests refused since no target is in a region where they may run. */
  std::uint64_t no_allowed_region = 0;
  /** Requests that take an earlier stream up, by what became of them. */
  std::uint64_t taken_up = 0;
  /** Of these: nobody knew the stream, and one version alone served. */
  std::uint64_t taken_up_unknown = 0;
  /** Of these: the same prompt ran at the one version that serves. */
  std::uint64_t taken_up_prompt = 0;
  /** Of these: nobody knew the stream, and targets keep its prompt. */
  std::uint64_t taken_up_kept = 0;
  /** Lists of what targets keep that were asked for. */
  std::uint64_t content_lists = 0;
  /** Refused since nobody can tell at which version the stream began. */
  std::uint64_t origin_unknown = 0;
  /** Refused, or broken off, since no target of that version is left. */
  std::uint64_t origin_gone = 0;
  /** Streams that others were told of, and questions asked of others. */
  std::uint64_t origins_told = 0;
  std::uint64_t origin_questions = 0;
  /** Streams whose version is known here. */
  std::size_t origins = 0;
  /** Services whose targets were of several versions lately. */
  std::size_t mixed_services = 0;
  /** First events by the version that wrote them. */
  std::map<std::string, std::uint64_t> begun_streams;
  /** Given and refused here, as the grantor of targets that bear few. */
  std::uint64_t grants_given = 0;
  std::uint64_t grants_refused = 0;
  /** Questions for such a grant that were not answered in time. */
  std::uint64_t grant_unanswered = 0;
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
