// seamglade - the requests that wait for one target, grouped by adapter
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_REQUEST_JOB_QUEUE_H_
#define SEAMGLADE_SRC_REQUEST_JOB_QUEUE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "seamglade/types.h"

namespace seamglade::detail {

/** A request at the owner of its target. */
struct job {
  request_id id;
  /** The instance that the caller is connected to. */
  std::string entry;
  request_spec spec;
  time_point arrived;
  /** It is refused if it has not started by then. */
  time_point start_by;
  /** Times it came back from the target as not run. */
  std::uint32_t returns = 0;
  /** Whether its adapter was missing when it arrived. */
  bool missed = false;

  /** The adapter named, or an empty one for a plain service. */
  adapter_ref adapter() const { return spec.adapter.value_or(adapter_ref{}); }
};

/** Requests that wait for one adapter, in order of arrival. */
struct job_group {
  std::deque<job> urgent;
  std::deque<job> deferred;

  bool empty() const { return urgent.empty() && deferred.empty(); }
  std::size_t size() const { return urgent.size() + deferred.size(); }
  time_point oldest() const;
  time_point start_by() const;
};

/** The queue of one target. */
class job_queue {
 public:
  using group_map = std::map<adapter_ref, job_group>;

  void push(job waiting);
  /** Puts a request that came back at the head of its group. */
  void push_front(job waiting);
  /** Takes the next request of an adapter, an urgent one first. */
  std::optional<job> pop(const adapter_ref& adapter);
  std::optional<job> remove(const request_id& id);
  /** Takes every request whose start_by is not after `now`. */
  std::vector<job> expire(time_point now);
  std::vector<job> take_all();
  /** Takes all requests of one adapter. */
  std::vector<job> take_group(const adapter_ref& adapter);

  const group_map& groups() const { return groups_; }
  std::size_t size() const { return starts_.size(); }
  bool empty() const { return starts_.empty(); }
  /** Returns the earliest start_by; only for a queue that is not empty. */
  time_point first_start_by() const { return *starts_.begin(); }

 private:
  std::deque<job>& side_for(const job& waiting);
  void forget(const job& gone);

  group_map groups_;
  std::multiset<time_point> starts_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_REQUEST_JOB_QUEUE_H_
