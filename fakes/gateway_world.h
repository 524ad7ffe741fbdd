// seamglade - a fleet of the direct path under virtual time, for tests
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_FAKES_GATEWAY_WORLD_H_
#define SEAMGLADE_FAKES_GATEWAY_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway_world_types.h"
#include "seamglade/gateway.h"

namespace seamglade::fakes {

/**
 * Instances, targets and a store on one event queue.
 *
 * Targets guard themselves: they refuse what they do not hold, lower fences
 * and calls meant for another. Every rule that an order or a run breaks is
 * written down in violations().
 */
class gateway_world {
 public:
  explicit gateway_world(gateway_world_options options);
  ~gateway_world();
  gateway_world(const gateway_world&) = delete;
  gateway_world& operator=(const gateway_world&) = delete;

  time_point now() const { return now_; }
  void run_for(duration time);
  void at(time_point when, std::function<void()> task);

  /** Sends a request to an instance; the record is filled in later. */
  gateway_call& call_engine(gateway::member_address entry,
                            const std::string& adapter,
                            bool repeatable = false);
  gateway_call& call_engine_with(gateway::member_address entry,
                                 const std::string& adapter,
                                 const caller_content& content,
                                 bool repeatable = false);
  gateway_call& call_plain(gateway::member_address entry, bool repeatable);
  gateway_call& call_plain_with(gateway::member_address entry,
                                const caller_content& content, bool repeatable);
  /** Calls a plain service; the workspace's limit counts so many tokens. */
  gateway_call& call_with_key(gateway::member_address entry,
                              const std::string& key, std::uint32_t tokens,
                              const std::string& body = "body");
  /** The same with headers that show keys in any form. */
  gateway_call& call_with_headers(gateway::member_address entry,
                                  std::vector<http_header> headers,
                                  bool is_public = false,
                                  const std::string& body = "body");
  void leave(gateway_call& call);
  /** Begins a stream at the plain service. */
  gateway_call& stream_plain(gateway::member_address entry);
  /** Takes a stream up behind the last event that an earlier call brought. */
  gateway_call& take_up(gateway::member_address entry,
                        const gateway_call& earlier);

  std::vector<gateway::member_address> instances() const;
  void kill(gateway::member_address who);
  void start(gateway::member_address who);
  void freeze(gateway::member_address who, duration time);
  /** Cuts an instance off from the other instances, or heals it. */
  void cut(gateway::member_address who, bool is_cut);
  /** These reach nobody but each other, until the next split; none: all. */
  void split(const std::vector<gateway::member_address>& side);
  /** From now on a datagram is so long under way. */
  void slow_datagrams(duration delay) { datagram_delay_ = delay; }
  /**
   * From now on an instance's link sends so many bytes a millisecond, and drops
   * datagrams that would wait longer than `queue` for it; 0: no bound.
   */
  void limit_links(std::size_t bytes_per_ms, duration queue = 50ms) {
    link_bytes_per_ms_ = bytes_per_ms;
    link_queue_ = queue;
  }
  /** From now on this share of datagrams is lost. */
  void lose_datagrams(double share) { lost_datagrams_ = share; }
  /**
   * A failure domain loses power: its instances die, its targets answer nothing
   * and connections to them hang; or all of it is back.
   */
  void lose_domain(const std::string& domain);
  void restore_domain(const std::string& domain);
  /** Partitions an instance from all targets, or heals it. */
  void cut_targets(gateway::member_address who, target_cut how);
  /** From now on a target's answers come so much later. */
  void slow_target(const std::string& id, duration more);
  /** From now on an answer of the store is so long under way. */
  void slow_store(duration delay) { store_delay_ = delay; }
  /** Instances get no copies of the store from each other, or do again. */
  void block_copies(bool blocked) { copies_blocked_ = blocked; }
  /** Turns an instance away at the store, or serves it again. */
  void deny_store(gateway::member_address who, bool denied);
  /** An instance may open no further connection for requests, or may again. */
  void deny_connections(gateway::member_address who, bool denied);
  /**
   * Open connections to the store and between instances carry nothing any more,
   * without a reset; those opened from now on work.
   */
  void silence_connections();
  /** The store answers nobody, also nobody that waits already; or again. */
  void silence_store(bool silent);
  /** It is told to stop, and goes on until it is killed. */
  void stop(gateway::member_address who);
  /** It is told to stop, and ends by itself before its grace is over. */
  void stop_and_end(gateway::member_address who, duration grace);
  bool is_running(gateway::member_address who) const;
  gateway::gateway_status status(gateway::member_address who);

  std::vector<std::string> engines() const;
  std::vector<std::string> plain_targets() const;
  const std::string& software_of(const std::string& id) const;
  /** Returns the failure domain of an instance or a target. */
  std::string domain_of(gateway::member_address who) const;
  std::string domain_of(const std::string& id) const;
  /** Returns a copy of what was sent so far, by distance. */
  std::map<gateway::proximity, fake_traffic> traffic() const {
    return traffic_;
  }
  /** Returns the targets that hold an adapter or load it. */
  std::vector<std::string> holders_of(const std::string& adapter) const;
  /** It comes back under another id, cold if any is. Returns the id. */
  std::string restart_engine(const std::string& id);
  /**
   * It ends, and after `down` it is back under its id and address with another
   * software version, holding nothing; its entry follows `entry_late` later.
   */
  void upgrade_in_place(const std::string& id, const std::string& software,
                        duration down = 1s, duration entry_late = 0ms);
  /**
   * From now on a target ends soon after it has begun to run this body. It
   * refuses connections for `down`, and is back under another id.
   */
  void end_targets_with(const std::string& body, duration down = 3s);
  /** The same with a part of prompts that is not the last. */
  void end_targets_with_part(const std::string& part, duration down = 3s);
  /** From now on no body ends a target. */
  void spare_targets();
  /** A target ends by itself; back as above. */
  void crash_target(const std::string& id, duration down = 3s);
  /** Resets all connections to a target, which runs on. */
  void reset_connections(const std::string& id);
  /** Returns what a body has done that ends targets. */
  const crash_count& crashes_of(const std::string& body) const;
  const crash_count& crashes_of_part(const std::string& part) const;
  /** A target turns cold that goes on. */
  void make_cold(const std::string& id);
  /** Returns the most requests that came to a cold target in one second. */
  std::size_t most_while_cold() const { return most_while_cold_; }
  void drain_target(const std::string& id);
  /** A target's answers say from now on that it leaves; its entry does not. */
  void say_leaving(const std::string& id, bool leaving = true);
  /** A target turns all requests away for a time and asks for rest. */
  void turn_away(const std::string& id, const fake_rest& rest = {});
  /**
   * From now on a target's answers name a limit of requests a second from all
   * instances together.
   */
  void name_limit(const std::string& id, const fake_limit& limit);
  /** Returns how many requests came to a target since then. */
  std::size_t arrivals_at(const std::string& id, time_point from) const;
  const unheeded_words& unheeded() const { return unheeded_; }
  /** It ends for good, and its entry goes. */
  void remove_target(const std::string& id);
  /** An engine's memory of prompts gives way. */
  void forget_contents(const std::string& id);
  /** From now on an engine leaves questions for its contents unanswered. */
  void fail_lists(const std::string& id, bool failing);
  /** Returns who asked which target for its contents, in order. */
  const std::vector<asked_list>& lists() const { return lists_; }
  /** Its entry goes, though it lives; or is back. */
  void lapse_target(const std::string& id);
  void relist_target(const std::string& id);
  void break_target(const std::string& id, bool broken);
  /** The target runs requests and loses this share of the answers. */
  void lose_answers(const std::string& id, double share);
  /** The target ends this share of its streams behind the first event. */
  void cut_streams(const std::string& id, double share);
  /** From now on an engine sends its streams so. */
  void send_streams(const std::string& id, const fake_stream& how);
  /** Returns a stream's events behind the first `skipped`, as they are sent. */
  static std::string stream_text(const std::string& request,
                                 const fake_stream& how,
                                 std::size_t skipped = 0);
  /**
   * Returns whether a close-delimited answer to a request was truncated between
   * two events: nothing shows that.
   */
  bool was_cut_unseen(const std::string& request) const {
    return cut_unseen_.contains(request);
  }
  /** Returns who has a watch of the whole store under way. */
  std::set<gateway::member_address> watchers() const;
  /** `further`: routes to the plain service beside the usual ones. */
  void publish_configuration(std::uint64_t version,
                             const std::string& engine_prefix,
                             std::size_t further = 0);
  /** Publish the next version of the configuration. */
  void add_key(const std::string& workspace, const std::string& key);
  void take_key(const std::string& key);
  void set_limit(const std::string& workspace, double rate, double burst);
  /** Returns the tokens of a workspace that ran in the last `span`. */
  double spent(const std::string& workspace, duration span) const;
  /** The operators' word that a domain's targets are to get nothing. */
  void evacuate(const std::string& domain);
  void take_back(const std::string& domain);
  void publish_version(const std::string& adapter, std::uint32_t version);
  /** Lets the store forget its history: the next watch is told so. */
  void forget_history();
  /** Keeps a copy of the store as it is now, for restore_store. */
  void copy_store();
  /**
   * The store is as its copy says, under a new epoch; its revisions go on from
   * the copy's. What was lost is written again after a time; zero: never.
   */
  void restore_store(duration rewritten_after = 500ms);
  /** The store's next answers name these epochs in place of its own. */
  void misname_epochs(std::deque<gateway::store_epoch> names) {
    misnamed_ = std::move(names);
  }
  gateway::store_epoch epoch() const { return epoch_; }
  /** Returns how many requests began at a target. */
  std::size_t runs_at(const std::string& id) const;
  /** Returns how many orders and questions reached a target. */
  std::size_t orders_at(const std::string& id) const;
  /** Returns the failure domains where a request ran. */
  std::set<std::string> domains_of_runs(const std::string& request) const;
  /** Returns the targets where a request ran. */
  std::set<std::string> targets_of_runs(const std::string& request) const;
  /** Returns by when targets were to have answered a request at the latest. */
  time_point handed_until(const std::string& request) const;
  /** Returns how often a request was run. */
  std::size_t runs_of(const std::string& request) const;
  /** Returns how many requests plain targets rejected since they were full. */
  std::size_t rejections() const { return rejections_; }
  std::size_t loads() const { return loads_; }
  /** Returns how many requests instances handed on to each other. */
  std::size_t relays() const { return relays_; }
  /** Orders that asked whether an earlier one of their series has ended. */
  std::size_t questions() const { return questions_; }
  std::size_t store_calls() const { return store_calls_; }
  std::size_t range_calls() const { return range_calls_; }
  /** Returns how many calls to the store opened a connection for that alone. */
  std::size_t repeated_store_calls() const { return repeated_store_calls_; }
  std::size_t holder_changes(const std::string& id) const;
  /** Returns what was sent so far, by the kind of message. */
  const std::map<std::string, peer_traffic>& traffic_by_kind() const {
    return traffic_by_kind_;
  }
  const word_age& word_ages() const { return word_ages_; }

  /** Every broken rule, in words; empty is good. */
  const std::vector<std::string>& violations() const { return violations_; }
  std::vector<std::unique_ptr<gateway_call>>& calls() { return calls_; }

 private:
  struct instance;
  struct target;
  struct queued {
    time_point when;
    std::uint64_t number;
    std::function<void()> task;
    bool operator>(const queued& other) const {
      return std::tie(when, number) > std::tie(other.when, other.number);
    }
  };

  gateway_call& submit(gateway::member_address entry, const std::string& path,
                       std::vector<http_header> headers, bool repeatable,
                       const std::string& adapter,
                       const caller_content& content = {});
  void post(instance& to, gateway::any_event event);
  void tick(gateway::member_address who, std::uint64_t life);
  void begin_stop(gateway::member_address who, const stop_schedule& times);
  void carry_out(instance& from, gateway::any_action action);
  void count_traffic(const gateway::peer_message& message, std::size_t bytes);
  void count_word_age(const gateway::action::log_line& line);
  void serve_call(instance& from, const gateway::action::call_target& call);
  void run_request(instance& from, target& at,
                   const gateway::action::call_target& call);
  void serve_relay(instance& from, const gateway::action::call_peer& call);
  /** Gives an instance a part of the answer to a request that it handed on. */
  void answer_relay(caller_id caller, const gateway::any_action& part);
  void cancel_relay(const instance& from, call_id call);
  /** Ends all that an instance serves for others, and has others serve. */
  void drop_relays(gateway::member_address who);
  void answer(target& at, gateway::member_address to, std::uint64_t life,
              call_id call, int status, std::vector<http_header> headers,
              std::string body, duration after);
  void serve_order(instance& from, const gateway::action::send_order& order);
  void judge_series(instance& from, const gateway::action::send_order& order);
  gateway::engine_order_status take_order(instance& from, target& at,
                                          const gateway::engine_order& order);
  void note_holder(target& at, const gateway::engine_order& order);
  void serve_report(instance& from, const gateway::action::read_report& ask);
  /** A watch of the store, as an instance asked for it. */
  struct store_watch {
    gateway::store_call_id call;
    gateway::store_scope scope;
    std::uint64_t after;
    duration wait;
    friend bool operator==(const store_watch&, const store_watch&) = default;
  };
  void serve_range(instance& from, const gateway::action::range_store& asked);
  void serve_watch(instance& from, const store_watch& watch);
  void publish_workspaces();
  std::string workspaces_text() const;
  /** Returns whether a stream is to end early; then that is on its way. */
  bool cuts_stream(const instance& from, const target& at,
                   const gateway::action::call_target& call);
  struct stream_run;
  /** A target that starts holds and knows nothing of before. */
  void begin_life(target& which);
  std::shared_ptr<stream_run> make_run(
      const instance& from, target& at,
      const gateway::action::call_target& call);
  void begin_stream(const instance& from, target& at,
                    const gateway::action::call_target& call, duration after);
  /** Returns how many bytes a stream sends next. */
  std::size_t next_piece(const stream_run& run);
  void send_piece(const std::shared_ptr<stream_run>& run);
  /** Whether the instance still waits for it, and the target still sends. */
  bool is_heard(const stream_run& run);
  void send_head(const stream_run& run);
  /** `how`: by what the target truncates it; none: it is whole. */
  void end_stream(stream_run& run, std::optional<fake_stream::ending> how);
  void judge_pace(const std::shared_ptr<stream_run>& run);
  /** Judges a run by the regions of its service and its workspace. */
  void judge_region(const target& at, const gateway_call& call);
  std::string region_of(const std::string& domain) const;
  gateway::proximity distance(const instance& from, const instance& to) const;
  /** Returns how long a datagram is under way. */
  duration datagram_delay(gateway::proximity distance) const;
  void note_datagram(gateway::proximity distance,
                     const gateway::peer_message& message, std::size_t bytes);
  /** Return what binds routes and workspaces to regions, for the store. */
  static std::string regions_text(const std::vector<std::string>& regions);
  std::string service_regions(const std::string& service) const;
  /** Judges a run by its caller's key, and what the target was told of it. */
  void judge_key(const gateway::action::call_target& call);
  /** Judges what reaches a target by its domain's evacuation. */
  void judge_evacuation(const instance& from, const target& at,
                        std::string_view what);
  /** Returns when a plain target would be done; none: it is full. */
  std::optional<duration> plain_work(target& at);
  void judge_quota(const std::string& workspace, const gateway_call& call);
  /** Counts a request that came; returns whether the target fails it. */
  bool judge_cold(target& at);
  void begin_cold(target& at, duration told_within);
  /** Notes a run of a body that ends targets; the target's end is then due. */
  void judge_crash(const instance& from, target& at, const std::string& body);
  /** The same for each part of a prompt that is not the last. */
  void judge_parts(const instance& from, target& at, std::string_view parts);
  void end_target(const std::string& id, const std::string& body);
  void break_calls(target& at);
  void reset_calls_of(target& at, instance& of);
  /** Whether a partition stops a call; then its end is on its way, if any. */
  bool is_call_stopped(instance& from,
                       const gateway::action::call_target& call);
  /** Whether bytes for an instance wait until its partition heals. */
  static bool holds_up(const instance& to);
  /** Gives an instance what a target has sent, as its partition lets it. */
  void deliver(gateway::member_address to, std::uint64_t life,
               std::function<void()> bytes);
  /** Judges a request by what its target has told the instance in answers. */
  void judge_words(const instance& from, target& at, const gateway_call& call);
  /** Judges a request by the limit that its target has named. */
  void judge_limit(const instance& from, target& at);
  /** Adds the limit to the headers of an answer, if it names one. */
  void add_limit(target& at, std::vector<http_header>& headers) const;
  void note_told(target& at, gateway::member_address who,
                 const std::vector<http_header>& headers);
  /** Returns the headers in which a target turns a request away, if it does. */
  std::optional<std::vector<http_header>> turned_away(const target& at) const;
  void serve_probe(instance& from, const gateway::action::probe_target& probe);
  void answer_store(instance& to, gateway::event::store_read read);
  /** A call that gets no answer: its caller gives it up after `wait`. */
  void lose_store_call(instance& from, const store_watch& watch);
  /** Returns false if its connection is silent: then it is not heard. */
  bool begin_store_call(instance& from, const store_watch& watch,
                        bool on_new_connection);
  /** Returns whether the caller still waits for it, and hears the end. */
  bool end_store_call(instance& from, gateway::store_call_id call,
                      bool is_answered);
  void fail_store_call(instance& from, const store_watch& watch);
  void serve_fetch(instance& from, const gateway::action::fetch_changes& fetch);
  void answer_fetch(instance& to, const gateway::action::fetch_changes& fetch);
  void put(const std::string& key, std::optional<std::string> value);
  void publish_target(target& which);
  /** Remembers what the target is like now: its reports lag. */
  void note_state(target& at);
  /** Notes that an engine has read a prompt. */
  static void keep_contents(target& at, const std::string& adapter,
                            std::string_view parts);
  static std::vector<gateway::prompt_part> contents_of(const target& which);
  void serve_list(instance& from, const gateway::action::list_contents& ask);
  void wake_watchers();
  /** Returns the epoch that the store's next answer names. */
  gateway::store_epoch name_epoch();
  /** Writes an item that the store has lost, unless there is a later one. */
  void write_again(const gateway::store_item& lost);
  target* by_address(const std::string& address);
  std::string entry_text(const target& which) const;
  void violation(std::string what);
  void later(duration wait, std::function<void()> task) {
    at(now_ + wait, std::move(task));
  }
  bool reachable(gateway::member_address from, gateway::member_address to);
  /** Returns how long a datagram waits for its link; none: it is dropped. */
  std::optional<duration> link_wait(instance& from, std::size_t bytes);

  gateway_world_options options_;
  std::unique_ptr<gateway::dialect> platform_;
  time_point now_{std::chrono::seconds(1000)};
  std::uint64_t next_number_ = 0;
  std::priority_queue<queued, std::vector<queued>, std::greater<>> queue_;
  std::map<gateway::member_address, std::unique_ptr<instance>> instances_;
  std::map<std::string, std::unique_ptr<target>> targets_;
  std::map<std::string, gateway::store_item> store_;
  std::uint64_t revision_ = 10;
  gateway::store_epoch epoch_ = 1;
  std::deque<gateway::store_epoch> misnamed_;
  /** The copy that the store is restored from, and its revision. */
  std::map<std::string, gateway::store_item> copied_store_;
  std::uint64_t copied_revision_ = 0;
  std::uint64_t history_from_ = 0;
  struct watcher {
    gateway::member_address who;
    std::uint64_t life;
    store_watch watch;
    friend bool operator==(const watcher&, const watcher&) = default;
  };
  std::vector<watcher> watchers_;
  bool store_silent_ = false;
  /** How often open connections have fallen silent. */
  std::size_t silences_ = 0;
  duration datagram_delay_ = 1ms;
  double lost_datagrams_ = 0;
  std::size_t link_bytes_per_ms_ = 0;
  duration link_queue_ = 50ms;
  bool copies_blocked_ = false;
  duration store_delay_ = 4ms;
  std::mt19937_64 random_;
  std::map<std::string, std::uint32_t> versions_;
  std::vector<fake_workspace> workspaces_;
  std::uint64_t configuration_ = 0;
  std::string engine_prefix_;
  /** When a key was taken away. */
  std::map<std::string, time_point> taken_keys_;
  /** Every key that there was, and its workspace. */
  std::map<std::string, std::string> key_holders_;
  struct spending {
    time_point when;
    double tokens;
  };
  std::map<std::string, std::vector<spending>> spent_;
  /** The highest limit of a workspace so far. */
  std::map<std::string, std::pair<double, double>> limits_;
  std::map<std::string, gateway_call*> calls_by_id_;
  std::map<std::string, std::size_t> runs_;
  std::map<std::string, std::set<std::string>> run_domains_;
  std::map<std::string, std::set<std::string>> run_targets_;
  std::map<std::string, time_point> handed_until_;
  std::vector<asked_list> lists_;
  std::set<std::string> cut_unseen_;
  /** Since when a failure domain has been evacuated. */
  std::map<std::string, time_point> evacuated_;
  std::map<caller_id, gateway_call*> open_calls_;
  /** A request that an instance serves for another. */
  struct open_relay {
    gateway::member_address origin = 0;
    std::uint64_t life = 0;
    call_id call = 0;
    gateway::member_address helper = 0;
  };
  std::map<caller_id, open_relay> open_relays_;
  std::size_t relays_ = 0;
  std::vector<std::unique_ptr<gateway_call>> calls_;
  caller_id next_caller_ = 1;
  std::size_t loads_ = 0;
  std::size_t questions_ = 0;
  std::size_t rejections_ = 0;
  /** Bodies that end targets, and for how long these are down. */
  std::map<std::string, duration> ending_bodies_;
  std::map<std::string, crash_count> crashes_;
  unheeded_words unheeded_;
  std::size_t most_while_cold_ = 0;
  std::size_t store_calls_ = 0;
  std::size_t range_calls_ = 0;
  std::size_t repeated_store_calls_ = 0;
  std::map<gateway::proximity, fake_traffic> traffic_;
  std::map<std::string, peer_traffic> traffic_by_kind_;
  word_age word_ages_;
  std::vector<std::string> violations_;
};

}  // namespace seamglade::fakes

#endif  // SEAMGLADE_FAKES_GATEWAY_WORLD_H_
