// seamglade - the living instances: how far they are, and who is told first
//
// Bytes between regions are dear and their way is long, so probes and the word
// that goes with them stay near for the most part. What must be everywhere
// within a bound is told to all at once, not by heartbeats.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <set>

#include "process/roster.h"

namespace seamglade::gateway {
namespace {

/** Members that probe one which did not answer. */
constexpr std::size_t kHelpers = 3;
/** Of these, so many come from the region of the one that is probed. */
constexpr std::size_t kHelpersThere = 2;
/**
 * One beat in so many goes to another region. A region of 24 instances sends
 * 20 such a second, enough to find each of 48 others within some seconds
 * though none is probed by its own region; each tells all its news, so that
 * one of them is there within a beat.
 */
constexpr unsigned kFarBeats = 3;
/**
 * A region of which so many probes on end were not answered is taken to be out
 * of reach; one may have been lost.
 */
constexpr unsigned kUnanswered = 2;

}  // namespace

proximity roster::distance_to(member_address who) const {
  if (who == options_.self) return proximity::same_domain;
  const auto found = members_.find(who);
  if (found != members_.end()) {
    return options_.regions.between(options_.domain, found->second.row.domain);
  }
  return options_.regions.has_several() ? proximity::other_region
                                        : proximity::same_region;
}

bool roster::is_in_my_domain(member_address who) const {
  return distance_to(who) == proximity::same_domain;
}

std::uint32_t roster::region_of(member_address who) const {
  const auto found = members_.find(who);
  const auto domain =
      found == members_.end() ? options_.domain : found->second.row.domain;
  return options_.regions.region_of(domain);
}

void roster::order_by_distance(std::vector<member_address>& members) {
  const bool is_far = ++beats_sent_ % kFarBeats == 0;
  const auto first =
      std::find_if(members.begin(), members.end(), [&](member_address who) {
        return (distance_to(who) == proximity::other_region) == is_far;
      });
  if (first != members.end()) std::iter_swap(members.begin(), first);
  std::stable_sort(members.begin() + 1, members.end(),
                   [this](member_address a, member_address b) {
                     return distance_to(a) < distance_to(b);
                   });
}

// A cut between regions is to be noticed as soon as in a fleet of one region,
// though calm ones hear little of each other.
void roster::add_unanswering(const std::vector<member_address>& shuffled,
                             std::vector<member_address>& targets) {
  // A region whose members are all gone does not answer any more.
  std::set<std::uint32_t> present;
  for (const auto who : shuffled) present.insert(region_of(who));
  std::erase_if(unanswered_, [&](const auto& region) {
    return !present.contains(region.first);
  });
  if (unanswered_.empty()) return;
  std::set<std::uint32_t> asked{region_of(options_.self)};
  for (const auto who : shuffled) {
    if (!asked.insert(region_of(who)).second) continue;
    if (std::find(targets.begin(), targets.end(), who) == targets.end()) {
      targets.push_back(who);
    }
  }
}

bool roster::note_unanswered(member_address subject) {
  if (!options_.regions.has_several()) return false;
  if (distance_to(subject) != proximity::other_region) return false;
  return ++unanswered_[region_of(subject)] == 1;
}

bool roster::is_out_of_reach(member_address who) const {
  if (unanswered_.empty()) return false;
  const auto found = unanswered_.find(region_of(who));
  return found != unanswered_.end() && found->second >= kUnanswered;
}

std::vector<member_address> roster::helpers(member_address subject) {
  std::vector<member_address> able;
  for (const auto& [address, known] : members_) {
    const bool alive = known.row.standing == member_standing::alive;
    if (alive && address != subject) able.push_back(address);
  }
  std::shuffle(able.begin(), able.end(), random_);
  if (options_.regions.has_several()) prefer_helpers_near(subject, able);
  able.resize(std::min(kHelpers, able.size()));
  return able;
}

void roster::prefer_helpers_near(member_address subject,
                                 std::vector<member_address>& able) const {
  const auto there = region_of(subject);
  const auto rest = std::stable_partition(
      able.begin(), able.end(),
      [&](member_address who) { return region_of(who) == there; });
  if (rest - able.begin() < static_cast<std::ptrdiff_t>(kHelpersThere)) return;
  // Where two regions are cut from each other, a third sees both: without its
  // word each would take the other for dead.
  const auto here = options_.regions.region_of(options_.domain);
  const auto third = std::find_if(rest, able.end(), [&](member_address who) {
    return region_of(who) != here;
  });
  if (third != able.end()) {
    std::iter_swap(able.begin() + kHelpersThere, third);
  }
}

}  // namespace seamglade::gateway
