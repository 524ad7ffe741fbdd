// seamglade - fakes of targets, links and the platform under virtual time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_FAKES_WORLD_H_
#define SEAMGLADE_FAKES_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "seamglade/controller.h"

namespace seamglade::fakes {

/** Moments at which a fault can be brought about. */
enum class step : std::uint8_t {
  accepted,        // an entry instance took a caller's request
  forwarded,       // it was sent to the owner of a target
  queued,          // the owner got it
  loading,         // a load was ordered
  dispatched,      // it was sent to the target
  first_token,     // the first piece of the answer reached the owner
  mid_stream,      // a later piece did
  last_token,      // the last piece did
  relayed,         // the caller got the last piece
  unload_ordered,  // an unload was ordered
  claim_sent,      // ownership of a target was claimed
  handed_over,     // an owner named its successor
  draining,        // an instance began to drain
  config_accepted  // an instance accepted a document
};

inline constexpr std::size_t kStepCount = 14;
std::string_view to_string(step which);

/** Times and sizes of a fake target. */
struct target_options {
  std::string service;
  std::string base;
  std::string zone;
  std::uint32_t slots = 2;
  duration load_time = 200ms;
  duration token_time = 50ms;
  std::uint32_t tokens = 6;
  /** Whether it refuses orders with an old fence. */
  bool checks_orders = true;
  /** Whether it refuses to unload an adapter in use. */
  bool refuses_busy_unload = false;
};

/** What a target really ran. */
struct run_record {
  std::string tag;
  target_id target;
  std::string model;
  std::string key;
  time_point begun;
};

/** What a caller saw. */
struct caller_record {
  std::string tag;
  instance_id entry;
  std::string model;
  bool repeatable = true;
  std::string key;
  time_point issued;
  time_point first_piece = time_point::max();
  time_point ended = time_point::max();
  std::string text;
  std::uint32_t next_sequence = 0;
  bool out_of_order = false;
  bool complete = false;
  bool aborted = false;
  /** The entry instance died under it. */
  bool entry_lost = false;
  std::optional<refusal> refused;

  bool over() const { return ended != time_point::max(); }
};

/** How messages between instances are disturbed, each with its chance. */
struct message_faults {
  double lose = 0;
  double twice = 0;
  double late = 0;
  duration lateness = 1500ms;
};

/**
 * A fleet in one process: controllers joined by fake links, targets and a
 * configuration service. Time is virtual; a seed gives one history.
 */
class world {
 public:
  explicit world(std::uint64_t seed, mechanism_switches switches = {});
  ~world();

  void add_instance(const instance_id& id, const std::string& zone);
  void add_target(const target_id& id, target_options options);
  /** Publishes a document on the configuration service. */
  void publish(const std::string& name, const std::string& text);
  /** Publishes the list of all members as they are marked now. */
  void publish_fleet();
  void mark_instance(const instance_id& id, member_state state);
  void mark_target(const target_id& id, member_state state);

  /** Starts an instance, with empty hands. */
  void boot(const instance_id& id);
  void boot_all();
  void kill(const instance_id& id);
  /** Suspends an instance; its last actions are carried out on waking. */
  void freeze(const instance_id& id, duration time);
  void drain(const instance_id& id);
  void wall_jump(const instance_id& id, std::chrono::milliseconds by);

  /** Cuts what `from` sends to `to`; both are instances or targets. */
  void cut(const std::string& from, const std::string& to);
  void heal();
  void disturb(const message_faults& faults) { faults_ = faults; }

  /**
   * Makes all targets load from one store: loads begin no faster than `rate`
   * a second, `parallel` at once, in the order in which they were asked for.
   */
  void set_weight_store(double rate, std::uint32_t parallel);
  /** If set, tells how long a load takes on a store without a queue. */
  std::function<duration(const std::string& adapter)> load_time_of;

  /** Whether instances that boot from now on use the naive policy. */
  bool naive_policy = false;

  void restart_target(const target_id& id);
  void stop_target(const target_id& id);
  void fail_loads(const target_id& id, std::uint32_t count);
  void slow_target(const target_id& id, int factor);
  void set_reports_frozen(const target_id& id, bool frozen);

  void set_service_down(bool down) { service_down_ = down; }
  /** From now on one instance reads what was published by now. */
  void set_service_stale(const instance_id& id, bool stale);

  caller_id call(const instance_id& entry, const std::string& model,
                 const std::string& tag, bool repeatable = true,
                 const std::string& key = {},
                 urgency priority = urgency::urgent,
                 std::optional<duration> deadline = std::nullopt);
  void hang_up(caller_id caller);

  /** Is told of each step, with the instance and target it happened at. */
  std::function<void(step, const instance_id&, const target_id&)> on_step;

  void run_for(duration time);
  time_point now() const { return now_; }
  void at(time_point when, std::function<void()> task);

  bool is_running(const instance_id& id) const;
  bool is_finished(const instance_id& id) const;
  controller_status status(const instance_id& id) const;
  /** Returns a value in force at an instance, for a path and key. */
  std::string setting(const instance_id& id, const std::string& path,
                      const std::string& key) const;
  std::vector<instance_id> instances() const;
  std::vector<target_id> targets() const;
  std::vector<std::string> loaded(const target_id& id) const;
  /** Returns who renewed the target's claim last; empty if nobody did. */
  std::string holder(const target_id& id) const;
  std::uint64_t service_calls() const { return service_calls_; }
  /** How fully a target's batch was used while it ran anything. */
  struct batch_use {
    double busy_seconds = 0;
    double request_seconds = 0;
  };
  batch_use batches(const target_id& id) const;

  const std::vector<run_record>& runs() const { return runs_; }
  const std::map<caller_id, caller_record>& callers() const { return callers_; }
  /** What broke a guarantee inside a target, in words. */
  const std::vector<std::string>& target_faults() const {
    return target_faults_;
  }
  /** Returns the text of a complete answer. */
  static std::string full_text(const std::string& tag, const std::string& model,
                               std::uint32_t tokens);

 private:
  struct instance;
  struct target;
  struct run;
  struct pending_message;

  using link_key = std::pair<instance_id, instance_id>;
  struct link_state {
    bool up = false;
    std::uint64_t epoch = 0;
    time_point cut_since = time_point::max();
  };
  struct published_entry {
    std::string text;
    std::uint64_t index = 0;
  };

  void later(duration wait, std::function<void()> task);
  void tell(const instance_id& id, std::uint64_t incarnation, any_event what);
  void handle(instance& who, any_event what);
  void carry_out(instance& who, std::vector<any_action> actions);
  void tick(const instance_id& id);
  void arm(instance& who);
  void thaw(const instance_id& id, std::uint64_t incarnation);
  void took(step which, const instance_id& id, const target_id& where = {});
  /** Tells of the step that an action is about to take. */
  void announce(const instance& who, const any_action& next);

  void act(instance& who, action::reply_part& a);
  void act(instance& who, action::reply_refusal& a);
  void act(instance& who, action::reply_abort& a);
  void act(instance& who, action::send_peer& a);
  void act(instance& who, action::link_peers& a);
  void act(instance& who, action::call_target& a);
  void act(instance& who, action::cancel_call& a);
  void act(instance& who, action::send_order& a);
  void act(instance& who, action::read_service& a);
  void act(instance& who, action::log_decision& a);
  void act(instance& who, action::finished& a);

  bool is_cut(const std::string& from, const std::string& to) const;
  void check_links();
  void link_down(const link_key& key);
  void deliver(const instance_id& from, const instance_id& to,
               std::uint64_t epoch, const message& body, duration wait);
  void arrive(const instance_id& owner, std::uint64_t incarnation,
              const action::call_target& a);
  void next_token(std::uint64_t run_number);
  void end_run(std::uint64_t run_number, bool broken);
  void answer_order(const instance_id& to, std::uint64_t incarnation,
                    call_id order, const target_id& from, order_status status,
                    bool with_report);
  void carry_out_order(const instance_id& from, std::uint64_t incarnation,
                       const action::send_order& a);
  target_report report_of(const target& t) const;
  void begin_load(std::function<void()> done, duration takes);
  void store_step();
  void note_batch(target& t, int change);
  void answer_service(const instance_id& id, std::uint64_t incarnation);
  void wake_watchers();

  std::mt19937_64 random_;
  mechanism_switches switches_;
  time_point now_{};
  std::uint64_t order_ = 0;
  std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> agenda_;
  std::map<instance_id, std::unique_ptr<instance>> instances_;
  std::map<target_id, std::unique_ptr<target>> targets_;
  std::map<link_key, link_state> links_;
  std::set<std::pair<std::string, std::string>> cuts_;
  message_faults faults_;
  std::map<std::uint64_t, std::unique_ptr<run>> active_;
  std::uint64_t last_run_ = 0;
  std::uint64_t last_incarnation_ = 0;
  caller_id last_caller_ = 0;
  std::map<caller_id, caller_record> callers_;
  std::vector<run_record> runs_;
  std::vector<std::string> target_faults_;
  std::map<std::string, published_entry> published_;
  std::uint64_t service_index_ = 0;
  std::uint64_t service_calls_ = 0;
  bool service_down_ = false;

  struct store_load {
    std::function<void()> done;
    duration takes{};
  };
  double store_rate_ = 0;
  std::uint32_t store_parallel_ = 0;
  std::uint32_t store_running_ = 0;
  time_point store_next_;
  std::deque<store_load> store_queue_;
};

}  // namespace seamglade::fakes

#endif  // SEAMGLADE_FAKES_WORLD_H_
