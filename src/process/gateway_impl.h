// seamglade - the decisions of the direct path, by the file that makes them
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_GATEWAY_IMPL_H_
#define SEAMGLADE_SRC_PROCESS_GATEWAY_IMPL_H_

#include <optional>
#include <vector>

#include "process/gateway_common.h"
#include "process/gateway_view.h"
#include "seamglade/gateway.h"

namespace seamglade::gateway {

/** Members are grouped by the file that works on them. */
class gateway_core::impl : private gateway_view {
 public:
  impl(gateway_options options, const dialect& platform);

  std::vector<any_action> handle(time_point now, any_event event);
  time_point next_wakeup() const;
  gateway_status status(time_point now) const;
  store_changes changes_after(copy_extent known) const;
  using gateway_view::distance_to;

 private:
  // gateway.cc
  void start();
  void tick();
  void do_act(any_action action) { actions_.push_back(std::move(action)); }
  void log(std::string_view event, std::vector<log_field> fields,
           bool important = false);

  // gateway_store.cc
  void on(event::store_read&& e);
  void note_store_failure(reading call, int status);
  /** A page led no further: it is asked for again after a pause. */
  void note_stuck_range(const std::string& last_key);
  void note_store_answer();
  void note_missing_configuration();
  /** The next read is of all, page by page. */
  void read_by_pages(std::string_view reason);
  void take_watch(store_answer&& answer);
  void take_range(store_answer&& answer, store_epoch epoch);
  void take_whole_range();
  /** A peer's copy of an epoch makes a read of the store needless. */
  void end_range_by(store_epoch epoch);
  void on(event::peer_changes&& e);
  void apply(store_changes changes, std::string_view source);
  /** Tells others of items that are not to wait for the next copy. */
  void tell_urgent(std::vector<store_item> news, std::string_view source);
  /** Returns whether the item is not to wait for the next copy. */
  bool take_item(const store_item& item, const change_origin& origin);
  bool take_deletion(const store_item& item, const change_origin& origin);
  bool take_entry(target_entry&& entry, const change_origin& origin);
  void accept_configuration(configuration&& news, const change_origin& origin);
  void read_store();
  /** Makes the call that `reading_` stands for, or makes it again. */
  void send_read(bool on_new_connection);
  void tick_store();
  /** Ends the pauses of this instance once the store answers anybody again. */
  void note_store_back();
  /** Returns a pause between half and one and a half of one. */
  duration spread(duration pause);
  void confirm_copy(time_point at);
  void begin_watching(std::string_view reason);

  // gateway_silence.cc
  /** Repeats, on new connections, what is overdue on kept ones. */
  void repeat_overdue();
  void repeat_read();
  void repeat_fetch();
  /** Returns whether an answer of the store is still waited for. */
  bool take_read_call(const event::store_read& e);
  void forget_read_call();
  /** Returns whether a peer's answer is still waited for. */
  bool take_fetch_call(const event::peer_changes& e);

  // gateway_epochs.cc
  /** Returns whether an answer of the store is of the copy's history. */
  bool is_of_epoch(const event::store_read& e);
  /** The copy is of a later epoch than the one before. */
  void begin_epoch(store_position before, std::string_view source,
                   std::vector<store_item> lost);
  /** Takes what peers know to be in force of a former epoch. */
  void take_kept(const std::vector<store_item>& kept);
  void give_up_store_calls();
  /** Asks a peer for what is lacking here; all, where its epoch is another. */
  void fetch_from(member_address peer, store_epoch epoch, time_point confirms);
  /** Asks for everything: a peer's configuration is newer than its store's. */
  void fetch_kept_from(member_address peer);
  void fetch(member_address peer, copy_extent known, time_point confirms);
  /** Returns whether it is news. */
  bool hear_evacuation(const evacuation& word, const store_item& item,
                       bool is_restored);
  bool hear_no_evacuation(std::string_view domain, const store_item& item,
                          bool is_restored);
  void note_contradiction(std::string_view domain, const std::string& key);
  /** Follows the store where nobody has written again what it contradicts. */
  void settle_contradictions();

  // gateway_operators.cc
  bool should_watch_operators();
  void watch_operators();
  void take_operator_watch(event::store_read&& e);
  /** Takes in that everything up to a revision came with a copy. */
  void take_operators_word(std::uint64_t known);
  /** Tells all what a watch has brought. */
  void tell_operators_word(const std::vector<store_item>& items,
                           std::uint64_t known_before);
  void hear_operators_word(member_address from, const news_message& message);
  /** Tells all of operators' items that a watch of the whole is answered. */
  void tell_operators_items(const store_answer& answer);
  /** The watch of operators' items should bring what came another way. */
  void doubt_operator_watch();

  // gateway_watchers.cc
  bool should_watch();
  bool is_watcher_of_large_fleet();
  const std::vector<member_address>& watch_order();
  /** Puts the first of each region before all others. */
  void put_regions_first();
  std::size_t watch_rank();

  // gateway_members.cc
  void on(event::new_seeds&& e);
  void take(member_address from, const heartbeat& message);
  void take(member_address from, const target_claim& claimed);
  void take(member_address from, const probe_request& message);
  void take(member_address from, const probe_answer& message);
  void merge_rows(member_address from, const std::vector<member_row>& rows,
                  std::size_t known_there);
  void check_probes();
  /** Looks up anew who lives and stays, once a while. */
  void refresh_staying();
  void note_silent_members();
  /** `known_there`: how many members the newcomer knows. */
  void greet(member_address newcomer, bool first_hand, std::size_t known_there);
  void announce(target_hash target);
  void announce_claims();
  void send_heartbeats();
  void add_heard_claims(std::vector<target_claim>& claims, std::size_t most);
  void answer_heartbeat(member_address from, const heartbeat& message);
  target_id target_id_of(target_hash target);

  // gateway_peers.cc
  void on(event::datagram&& e);
  void take(member_address from, const interest_message& message);
  void take(member_address from, const residency_message& message);
  void take(member_address from, const news_message& message);
  void take(member_address from, const loads_message& message);
  void take(member_address from, target_state& target, const target_work& work);
  void send_loads();
  void send_to_all(const peer_message& message);
  void spread_news(const std::vector<store_item>& news);
  void send_interests();
  void send_residencies();
  /** Returns what one lacks of a target's state that knows so much. */
  residency_message residency_of(const target_keeper& keeper,
                                 const known_word& known);
  /** Answers an instance's interest in a target, where it gains by it. */
  void answer_interest(member_address from, const interest_message& message,
                       const target_keeper& keeper);
  /** `asks`: a request waits for the holder's word. */
  static interest_message interest_of(const target_state& target,
                                      std::vector<adapter_interest> rows,
                                      bool asks);

  // gateway_orders.cc
  void on(event::order_answer&& e);
  void on(event::report_answer&& e);
  void note_isolation();
  void tick_claims();
  void tick_keepers();
  void run_keeper(target_keeper& keeper, bool may_order);
  /** Claims targets that have no living holder, where it is this one's turn. */
  void claim_unheld();
  /** Gives up what it holds where it has long reached no target. */
  void release_in_cut();
  void claim(const target_state& target);
  /** After an unanswered order: makes sure that it can't be taken later. */
  void renew_fence(target_keeper& keeper);
  void release(const target_id& target, std::string_view reason);
  std::uint64_t next_fence(target_hash target);

  // gateway_requests.cc
  void on(event::request&& e);
  /** Finds a request's route and service, and a target for it. */
  void route(exchange& x);
  /** No route of the configuration in force matches it. */
  void refuse_unrouted(exchange& x);
  /** Counts a request of a known service, and has it placed. */
  void admit(exchange& x);
  /** Names what of a request may end its targets. */
  static void name_contents(exchange& x);
  /** The same for those that came before the first configuration. */
  void route_unrouted();
  void on(event::caller_gone&& e);
  void on(event::answer_head&& e);
  void on(event::answer_data&& e);
  void on(event::answer_end&& e);
  // gateway_stop.cc
  void on(event::drain&& e);
  /**
   * Refuses or ends a request that would not end before a planned stop does;
   * returns whether it did.
   */
  bool refuse_late(exchange& x);
  /** Learns from a call that ends how long runs of its route take. */
  void learn_run_time(const exchange& x);
  /** Tells of each request that the end of the process cuts off. */
  void on(event::stop_over&& e);
  // gateway_workspaces.cc
  /** Returns whether this instance is to ask the store itself about keys. */
  bool is_key_word_old();
  /** Takes in that the store held what is in force here, then or later. */
  void confirm_keys(time_point at);
  /** The same by the store's own answer. */
  void confirm_keys_by_store(time_point at);
  /** Finds the workspace of a request; returns false if it was refused. */
  bool admit_key(exchange& x);
  /** Places a request once its workspace's quota allows it. */
  void meter(exchange& x);
  void ask_accountant(exchange& x);
  /** Nobody is left to be asked for a grant. */
  void end_metering(exchange& x);
  void take_verdict(exchange& x, member_address from,
                    const quota_answer& answer);
  void tick_workspaces();
  /** Until others were heard: what this instance knows of them is old. */
  void close_accounts();
  void open_accounts();
  void ask_confirmations();
  void take(member_address from, const confirmation_request& message);
  void take(member_address from, const confirmation_answer& message);
  void take(member_address from, const quota_request& message);
  void take(member_address from, const quota_answer& message);

  // gateway_admission.cc
  void place_on_plain(exchange& x, const std::vector<target_state*>& targets);
  void ask_admitter(exchange& x, target_state& target);
  void take_admission(exchange& x, target_state& target,
                      const admission_answer& answer);
  /** A call to a plain target ended: its place is free. */
  void end_admission(exchange& x, bool success);
  /** A place is given back unused. */
  void release_place(exchange& x);
  void tell_admitter(const exchange& x, const admission_end& message);
  void take(member_address from, const admission_request& message);
  void take(member_address from, const admission_answer& message);
  void take(member_address from, const admission_end& message);

  // gateway_grants.cc
  /** Returns whether a request still waits for a grantor's answer. */
  bool awaits_grant(exchange& x);
  void ask_grantor(exchange& x, target_state& target);
  /** A target gets nothing from here for so long. */
  void pass_over(exchange& x, target_state& target, duration span);
  void take_grant(exchange& x, target_state& target,
                  const grant_answer& answer);
  /** Returns whether the request was granted for the target just now. */
  static bool use_grant(exchange& x, const target_state& target);
  /** Lets a request wait, or refuses it, if no grantor has anything left. */
  bool wait_for_grant(exchange& x, const std::vector<target_state*>& targets);
  grant_answer answer_grant(const grant_request& request);
  /** Until others were heard, as with accounts. */
  void close_grants();
  void tick_grants();
  void take(member_address from, const grant_request& message);
  void take(member_address from, const grant_answer& message);

  // gateway_answers.cc
  void call_ended(exchange& x, call_end how);
  /** Does what follows from a call's end, once it is known. */
  void settle_call(exchange& x, call_end end);
  /** Whether more has come of a body than may be held. */
  bool is_too_large(const exchange& x) const;
  void end_too_large(exchange& x);
  /** Returns whether its target surely runs the version that it goes on at. */
  bool is_of_origin(const exchange& x);
  /** Ends a call whose target may run another version. */
  void leave_doubtful_call(exchange& x);

  // gateway_work.cc
  /** A request of this instance goes to a target. */
  void work_began(exchange& x, target_state& target);
  /** Its first event came: its prompt is read. */
  void reading_ended(exchange& x);
  void work_ended(exchange& x, target_state& target);
  void learn_load_time(duration told);

  // gateway_domains.cc
  /** Returns whether it is news. */
  bool evacuate(const evacuation& word, std::uint64_t revision);
  bool take_back(std::string_view domain, std::uint64_t revision);
  /** Tells the next few members; each that hears news of it does the same. */
  void pass_on_evacuations(const std::vector<store_item>& news);
  /** Returns whether a target is to get neither orders nor reports now. */
  bool is_at_rest(target_keeper& keeper);
  /** Refuses a request that nothing there is may serve; false: something may.
   */
  bool refuse_unservable(exchange& x);
  /** Returns why none of the targets there are may serve it; none: one may. */
  std::optional<std::string_view> why_unservable(const exchange& x);
  /** Returns the targets that may get a request now. */
  std::vector<target_state*> targets_for(const exchange& x);

  // gateway_loss.cc
  void watch_call(const exchange& x, const target_state& target);
  /** A byte of an answer came. */
  void note_answer(const exchange& x);
  /** A call ended; `is_whole`: with an answer. */
  void note_end(const exchange& x, bool is_whole);
  void note_life_of(const target_id& target);
  /** A call broke, or was not sent: its target may have started again. */
  void doubt_life(const exchange& x, call_end how);
  void note_life_in(domain_key domain, bool is_member);
  /** Takes any datagram as a sign of life. */
  void heard_from(member_address who);
  void take(member_address from, const domain_alarm& message);
  void watch_domains();
  /** Looks up anew which failure domains there are, once a while. */
  void refresh_domains();
  void check_doubts();
  void probe_domain(domain_key domain);
  void send_probes(const std::vector<std::uint64_t>& members);
  void begin_suspicion(const domain_watch::findings::suspicion& found);
  /** `lasted`: how long it was suspect. */
  void end_suspicion(domain_key domain, std::string_view reason,
                     duration lasted);
  void send_alarms();
  /** Tries elsewhere what hangs in a suspect domain and may be repeated. */
  void leave_hung_calls();
  void leave_hung_call(exchange& x);
  void leave_way_trials();

  // gateway_lives.cc
  /** Returns whether a call that looks whole may have been cut. */
  bool is_end_in_doubt(const exchange& x, call_end end);
  /** Has its target tried before the answer counts as whole. */
  void doubt_end(exchange& x);
  void check_lives();
  /** A target was tried for life, or for another reason. */
  void note_life(const event::target_probed& e);
  void settle_ends(const event::target_probed& e);
  /**
   * Settles the ends of answers that are in doubt: all, if their target has
   * ended, else those before it was tried.
   */
  void settle_ends(target_hash target, time_point tried, call_end end);

  // gateway_reach.cc
  /** A target was heard, or took a connection. */
  void note_reached(const target_id& target);
  /** A new connection to a target came up. */
  void note_connected();
  /** No connection to a target came up, or one broke. */
  void note_unreached(const target_id& target, call_end how);
  /** A connection to a target was tried for its own sake. */
  void note_tried(const event::target_probed& e);
  void watch_reach();
  void try_connection(const target_state* target);
  /** Tries connections to some of the targets, drawn anew each time. */
  void try_some(std::vector<target_state*> targets, std::size_t count);
  /** Asks engines that owe no byte for one. */
  void ask_witnesses(std::size_t count);
  void hear_witness(const target_id& target, bool is_answered);
  void begin_cut();
  void end_cut(time_point since);
  void tell_cut(bool is_cut_off);

  /** Others saw a target end: it may have started again since. */
  void note_told_end(const target_end& end);

  // gateway_origins.cc
  /** Finds where the stream began that a request takes up, if it does. */
  void follow_stream(exchange& x);
  /** Asks who may know; returns false where nobody is. */
  bool ask_origin(exchange& x);
  void send_origin_requests(const exchange& x);
  /** No instance knows: goes by what was seen, or by what targets keep. */
  void end_tracing(exchange& x);
  /** Nobody knows its version, or who served it had doubts. */
  void refuse_unknown(exchange& x, std::string_view reason,
                      const stream_evidence& evidence);
  /** `source`: who knew, for the log. */
  void go_on(exchange& x, const stream_origin& origin, std::string_view source);
  /** The first event of a stream is about to be passed on. */
  void note_origin(exchange& x);
  void keep_origin(const exchange& x);
  /** `most`: members that are told of a row, in a large fleet. */
  void tell_origins(const std::vector<origin_row>& rows,
                    std::size_t most = kOriginKeepers);
  /** In a planned stop, for those that began to listen after a stream did. */
  void hand_origins_over();
  void note_software(const target_entry& entry);
  /** The target has started again: what runs there may be of either life. */
  void doubt_streams_at(const target_id& target);
  void expire_origins();
  void tick_tracing();
  void take(member_address from, const origin_message& message);
  void take(member_address from, const origin_request& message);
  void take(member_address from, const origin_answer& message);

  // gateway_evidence.cc
  void on(event::contents_answer&& e);
  /** Asks targets who keeps its prompt; false: nothing can be asked for. */
  bool ask_targets(exchange& x);
  void ask_for_lists(const exchange& x);
  /** Keeps where its prompt ran, for callers that name no request. */
  void keep_prompt(const exchange& x);
  /** Decides by the lists, unless more are to come. */
  void weigh_evidence(exchange& x);
  /** Has another instance find out; refuses where none can be asked. */
  void hand_on_unknown(exchange& x);

  // gateway_placement.cc
  /** Returns whether a request is to show if targets answer again. */
  bool tries_way(exchange& x);

  // gateway_relay.cc
  /** Hands a request on; returns false where no instance can be asked. */
  bool relay(exchange& x);
  action::call_peer relay_call_of(const exchange& x);
  /** Returns the instance to hand a request on to; 0: none is left. */
  member_address relay_for(const exchange& x);
  /** Returns false if a request of another instance was refused. */
  bool admit_relayed(exchange& x);
  /** Tells the instance that handed it on to try another. */
  void refuse_relayed(exchange& x, std::string_view reason);
  /** An instance answered otherwise than with success. */
  void relay_failed(exchange& x);
  /** Finds another place for a request that did not run at the last one. */
  void place_again(exchange& x);

  // gateway_words.cc
  /** Takes in what the answer under way says of its target. */
  void hear_answer(exchange& x);
  /** An engine turned a request away and said no more. */
  void note_turned_away(const exchange& x, target_state& target);
  void hear_word(target_state& target, const heard_answer& heard);
  /** What a target last said is to be told to others. */
  void to_tell(const target_state& target, target_life life,
               bool is_over = false);
  void tell_words();
  /** Adds what is due: of targets that leave, or of all others. */
  void add_due_words(word_message& message, bool of_leaving);
  /**
   * Tells all of a target that leaves by the store's word; false: another item.
   */
  bool tells_leaving(const store_item& item);
  void take(member_address from, const word_message& message);
  void take_word(member_address from, target_state& target,
                 const word_row& row);
  void log_word(const target_state& target, const target_word& word,
                std::string_view source);
  /**
   * Lets a request wait, or refuses it, if all targets that may serve it rest.
   */
  bool wait_for_rest(exchange& x);

  // gateway_limits.cc
  void hear_limit(target_state& target, const heard_answer& heard);
  /** A limit changed; `is_first`: others are to be told of it. */
  void note_limit(target_state& target, std::string_view source, bool is_first);
  /** Returns the changes that are due to be told. */
  std::vector<limit_row> due_limits();
  /** Returns some of the limits in force, others each time. */
  std::vector<limit_row> next_limits();
  void take_limits(const std::vector<limit_row>& rows);
  void take_limit(target_state& target, const limit_row& row);

  // gateway_quarantine.cc
  /** Returns whether a call that just broke may be why its target ended. */
  bool may_have_ended_target(const exchange& x);
  /** A call broke: finds out whether its target ended. */
  void suspect_request(exchange& x);
  void on(event::target_probed&& e);
  /** Finds out whether this instance reaches targets other than one. */
  void try_others(const target_id& than);
  /** Another target was heard: those that refuse connections have ended. */
  void blame_refusing_targets();
  /** Without notice, a target went or started again. */
  void note_replaced(const target_id& target, std::string_view reason);
  /** These were running where a target ended. */
  void blame(const std::vector<request_fingerprint>& requests,
             const target_id& target, std::string_view reason);
  /** A target has run the request to an answer. */
  void clear_blame(const exchange& x);
  /** Tells all that a content was answered whole before it was blamed. */
  void tell_proof(const request_fingerprint& request);
  void clear_blame(const exchange& x, const request_fingerprint& what,
                   time_point at);
  /** A run has shown by then that no part of its prompt ends targets. */
  void clear_parts(exchange& x, time_point at);
  /** The same for all runs that have passed events on for a while. */
  void clear_proven_parts();
  /** Returns all that is blamed where a run breaks with its target. */
  static std::vector<request_fingerprint> suspects_of(const exchange& x);
  static bool is_about(const exchange& x, const request_fingerprint& what);
  /** Returns whether one more end may have the request refused. */
  bool is_near_verdict(const exchange& x) const;
  /** Returns what of a request is refused now; none: it may run. */
  std::optional<request_fingerprint> refused_content(const exchange& x) const;
  /** Returns whether a request may run though a part of it is refused. */
  bool may_try(exchange& x, const request_fingerprint& what);
  /** Returns what is still to be told, that of most ends first. */
  std::vector<request_fingerprint> untold_by_ends() const;
  void note_quarantine(const request_fingerprint& request, bool was_refused,
                       std::string_view source);
  /** Parts have come to be refused as time passed. */
  void note_new_verdicts();
  /**
   * Takes runs from their targets whose contents were refused since the last
   * event. Not at once: the event may be about one of them.
   */
  void stop_refused_runs();
  /** Takes a request away from targets that may not have begun it. */
  void stop_runs_of(const request_fingerprint& request);
  /** Returns whether the request is not to run, and was given its end. */
  bool refuse_quarantined(exchange& x);
  /** Tells all who is blamed, or no longer. */
  void tell_blame();
  void take(member_address from, const blame_message& message);
  void take_blame(const std::vector<blame_row>& rows);

  // gateway_placement.cc
  void place(exchange& x);
  /** For requests that name no model. */
  void place_on_least_busy(exchange& x,
                           const std::vector<target_state*>& targets);
  void place_on_engine(exchange& x, const std::vector<target_state*>& targets);
  /** Returns those of the targets that a request chooses from. */
  std::vector<target_state*> candidates(
      const std::vector<target_state*>& targets, const exchange& x) const;
  /**
   * Asks the holders of targets how busy these are; returns whether the
   * request is to wait for their word.
   */
  bool asks_for_loads(exchange& x, const std::vector<target_state*>& targets);
  target_state* least_busy(const std::vector<target_state*>& targets,
                           const exchange& x) const;
  /** A target, and what it would cost a request to run there. */
  struct valued_target {
    target_state* target = nullptr;
    engine_option option;
    duration cost{};
  };
  engine_option option_of(const exchange& x, const target_state& target) const;
  choice_facts facts_of(const exchange& x) const;
  /** Values targets; those that cannot serve the request are left out. */
  std::vector<valued_target> value(
      const exchange& x, const std::vector<target_state*>& targets) const;
  /** Returns the first targets in an adapter's rendezvous order. */
  static std::vector<target_state*> in_order_of(
      const adapter_name& name, const std::vector<target_state*>& targets,
      std::size_t most);
  /** Returns where an adapter is most likely to be or to be loaded. */
  std::vector<target_state*> first_homes(
      const exchange& x, const std::vector<target_state*>& targets) const;
  /** Returns targets without the adapter on which it might be loaded. */
  std::vector<valued_target> homes(
      const exchange& x, const std::vector<target_state*>& targets) const;
  /** `with_doubtful`: also where the holder may not answer. */
  std::vector<valued_target> homes_among(
      const exchange& x, const std::vector<target_state*>& order,
      bool with_doubtful) const;
  /** Returns how many requests run on a target of its service, as a mean. */
  double mean_running(const exchange& x);
  /** Asks for one more copy where those that there are have too much to do. */
  void want_copy(const exchange& x, const valued_target& best,
                 const std::vector<valued_target>& homes);
  void wait_for(exchange& x, target_state* home, std::string_view reason);
  /** What each call begins with, to a target or to an instance. */
  void begin_call(exchange& x);
  void dispatch(exchange& x, target_state& target);
  void place_waiting();
  void end_call(exchange& x, bool success, bool severe);
  /** No connection came up for its call. */
  void retry_unsent(exchange& x);
  /** Refuses a request whose call found no room for a connection. */
  void leave_unsent(exchange& x);
  void whole_answer(exchange& x);
  void failed_answer(exchange& x);
  /** Ends an answer that has begun, so that it is seen to be incomplete. */
  void abort_answer(exchange& x);
  void broken_call(exchange& x, call_end end);
  bool may_retry(exchange& x, bool ran);
  void retry(exchange& x, std::string_view reason);
  void give_up(exchange& x);
  void refuse(exchange& x, int status, duration retry_after,
              std::string_view reason);
  /**
   * Returns how much later than the first a refused caller is asked back; of
   * what comes so far `apart`, others are to have their part.
   */
  duration return_spread(const exchange& x, duration apart);
  void pass_on(exchange& x);
  void send_stream_head(exchange& x);
  void send_events(exchange& x);
  void finish(caller_id caller);
  void expire_exchanges();
  exchange* by_call(call_id call);
  target_state* target_of(const exchange& x);
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_GATEWAY_IMPL_H_
