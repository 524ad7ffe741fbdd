// seamglade - the owner of one target: queue, in-flight table, slots and orders
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_TARGET_OWNER_H_
#define SEAMGLADE_SRC_PROCESS_TARGET_OWNER_H_

#include "process/load_budget.h"
#include "process/slot_table.h"
#include "request/idempotency.h"
#include "request/job_queue.h"

namespace seamglade::detail {

/** A request that was sent to the target and has no complete answer yet. */
struct running_job {
  job what;
  time_point started;
  bool cancelled = false;
};

/** A request that was not run is worth another try after this at least. */
inline constexpr duration kLeastRetryAfter = 1s;

/**
 * One target, as seen by the instance that owns it or may come to own it.
 *
 * Every request and order for the target passes through its one owner, so
 * that what runs and which adapters are in use is known exactly here.
 */
class target_owner {
 public:
  target_owner(core& shared, load_budget& budget, answer_sink& sink,
               const placement_policy& policy, target_entry entry);

  /** Takes the target's entry in a new list, and the settings in force. */
  void update(const target_entry& entry, bool service_changed);
  void set_first(bool first, bool list_changed);
  /** Queues a request, or returns why it is refused. */
  std::optional<refusal> submit(job request);
  void cancel(const request_id& id);
  /** Runs what can run now, and orders what is due. */
  void pump();
  void on_time();

  bool on_part(call_id call, answer_part piece);
  bool on_failed(const event::target_failed& failed);
  bool on_order_reply(const event::order_reply& reply);

  /** Gives the target up; returns what its successor needs to know. */
  std::optional<handover> hand_over();
  void on_handover(const handover& from);
  void on_handover_done(const handover_done& from);
  /** Returns the message that a successor waits for, once it is true. */
  std::optional<handover_done> take_handover_done();

  const target_entry& entry() const { return entry_; }
  const ownership& owner() const { return ownership_; }
  bool idle() const { return running_.empty() && queue_.empty(); }
  bool queue_empty() const { return queue_.empty(); }
  /** Whether a call is one of this target's. */
  bool has_call(call_id call) const { return running_.contains(call); }
  /** Wait for a place in the batch, as the queue stands. */
  duration queue_wait() const;
  /** Wait of one more request, a load included. */
  duration expected_wait(const request_spec& spec) const;
  std::vector<std::string> loaded() const;
  controller_status::target status() const;
  time_point wakeup() const;

 private:
  struct pending_order {
    order_kind kind = order_kind::report;
    std::optional<adapter_ref> adapter;
    time_point sent;
    time_point times_out;
  };
  struct load_backoff {
    time_point until;
    duration wait{};
  };

  const service_settings& settings() const;
  void configure();
  void send_order(target_order what, duration timeout);
  void apply_report(const target_report& report, time_point asked);
  void on_change(owner_change change);
  void finish_load(const adapter_ref& adapter, order_status status);
  void refuse_all(const std::vector<job>& jobs, outcome_kind kind,
                  refusal_reason reason, duration retry_after);
  void refuse_one(const job& what, outcome_kind kind, refusal_reason reason,
                  duration retry_after);
  void requeue(job what);
  std::optional<refusal> admission(const job& request) const;
  bool has_adapter(const adapter_ref& adapter) const;
  engine_view view() const;
  bool run_steps(const std::vector<placement_step>& steps);
  bool start(const adapter_ref& adapter, std::uint32_t count);
  /** What a naive version does; only with the switch exact_version off. */
  void take_any_version(job& what) const;
  void dispatch(job what);
  void order_load(const adapter_ref& adapter);
  void order_unload(const adapter_ref& adapter);
  bool may_order() const;
  bool may_evict(const adapter_ref& adapter, const adapter_slot& slot) const;
  void note_success();
  void note_failure();
  bool ejected() const { return shared_.now < ejected_until_; }
  std::uint32_t concurrency() const;
  void withdraw_want();
  void send_due_orders();
  void expire_orders();
  void expire_running();

  core& shared_;
  load_budget& budget_;
  answer_sink& sink_;
  const placement_policy& policy_;
  target_entry entry_;
  std::string settings_path_;
  ownership ownership_;
  slot_table slots_;
  job_queue queue_;
  idempotency_table keys_;
  std::map<call_id, running_job> running_;
  std::map<call_id, pending_order> orders_;
  std::map<adapter_ref, load_backoff> backoffs_;
  std::map<adapter_ref, demand_counter> demand_;
  std::uint64_t incarnation_ = 0;
  std::uint32_t failures_ = 0;
  time_point ejected_until_ = kLongAgo;
  time_point next_poll_ = kLongAgo;
  time_point pumped_ = kLongAgo;
  bool report_pending_ = false;
  bool wants_load_ = false;
  /** The handover whose running requests are still to end. */
  std::optional<fence> owes_done_;
  /** What the former owner said is in use, until this one owns the target. */
  std::optional<handover> received_;
  /** Mean time a request runs, in seconds. */
  double mean_run_ = 0.2;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_TARGET_OWNER_H_
