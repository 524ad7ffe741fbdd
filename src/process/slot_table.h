// seamglade - the adapter slots of a target and what uses them
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_SLOT_TABLE_H_
#define SEAMGLADE_SRC_PROCESS_SLOT_TABLE_H_

#include <functional>
#include <map>
#include <set>

#include "process/ownership.h"
#include "seamglade/policy.h"

namespace seamglade::detail {

/** Arrivals a second, with older arrivals counting ever less. */
class demand_counter {
 public:
  void add(time_point now);
  double rate(time_point now) const;

 private:
  double value_ = 0;
  time_point at_ = kLongAgo;
};

/** One adapter that a target holds, or is loading or unloading. */
struct adapter_slot {
  slot_state state = slot_state::loaded;
  /** Requests of this owner that run on it. */
  std::uint32_t running = 0;
  /** Requests of a former owner may use it until then. */
  time_point inherited_until = kLongAgo;
  /** Loaded by the operators' scripts: never unloaded. */
  bool scripted = false;
  time_point last_used = kLongAgo;
  time_point changed = kLongAgo;
  /** An order whose fate is not known: only a report settles the state. */
  bool unsure = false;
};

/** The slots of one target. */
class slot_table {
 public:
  explicit slot_table(core& shared) : shared_(shared) {}

  using map_type = std::map<adapter_ref, adapter_slot>;
  const map_type& slots() const { return slots_; }
  adapter_slot* find(const adapter_ref& adapter);
  const adapter_slot* find(const adapter_ref& adapter) const;
  bool loaded(const adapter_ref& adapter) const;
  bool loading(const adapter_ref& adapter) const;

  /** Marks an adapter as being loaded. */
  void begin_load(const adapter_ref& adapter);
  void begin_unload(const adapter_ref& adapter);
  void finish_load(const adapter_ref& adapter, order_status status);
  void finish_unload(const adapter_ref& adapter, order_status status,
                     duration busy_wait);
  void erase_if_idle(const adapter_ref& adapter);
  /** Forgets every adapter that no request of this owner runs on. */
  void erase_idle();

  void pin(const adapter_ref& adapter);
  void unpin(const adapter_ref& adapter);

  /** Whether no request of this or a former owner can be using it. */
  bool idle(const adapter_slot& slot) const;

  /** What a report needs to be taken in. */
  struct report_context {
    time_point asked;
    /** Adapters found unexpectedly count as in use until then. */
    time_point in_use_until;
    /** Whether no former owner could write requests when it was asked. */
    bool after_quiet = false;
    /** Whether an adapter was loaded by the operators' scripts. */
    std::function<bool(const adapter_ref&)> is_scripted;
  };
  /** Takes a report in; returns whether the set of adapters changed. */
  bool apply(const target_report& report, const report_context& context);

  /** Marks every adapter as in use by a former owner until then. */
  void inherit_all(time_point until);
  /** Ends the marks of a former owner on all adapters but these. */
  void end_inherited_except(const std::set<std::string>& in_use);
  /** The target restarted: nothing is loaded. */
  void clear();

 private:
  core& shared_;
  map_type slots_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_SLOT_TABLE_H_
