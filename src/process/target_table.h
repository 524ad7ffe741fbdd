// seamglade - the targets of the direct path: who they are, how they fare
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_TARGET_TABLE_H_
#define SEAMGLADE_SRC_PROCESS_TARGET_TABLE_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "process/read_pace.h"
#include "process/restart_doubt.h"
#include "process/target_availability.h"
#include "process/target_limit.h"
#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/** Returns the hash by which instances name a target to each other. */
target_hash hash_of(const target_id& id);

/** One target as this instance believes it to be. */
struct target_state {
  target_entry entry;
  target_hash hash = 0;
  /** The store no longer lists it. */
  bool gone = false;
  time_point gone_since;
  /** Its entry may have lapsed while the store was away: used until then. */
  time_point lapsed_until;
  /** It had left when a restored store listed it: not used until then. */
  time_point doubted_until;

  /** Work of this instance there. */
  target_work own;
  /** Work of each peer, as it last said. */
  struct peer_work {
    target_work work;
    time_point heard;
  };
  std::map<member_address, peer_work> peers;
  /** When something was last known of how far its reading is. */
  time_point reading_known;
  /** How fast it reads prompts. */
  read_pace pace;
  /** What it is known to have held, and until when it was seen. */
  std::map<adapter_hash, time_point> held_lately;
  /** Loads under way there, and when they were first heard of. */
  std::map<adapter_hash, time_point> loading;

  /** What its holder says it holds. */
  residency_message residency;
  time_point residency_heard;
  /** When the store's entry last changed here. */
  time_point entry_heard;

  /** What its admitter last said that one more request would take. */
  duration admission_expected{};
  time_point admission_heard;

  /** It is cold until then at most, as its entries told. */
  time_point cold_until;
  /** Before then, its grantor has nothing left for this instance. */
  time_point grants_refused_until;

  /** What it has said of itself in answers. */
  target_availability own_word;
  /** How many requests it takes of all instances together. */
  target_limit limit;
  /** Whether it may have started again since its entry came. */
  restart_doubt doubt;

  std::uint32_t failures_in_a_row = 0;
  time_point ejected_until;
  duration ejection{};

  /** Returns whether an adapter is there and ready, at a version or above. */
  bool holds(time_point now, const adapter_name& name,
             std::uint32_t version) const;
  /** Returns the requests of all instances that run on an adapter there. */
  std::uint32_t running_on(const adapter_name& name) const;
  /** Returns the work of all instances, as last heard. */
  target_work work(time_point now) const;
  /**
   * Takes a holder's word on what is there; returns false where it builds on
   * word that was not heard here.
   */
  bool take_residency(time_point now, residency_message word);
  /** The target refused an adapter: until its holder tells all anew. */
  void forget_place(const adapter_name& name);
  /** Returns up to where its holder's word is known here. */
  known_word known() const { return {residency.fence, residency.edition}; }
  /** Returns whether its holder's word still holds. */
  bool is_residency_fresh(time_point now) const;
  bool is_ejected(time_point now) const { return now < ejected_until; }
  bool is_cold(time_point now) const { return now < cold_until; }
  /** Returns whether the target gets no new work any more. */
  bool has_left(time_point now) const {
    return entry.draining || own_word.is_leaving(entry.started_ms) ||
           (gone && now >= lapsed_until) || now < doubted_until;
  }
};

/** The targets by id, and by the service they belong to. */
class target_table {
 public:
  void list(time_point now, target_entry entry);
  /**
   * A restored store lists a target by no later word than is known of it. One
   * that had left, and did not lapse, comes back if its entry stays.
   */
  void list_again(time_point now, const target_id& id);
  /** `lapsed`: the store was away, so the target may live on. */
  void unlist(time_point now, const target_id& id, bool lapsed);
  /** Drops what has long been gone and has nothing under way. */
  void expire(time_point now);

  target_state* find(const target_id& id);
  target_state* find(target_hash hash);
  using target_check = std::function<bool(const target_state&)>;
  /**
   * Returns the targets that may get new work, in order of their ids, of those
   * that pass a check.
   */
  std::vector<target_state*> usable(time_point now, std::string_view service,
                                    const target_check& passes = {});
  /** Returns all that the store lists. */
  std::vector<const target_state*> listed() const;
  /** Returns all that have not left. */
  std::vector<target_state*> staying(time_point now);

  void succeeded(target_state& target);
  /** `severe`: it cannot be reached at all. */
  void failed(time_point now, target_state& target, bool severe);

  std::size_t size() const { return targets_.size(); }

 private:
  std::map<target_id, target_state> targets_;
  std::map<target_hash, target_id> by_hash_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_TARGET_TABLE_H_
