// seamglade - what a target's holder has told, and what one lacks of it
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_RESIDENCY_LOG_H_
#define SEAMGLADE_SRC_PROCESS_RESIDENCY_LOG_H_

#include <map>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/**
 * The places of one target by the edition in which each last changed.
 *
 * A word of changes can be lost: what one lacks is counted from what it says it
 * knows, never from what it was sent, so that its next question heals a loss.
 */
class residency_log {
 public:
  /** Takes in the places of an edition; what runs there may change within. */
  void note(std::uint64_t fence, std::uint64_t edition,
            const std::vector<adapter_place>& places);
  /** Tells the noted places to one that knows so much. */
  void tell(residency_message& out, const known_word& known) const;

 private:
  struct row {
    adapter_place place;
    std::uint64_t changed = 0;
  };

  std::uint64_t fence_ = 0;
  std::uint64_t edition_ = 0;
  /** One that knows less is told all. */
  std::uint64_t begin_ = 0;
  std::map<adapter_hash, row> rows_;
  /** Adapters that went, and in which edition. */
  std::map<adapter_hash, std::uint64_t> gone_;
};

/**
 * Makes of a holder's word and what was known before all that the target holds,
 * in the order of hashes; returns false, and changes nothing, where the word
 * builds on another that is not known.
 */
bool merge_word(residency_message& known, residency_message word);

/** Returns an adapter's place among those of a merged word; null: none. */
const adapter_place* find_place(const std::vector<adapter_place>& places,
                                adapter_hash adapter);

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_RESIDENCY_LOG_H_
