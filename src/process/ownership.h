// seamglade - who owns a target: claims, leases and stepping back
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_OWNERSHIP_H_
#define SEAMGLADE_SRC_PROCESS_OWNERSHIP_H_

#include <limits>

#include "process/core.h"

namespace seamglade::detail {

inline constexpr time_point kNever = time_point::max();
inline constexpr time_point kLongAgo = time_point::min();

/** How the owner of a target is found. */
enum class owner_mode : std::uint8_t {
  fenced,  // by claims at the target, which refuses older fences
  listed   // by the published list alone
};

enum class owner_role : std::uint8_t { none, claiming, held };

/** What a step of the state machine changed. */
enum class owner_change : std::uint8_t { none, gained, lost };

/** What ownership needs from the settings of a service. */
struct owner_times {
  duration lease{};
  duration clock_margin{};
  duration list_wait{};

  friend bool operator==(const owner_times&, const owner_times&) = default;
};

/**
 * Ownership of one target, as this instance sees it.
 *
 * In fenced mode the target is the register: its answer to a report says who
 * holds it and since when, and a claim is made only after the holder's lease
 * has lapsed there, or the holder has handed over. A wrong suspicion of a
 * peer thus never takes a target away from an owner that works.
 */
class ownership {
 public:
  ownership(core& shared, target_id target);

  /** Takes the mode and times in force; a new mode starts from none. */
  owner_change configure(owner_mode mode, const owner_times& times);

  /**
   * Tells whether this instance comes first: among those it holds alive in
   * fenced mode, among those of the list in listed mode.
   */
  owner_change set_first(bool first, bool list_changed);

  /** Returns the order to send now, if one is due. */
  std::optional<target_order> due_order();

  /** Takes the answer to a report or claim sent at `sent`. */
  owner_change on_reply(order_kind kind, time_point sent, order_status status,
                        const std::optional<target_report>& report);

  /** Takes a former owner's word that the target is free to claim. */
  void on_handover(const fence& last);

  /** Gives the target up, for a successor to claim. */
  owner_change release();

  /** Moves on with time; listed mode becomes held after its wait. */
  owner_change on_time();

  owner_role role() const { return role_; }
  owner_mode mode() const { return mode_; }
  bool held() const { return role_ == owner_role::held; }
  /** Whether a request may be written to the target now. */
  bool may_dispatch() const;
  /** Until when requests may be written. */
  time_point lease_end() const;
  /** From when no former owner can still write requests. */
  time_point quiet_from() const { return quiet_from_; }
  /** When this instance became the owner. */
  time_point held_since() const { return held_since_; }
  /** Whether the former owner told what it left running. */
  bool handed_over() const { return claimed_after_handover_; }
  const fence& guard() const { return fence_; }
  time_point wakeup() const;

 private:
  void look_again(duration wait) { next_look_ = shared_.now + wait; }
  owner_change step_back(std::string reason);
  owner_change on_report(const target_report& report);
  owner_change on_claimed(time_point sent);
  owner_change on_stale(const std::optional<target_report>& report);

  core& shared_;
  target_id target_;
  std::string holder_name_;
  owner_mode mode_ = owner_mode::listed;
  owner_times times_;
  owner_role role_ = owner_role::none;
  bool first_ = false;
  /** Owner by a handover, until the list names one. */
  bool acting_ = false;
  bool order_pending_ = false;
  bool claim_next_ = false;
  bool claimed_after_handover_ = false;
  std::optional<fence> handover_;
  fence fence_;
  fence highest_;
  time_point next_look_ = kLongAgo;
  time_point last_sent_ = kLongAgo;
  time_point lease_end_ = kLongAgo;
  time_point quiet_from_ = kLongAgo;
  time_point held_since_ = kLongAgo;
  time_point listed_from_ = kNever;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_OWNERSHIP_H_
