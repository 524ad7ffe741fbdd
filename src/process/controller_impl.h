// seamglade - the controller: joins the modules of the decisions
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_CONTROLLER_IMPL_H_
#define SEAMGLADE_SRC_PROCESS_CONTROLLER_IMPL_H_

#include <map>
#include <set>

#include "process/fact_table.h"
#include "process/membership.h"
#include "process/permit_broker.h"
#include "process/service_reader.h"
#include "process/target_owner.h"
#include "request/entry_table.h"
#include "request/served_table.h"
#include "version/document_store.h"

namespace seamglade {

class controller::impl final : public detail::request_router,
                               public detail::answer_sink {
 public:
  explicit impl(controller_options options);

  std::vector<any_action> handle(time_point now, any_event event);
  time_point next_wakeup() const;
  controller_status status() const;
  std::shared_ptr<const settings_tree> tree() const { return core_.tree; }

  // request_router
  std::optional<detail::route> choose(
      const request_spec& spec, const std::set<target_id>& tried,
      std::vector<std::string>& weighed) override;
  void deliver(const detail::route& where, submit request) override;
  void tell(const instance_id& owner, message what) override;

  // answer_sink
  void on_answer(const request_id& id, const std::string& entry,
                 answer_part piece) override;
  void on_refusal(const request_id& id, const std::string& entry,
                  const refusal& why) override;

 private:
  using owner_map = std::map<target_id, detail::target_owner>;

  // Events.
  void on(event::caller_request&& e);
  void on(event::caller_gone&& e);
  void on(event::peer_up&& e);
  void on(event::peer_down&& e);
  void on(event::peer_message&& e);
  void on(event::target_part&& e);
  void on(event::target_failed&& e);
  void on(event::order_reply&& e);
  void on(event::published&& e);
  void on(event::service_failed&& e);
  void on(event::wall_time&& e);
  void on(event::tick&& e);
  void on(event::drain&& e);

  // Messages of peers.
  void take(const instance_id& from, submit&& m);
  void take(const instance_id& from, part&& m);
  void take(const instance_id& from, refuse&& m);
  void take(const instance_id& from, cancel&& m);
  void take(const instance_id& from, query&& m);
  void take(const instance_id& from, acknowledge&& m);
  void take(const instance_id& from, heartbeat&& m);
  void take(const instance_id& from, settings_have&& m);
  void take(const instance_id& from, settings_push&& m);
  void take(const instance_id& from, permit_request&& m);
  void take(const instance_id& from, permit_grant&& m);
  void take(const instance_id& from, handover&& m);
  void take(const instance_id& from, handover_done&& m);

  void submit_here(const instance_id& entry, submit&& m);
  bool ready() const;
  void catch_up();
  void offer(const std::string& name, const std::string& text,
             std::uint64_t index);
  void apply_documents();
  void apply_fleet();
  void update_owners(bool list_changed);
  void refresh_first(bool list_changed);
  void hand_over(detail::target_owner& owner, const instance_id& successor);
  void hand_over_if_due();
  void send_heartbeats();
  void send_heartbeat(const instance_id& peer, std::size_t most_facts);
  void publish_facts(const detail::target_owner& owner);
  instance_id owner_of(const target_id& target) const;
  duration reported_wait(const target_id& target) const;
  std::vector<target_id> usable_targets(const request_spec& spec,
                                        const std::set<target_id>& tried) const;
  detail::route route_to(const target_id& target) const;
  void run_due();
  void finish_drain();
  std::optional<detail::route> choose_engine(
      const request_spec& spec, const std::vector<target_id>& usable,
      std::vector<std::string>& weighed);
  std::vector<target_id> keyed_target(const request_spec& spec) const;

  detail::core core_;
  detail::document_store store_;
  detail::membership members_;
  detail::permit_broker permits_;
  detail::service_reader reader_;
  detail::fact_table facts_;
  detail::entry_table entry_;
  detail::served_table served_;
  std::unique_ptr<placement_policy> policy_;
  owner_map owners_;
  /** Targets by service and base model, in order of name. */
  std::map<std::string, std::vector<target_id>> by_service_;
  std::map<std::uint32_t, instance_id> instance_names_;
  std::map<std::uint32_t, target_id> target_names_;
  std::map<target_id, time_point> misplaced_since_;
  time_point started_ = time_point::min();
  time_point next_beat_ = time_point::min();
  time_point last_submit_ = time_point::min();
  time_point drain_since_ = time_point::max();
  bool documents_changed_ = false;
  bool fleet_changed_ = false;
  bool finished_ = false;
  /** Whether a peer has told of no newer document than those accepted. */
  bool heard_peer_ = false;
  /** Whether this instance may act under the documents it has. */
  bool caught_up_ = false;
  /** Orders the facts that this instance knows first hand. */
  std::uint64_t last_fact_clock_ = 0;
  /** Adapters that were told to be held, by target. */
  std::map<target_id, std::set<std::uint64_t>> published_;
};

}  // namespace seamglade

#endif  // SEAMGLADE_SRC_PROCESS_CONTROLLER_IMPL_H_
