// seamglade - a read of the platform's store, part by part and page by page
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_VERSION_STORE_RANGE_H_
#define SEAMGLADE_SRC_VERSION_STORE_RANGE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "seamglade/gateway_peers.h"
#include "seamglade/types.h"

namespace seamglade::gateway {

/**
 * Where a read of the store stands, and what it has gathered: first what
 * operators write, then the entries of targets. What others keep in the store
 * is never asked for.
 *
 * Pages are no snapshot: the copy's revision is that of the first page, and
 * what changed since comes with a watch from there.
 */
class store_range {
 public:
  /** What an answer means for the read. */
  enum class step : std::uint8_t {
    /** More is to be asked for, from scope() and after_key(). */
    goes_on,
    /** There is no more: finish() has the copy. */
    whole,
    /** The answer leads no further, and nothing of it was taken. */
    stuck,
    /** The answer is of another history, and nothing of it was taken. */
    other_epoch
  };

  /** Begins anew; nothing of an earlier read is kept. */
  void begin(time_point now);
  /** Drops all that was gathered. */
  void end() { *this = {}; }
  /** Tells whether a failed read is to go on where it stands. */
  bool may_go_on(time_point now) const;
  /** Takes the answer to the page at scope() and after_key(). */
  step take(store_answer&& answer, store_epoch epoch, time_point now);
  /** Returns the whole copy, and ends the read. */
  store_changes finish();

  store_scope scope() const { return scope_; }
  /** The next page begins behind this key; empty: at the part's first. */
  const std::string& after_key() const { return after_key_; }
  /** Pages taken so far. */
  std::uint32_t pages() const { return pages_; }
  std::size_t items() const { return gathered_.items.size(); }
  /** None before the first page. */
  store_epoch epoch() const { return gathered_.epoch; }
  /** When its first page was asked for: the copy is no older than this. */
  time_point begun() const { return begun_; }
  /** Items whose value was left out, for there was too much. */
  std::size_t left_out() const { return left_out_; }

 private:
  bool leads_on(const store_answer& answer) const;
  void gather(store_item&& item);

  bool is_open_ = false;
  store_scope scope_ = store_scope::operators;
  std::string after_key_;
  store_changes gathered_;
  std::uint32_t pages_ = 0;
  std::size_t bytes_ = 0;
  std::size_t left_out_ = 0;
  time_point begun_{};
  /** When it last got on. */
  time_point moved_{};
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_VERSION_STORE_RANGE_H_
