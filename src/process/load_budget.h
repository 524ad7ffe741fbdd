// seamglade - the budget of loads that a weight store gives
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_LOAD_BUDGET_H_
#define SEAMGLADE_SRC_PROCESS_LOAD_BUDGET_H_

#include "seamglade/policy.h"

namespace seamglade::detail {

/** Where target owners get leave to begin a load. */
class load_budget {
 public:
  virtual ~load_budget() = default;
  /** Returns the loads from a store that may begin now. */
  virtual std::uint32_t available(const std::string& store) = 0;
  /** Uses one of them up. */
  virtual void take(const std::string& store) = 0;
  /** A load that was begun has ended, well or not. */
  virtual void ended(const std::string& store) = 0;
  /** Says that a target waits for a load; withdrawn with nullopt. */
  virtual void want(const std::string& store, const target_id& target,
                    std::optional<load_want> wanted) = 0;
};

/** Where target owners deliver what became of a request. */
class answer_sink {
 public:
  virtual ~answer_sink() = default;
  virtual void on_answer(const request_id& id, const std::string& entry,
                         answer_part piece) = 0;
  virtual void on_refusal(const request_id& id, const std::string& entry,
                          const refusal& why) = 0;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_LOAD_BUDGET_H_
