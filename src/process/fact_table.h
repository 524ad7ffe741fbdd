// seamglade - facts about targets, spread from neighbour to neighbour
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_FACT_TABLE_H_
#define SEAMGLADE_SRC_PROCESS_FACT_TABLE_H_

#include <array>
#include <map>
#include <unordered_map>
#include <vector>

#include "seamglade/message.h"

namespace seamglade::detail {

/**
 * What is known of all targets: expected waits, owners and held adapters.
 *
 * Facts are hints for routing: they lag, and nothing that must hold depends
 * on them. Every new fact is passed on to each neighbour once, oldest first
 * and only so many at a time, so that the bytes a second are bounded.
 */
class fact_table {
 public:
  /** Takes a fact from a peer; returns whether it was news. */
  bool learn(const target_fact& fact, const instance_id& from);
  /** Sets a fact that this instance knows first hand. */
  void set(std::uint32_t target, std::uint64_t subject, std::uint32_t value,
           std::uint64_t clock);
  /** Returns the next facts for a peer, at most `most`. */
  std::vector<target_fact> next_for(const instance_id& peer, std::size_t most);
  /** A peer that starts anew is told everything again. */
  void forget_peer(const instance_id& peer);

  std::optional<std::uint32_t> value(std::uint32_t target,
                                     std::uint64_t subject) const;
  /** Returns the targets that are reported to hold an adapter. */
  std::vector<std::uint32_t> holders(std::uint64_t adapter) const;
  std::size_t size() const { return records_.size(); }

 private:
  struct key {
    std::uint64_t subject;
    std::uint32_t target;
    friend bool operator==(const key&, const key&) = default;
  };
  struct key_hash {
    std::size_t operator()(const key& k) const {
      return k.target ^ (k.subject * 0x9e3779b97f4a7c15ULL);
    }
  };
  struct record {
    std::uint64_t stamp = 0;
    std::uint32_t value = 0;
    std::uint64_t change = 0;
    instance_id from;
  };

  void store(const key& where, record what);

  std::unordered_map<key, record, key_hash> records_;
  /** What a fact is about decides how soon it is passed on. */
  enum lane : std::uint8_t { kPlacement, kWait, kLanes };
  static lane lane_of(std::uint64_t subject) {
    return subject == kWaitSubject ? kWait : kPlacement;
  }

  /** Records in the order in which they changed, owners and adapters first. */
  std::array<std::map<std::uint64_t, key>, kLanes> changes_;
  std::map<instance_id, std::array<std::uint64_t, kLanes>> sent_;
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> holders_;
  std::uint64_t last_change_ = 0;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_FACT_TABLE_H_
