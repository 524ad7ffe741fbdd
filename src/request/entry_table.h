// seamglade - the requests of this instance's callers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_REQUEST_ENTRY_TABLE_H_
#define SEAMGLADE_SRC_REQUEST_ENTRY_TABLE_H_

#include <map>
#include <set>

#include "process/core.h"

namespace seamglade::detail {

/** Where a request is to run, and who owns that target. */
struct route {
  target_id target;
  instance_id owner;
  std::uint64_t owner_incarnation = 0;
};

/** What the entry table asks of the rest of the instance. */
class request_router {
 public:
  virtual ~request_router() = default;
  /** Chooses a target and its owner; empty if none can take the request. */
  virtual std::optional<route> choose(const request_spec& spec,
                                      const std::set<target_id>& tried,
                                      std::vector<std::string>& weighed) = 0;
  /** Hands the request to the owner; answers come back later. */
  virtual void deliver(const route& where, submit request) = 0;
  /** Sends a message about a request to its owner. */
  virtual void tell(const instance_id& owner, message what) = 0;
};

/**
 * One record for each request of a caller, until its final answer.
 *
 * A request is sent to one owner at a time, and to another one only after
 * the former has proved that it ran nowhere.
 */
class entry_table {
 public:
  entry_table(core& shared, request_router& router);

  void accept(caller_id caller, request_spec spec);
  void on_part(const request_id& id, answer_part piece);
  void on_refusal(const request_id& id, const refusal& why);
  void on_caller_gone(caller_id caller);
  void on_peer_up(const instance_id& peer, std::uint64_t incarnation);
  void on_peer_down(const instance_id& peer);
  void on_time();
  time_point wakeup() const;

  bool empty() const { return requests_.empty(); }
  std::size_t size() const { return requests_.size(); }

 private:
  struct entry_request {
    caller_id caller = 0;
    request_spec spec;
    request_id id;
    route where;
    bool parked = false;
    std::uint32_t moves = 0;
    std::set<target_id> tried;
    std::uint32_t next_sequence = 0;
    std::map<std::uint32_t, answer_part> early;
    time_point start_by;
    time_point give_up;
    time_point next_check;
    time_point sent;
    time_point link_lost = time_point::max();
  };
  using request_map = std::map<request_id, entry_request>;

  std::optional<refusal> admission(const request_spec& spec) const;
  void send(entry_request request);
  void park(entry_request request);
  void finish(request_map::iterator at);
  void end_refused(entry_request request, const refusal& why);
  void end_unknown(request_map::iterator at, refusal_reason reason);
  void try_elsewhere(entry_request request, const refusal& why);
  bool take_retry(const std::string& service);
  void check(request_map::iterator at);
  query query_for(const entry_request& request) const;
  void relay(entry_request& request, answer_part piece);
  void insert(entry_request request);
  const service_settings& settings(const request_spec& spec) const;

  core& shared_;
  request_router& router_;
  std::uint64_t origin_;
  std::uint64_t last_sequence_ = 0;
  request_map requests_;
  std::map<caller_id, request_id> by_caller_;
  std::map<std::string, std::size_t> per_service_;
  std::map<std::string, std::size_t> per_caller_;
  std::map<std::string, double> retry_tokens_;
  std::multimap<time_point, request_id> checks_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_REQUEST_ENTRY_TABLE_H_
