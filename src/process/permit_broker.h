// seamglade - permits for loads from a weight store, shared by the fleet
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_PERMIT_BROKER_H_
#define SEAMGLADE_SRC_PROCESS_PERMIT_BROKER_H_

#include <map>
#include <set>

#include "process/core.h"
#include "process/load_budget.h"
#include "process/membership.h"

namespace seamglade::detail {

/** What a store gives, as the settings say. */
struct store_limits {
  double rate = 3;      // loads a second
  double parallel = 2;  // loads that run at once at full speed
};

/** Loads that become available with time, up to a most. */
class token_bucket {
 public:
  void refill(time_point now, double rate, double most);
  bool take();
  double tokens() const { return tokens_; }
  /** When one whole token will be there. */
  time_point next(double rate) const;

 private:
  double tokens_ = 0;
  time_point at_ = time_point::min();
};

/**
 * Shares out each weight store's rate of loads.
 *
 * One instance, the allocator, grants permits that expire: urgent wants come
 * before deferred ones wherever in the fleet they arise. Where the allocator
 * is out of reach, each instance keeps to an equal share of the rate.
 */
class permit_broker final : public load_budget {
 public:
  permit_broker(core& shared, membership& members)
      : shared_(shared), members_(members) {}

  std::uint32_t available(const std::string& store) override;
  void take(const std::string& store) override;
  void ended(const std::string& store) override;
  void want(const std::string& store, const target_id& target,
            std::optional<load_want> wanted) override;

  /** Sets a store's limits from the settings. */
  void set_limits(const std::string& store, store_limits limits);
  void on_request(const instance_id& from, const permit_request& asked);
  void on_grant(const instance_id& from, const permit_grant& grant);
  /** Moves on with time; returns whether permits became available. */
  bool on_time();
  time_point wakeup() const;

 private:
  struct demand {
    std::uint32_t urgent = 0;
    std::uint32_t deferred = 0;
    std::uint32_t in_use = 0;
    /** Arrival of the oldest urgent request that waits there. */
    time_point oldest;
    time_point heard;
  };
  struct store_state {
    store_limits limits;
    // As a user of permits:
    std::map<target_id, load_want> wants;
    std::uint32_t permits = 0;
    std::uint32_t loading = 0;
    time_point permits_expire = time_point::min();
    time_point next_ask = time_point::min();
    /** Whether the allocator counts a load here that has ended. */
    bool load_ended = false;
    time_point granted_at = time_point::min();
    time_point waiting_since = time_point::max();
    token_bucket share;
    // As the allocator:
    std::map<instance_id, demand> demands;
    instance_id last_served;
    token_bucket bucket;
  };

  store_state& state(const std::string& store);
  /** Whether the allocator is to be told of this instance's loads. */
  static bool has_news(const store_state& s);
  bool falls_back(const store_state& s) const;
  permit_request request_for(const std::string& store,
                             const store_state& s) const;
  void ask(const std::string& store, store_state& s);
  std::uint32_t in_use(const store_state& s) const;
  bool serve(const std::string& store, store_state& s);
  demand* next_demand(store_state& s, bool urgent, instance_id& whose);
  void receive(store_state& s, std::uint32_t count, duration expires_in);

  core& shared_;
  membership& members_;
  std::map<std::string, store_state> stores_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_PERMIT_BROKER_H_
