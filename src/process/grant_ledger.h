// seamglade - how many requests the fleet may send to targets that bear few
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_GRANT_LEDGER_H_
#define SEAMGLADE_SRC_PROCESS_GRANT_LEDGER_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "process/sight.h"
#include "process/token_bucket.h"
#include "seamglade/gateway.h"

namespace seamglade::gateway {

/**
 * Returns who gives grants for a target, of those that live and stay; the same
 * on all instances that see the same fleet. None: nobody stays.
 */
std::optional<member_address> grantor_of(
    target_hash target, const std::vector<member_address>& staying);

/** A target that may turn cold, or that names a limit. */
struct metered_target {
  target_hash target = 0;
  /** Requests a second that it bears while it is cold; 0: it never is. */
  double cold_rate = 0;
  /** It is cold now, as far as this instance knows. */
  bool is_cold = true;
  /** Requests a second that it takes by its own word; above 0. */
  std::optional<double> limit = {};
};

/** Returns the time between two requests at a rate; an hour at most. */
duration grant_gap_of(double rate);

/**
 * The requests that this instance lets the fleet send to targets that bear few.
 *
 * In any second and the time that a grant lives, all grantors of a cold target
 * give no more than the operators allow; of one that names a limit, in any time
 * what comes in that time, and what may be kept: a quarter of a second's worth,
 * or one and a half requests:
 * - a grantor gives the part of the known fleet that it sees, rounded down to
 *   whole requests, so two sides of a cut give no more than the whole;
 * - it gives nothing until it has been the target's grantor for as long as the
 *   views of instances may differ, and that time more: its forerunner may still
 *   be asked, and what it gave counts;
 * - a target that was not cold a moment ago, or named no limit, has got all
 *   that it may get.
 * Where a target is cold and names a limit, a grant is taken from both. Its own
 * rate serves a target best, so tokens come at that rate; whatever they
 * add up to, what was given of late stays within the bound.
 */
class grant_ledger {
 public:
  grant_ledger(member_address self, cold_bounds bounds)
      : self_(self), bounds_(bounds) {}

  /**
   * Takes over and gives up targets; to be called some times a second.
   * `settling`: how long the views of instances may differ.
   */
  void update(time_point now, const fleet_view& view,
              const std::vector<metered_target>& targets, duration settling);
  /** Gives all targets up: what this instance knows is old. */
  void close();

  /**
   * Takes one request for a target as it is now, of which `cold_rate` is not
   * looked at; a refusal tells when to ask again.
   */
  grant_answer take(time_point now, std::uint64_t request,
                    const metered_target& which);

  std::size_t size() const { return targets_.size(); }
  /** Returns the part of what is allowed that this instance gives. */
  double part() const { return sight_.settled_part(); }

 private:
  struct granted_target {
    time_point since;
    double cold_rate = 0;
    /** What it bears while it is cold; none: it never was. */
    std::optional<token_bucket> cold;
    /** When requests were granted while it was, and how many may be. */
    std::deque<time_point> given;
    std::size_t most = 0;
    /** Until then it was known to be cold. */
    time_point last_cold;
    /** What its limit leaves; none: it names none. */
    std::optional<token_bucket> limited;
    /** Those who were refused so far were told to come before this. */
    time_point promised;
  };
  /** How long there is no grant, and how far apart they come then. */
  struct refusal {
    duration wait{};
    duration gap{};
    /** None is told to come later than that. */
    duration longest{};
  };

  void note_view(time_point now, const fleet_view& view);
  /** Returns from when on all views made this instance the grantor. */
  time_point grantor_since(time_point now, target_hash target) const;
  /** Returns from when on a target gets anything. */
  time_point opening(const granted_target& target) const;
  void configure(time_point now, granted_target& target) const;
  /** Begins anew where a target was not cold a moment ago. */
  void note_cold(time_point now, granted_target& target) const;
  /** Takes one of a cold target; returns zero, or how long there is none. */
  static duration take_one(time_point now, granted_target& target);
  /** Opens, adjusts or drops what a limit leaves. */
  void note_limit(time_point now, granted_target& target,
                  const std::optional<double>& limit) const;
  /** Takes one grant; none: it was taken. */
  std::optional<refusal> take_grant(time_point now, granted_target& target,
                                    const metered_target& which) const;
  /** Tells each that is refused another time. */
  static duration promise(time_point now, granted_target& target,
                          const refusal& refused);

  member_address self_;
  cold_bounds bounds_;
  sight sight_;
  /** Who stayed, from when on; as far back as views may differ. */
  std::deque<std::pair<time_point, std::vector<member_address>>> views_;
  duration settling_{};
  std::map<target_hash, granted_target> targets_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_GRANT_LEDGER_H_
