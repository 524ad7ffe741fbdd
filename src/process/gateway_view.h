// seamglade - the direct path: what follows from what an instance knows
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_GATEWAY_VIEW_H_
#define SEAMGLADE_SRC_PROCESS_GATEWAY_VIEW_H_

#include <optional>
#include <vector>

#include "process/gateway_memory.h"

namespace seamglade::gateway {

/**
 * Look-ups on what an instance knows; none changes anything. Members are
 * grouped by the file that defines them, beside the decisions that go by them.
 */
class gateway_view : protected gateway_memory {
 protected:
  using gateway_memory::gateway_memory;
  ~gateway_view() = default;

  proximity distance_to(member_address member) const {
    return roster_.distance_to(member);
  }

  // gateway.cc
  bool is_ready() const;

  // gateway_stop.cc
  /** Returns by when a request has its answer, also in a planned stop. */
  time_point answer_by(const exchange& x) const;
  duration time_left(const exchange& x) const;
  /** Returns whether a run of a request that begins now ends in time. */
  bool ends_before_stop(const exchange& x) const;
  /** Returns whether the stop, and not its own time, is what ends it. */
  bool is_ended_by_stop(const exchange& x) const;
  /** Returns when a caller is to come back that this instance can't serve. */
  duration come_back_in_stop() const;

  // gateway_dispatch.cc
  /**
   * Returns how many idle connections this instance may keep to each target of
   * a service; 0: nothing tells.
   */
  std::size_t idle_share(const service_profile& service) const;

  // gateway_store.cc
  /** Returns whether entries that went may have lapsed with the store. */
  bool lapsed_with_store(const std::vector<store_item>& news) const;
  /** Returns the pause after one more failure of the store. */
  duration next_pause(duration last) const;
  /** Returns the latest time at which the store surely was as an answer says.
   */
  time_point known_at(time_point sent, duration wait, bool changed) const;
  duration store_age() const;
  duration copy_age() const;
  bool was_store_away() const;
  /** Tells how far a read of the whole store has come. */
  std::vector<log_field> range_progress() const;
  /** Tells why requests that come can't be routed. */
  std::string_view why_no_configuration() const;

  // gateway_epochs.cc
  /** Returns whether an item is the configuration or version in force. */
  bool is_version_in_force(const store_item& item) const;
  /** Returns the version of the configuration in force; 0: none. */
  std::uint64_t configuration_in_force() const;

  // gateway_operators.cc
  /** Returns the revision up to which all that operators wrote is known. */
  std::uint64_t operators_known() const;

  // gateway_watchers.cc
  bool is_watcher_of_mesh() const;

  // gateway_members.cc
  /** Returns how old the own copy must be to ask another domain for one. */
  duration far_copy_age(member_address from) const;
  bool is_staying(member_address who) const;
  heartbeat own_heartbeat() const;
  /** Returns a number that two share who know the same claims. */
  std::uint64_t claims_digest() const;
  void add_own_claims(heartbeat& message) const;

  // gateway_peers.cc
  std::vector<adapter_interest> interest_in(const target_state& target) const;

  // gateway_orders.cc
  bool may_give_orders() const;
  duration takeover_wait() const;
  /** Returns whether a member comes before this one in a target's order. */
  bool precedes_me(member_address member, target_hash target) const;
  bool is_handed_over(target_hash target) const;
  bool is_my_turn(const target_state& target) const;
  std::optional<time_point> quiet_since(target_hash target) const;
  bool has_live_holder(target_hash target) const;

  // gateway_workspaces.cc
  /** Returns whether the first word of keys may come in a moment. */
  bool awaits_keys() const;
  /** Returns how old the word is that the keys in force are still so. */
  duration key_age() const;
  bool are_keys_confirmed() const;
  /** Returns whom a request asks for a grant, in this order. */
  std::vector<member_address> accountants_to_ask(const exchange& x) const;
  double quota_amount(const exchange& x) const;
  fleet_view view_of_fleet() const;

  // gateway_admission.cc
  bool is_word_fresh(const target_state& target) const;
  static bool may_be_asked(const exchange& x, const target_state& target);
  /** Returns the target whose admitter is to be asked; null: none is left. */
  target_state* next_to_ask(const exchange& x,
                            const std::vector<target_state*>& targets) const;
  /** Returns the least time that a target of fresh word would take. */
  duration least_expected(const exchange& x,
                          const std::vector<target_state*>& targets) const;
  /** Returns the staying members of the target's region; none there: all. */
  std::vector<member_address> members_near(const target_state& target) const;
  member_address admitter_of(const target_state& target) const;

  // gateway_grants.cc
  bool is_cold(const target_state& target) const;
  /** Returns whether each request there needs a grant. */
  bool needs_grant(const target_state& target) const;
  /** Returns whether a target's grantor is not to be asked just now. */
  bool is_spent(const target_state& target) const;
  /** Returns those that are not spent; all, where all are. */
  std::vector<target_state*> without_spent(
      const std::vector<target_state*>& targets) const;
  /** Returns how long a target's grantor has nothing left. */
  duration grant_wait(const target_state& target) const;
  /** Returns the time between two grants of a limit; zero: it names none. */
  duration grant_gap(const target_state& target) const;
  /** Returns when a request that was not run is worth another try. */
  duration come_back(const exchange& x, duration usual) const;

  // gateway_work.cc
  /** Returns how long loads take, as own targets and their holders tell. */
  duration load_time() const;

  // gateway_domains.cc
  /** Returns the longest time for which a service's targets are cold. */
  duration longest_cold_time() const;
  /** Whether it may get nothing at all, not even an order or a question. */
  bool gets_nothing(const target_state& target) const;
  /** Returns whether its route and its workspace may be served there. */
  bool is_in_allowed_region(const exchange& x,
                            const target_state& target) const;
  bool may_run_at(const exchange& x, const target_state& target) const;
  proximity distance_to(const target_state& target) const;

  // gateway_loss.cc
  bool is_suspect(const target_state& target) const;
  /** Returns whether a request is to find out if a suspect target is back. */
  bool is_trial(const exchange& x, const target_state& target) const;
  /** Returns whether a member is to be asked last, and not relied on. */
  bool is_passed_over(member_address who) const;
  /** Returns whether loads can be wished of a target's holder now. */
  bool has_reachable_holder(target_hash target) const;

  // gateway_reach.cc
  bool is_out_of_reach(const target_state& target) const;

  // gateway_relay.cc
  bool is_any_in_reach(const std::vector<target_state*>& targets) const;

  // gateway_words.cc
  word_row word_of(const target_state& target, target_life life) const;
  /** Returns how long after a rest others are to try a target first. */
  duration trial_turn(const target_state& target) const;
  availability availability_of(const target_state& target) const;
  /** Returns whether a target may get the request now, if only as the last. */
  bool may_be_sent_to(const exchange& x, const target_state& target) const;

  // gateway_limits.cc
  /** Returns the requests a second that a target takes; none: no limit. */
  std::optional<double> limit_of(const target_state& target) const;
  limit_row limit_row_of(const target_state& target) const;

  // gateway_origins.cc
  /** Returns how long callers may come back to a stream. */
  duration longest_stream() const;
  /** Returns whether a target surely is in the life that its entry tells. */
  bool is_life_certain(const target_state& target) const;
  /** Returns whether its call surely runs at the version it was sent to. */
  bool is_version_certain(const exchange& x, const target_state& target) const;
  /** Returns whether a request goes on with a stream that has begun. */
  static bool takes_up(const exchange& x);
  /** Returns whether a stream that has begun may go on there. */
  bool may_go_on_at(const exchange& x, const target_state& target) const;
  static stream_key stream_key_of(const exchange& x, std::string_view id);
  /** Names a stream by adapter, route and parts of its prompt; 0: no parts. */
  static stream_key prompt_key_of(const exchange& x);
  /** Returns what others are asked of a stream that is taken up by. */
  static stream_key asked_key(const exchange& x);
  /** Returns whether all targets of its route have this service and version,
   * and no other version was seen lately. */
  bool is_only_origin(const exchange& x, const stream_origin& origin) const;
  /** Returns where the same prompt ran, if that proves where the stream did. */
  std::optional<stream_origin> origin_by_prompt(const exchange& x) const;
  /** Returns the service of its route where a stream began; null: none is. */
  const service_profile* service_at(const exchange& x,
                                    const stream_origin& origin) const;
  /** Returns the version's name, or its hash where no target has it; for logs.
   */
  std::string software_name(const stream_origin& origin) const;

  // gateway_evidence.cc
  /** What targets tell of a stream that is taken up. */
  struct stream_evidence {
    std::size_t targets = 0;
    std::size_t pending = 0;
    /** Of those that keep the whole prompt, and of those that did not tell. */
    std::vector<stream_origin> kept;
    std::vector<stream_origin> silent;

    /** Returns where alone the stream can have begun; none: not known. */
    std::optional<stream_origin> only_origin() const;
  };
  /** Returns whether it has listened for as long as a stream may take. */
  bool has_watched() const;
  /** Returns the targets that may keep a stream's prompt. */
  std::vector<const target_state*> targets_to_list(const exchange& x) const;
  part_word part_word_of(const exchange& x, const target_state& target) const;
  stream_evidence evidence_of(const exchange& x) const;

  // gateway_requests.cc
  /** Returns the service that a request's id picks; null: there is none. */
  const service_profile* usual_service(const exchange& x) const;

  // gateway_placement.cc
  std::uint32_t version_of(const adapter_name& name) const;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_GATEWAY_VIEW_H_
