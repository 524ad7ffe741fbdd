// seamglade - a copy of the platform's store, kept from the store and peers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_VERSION_STORE_MIRROR_H_
#define SEAMGLADE_SRC_VERSION_STORE_MIRROR_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/**
 * The items of the store by key, of one epoch; there each only ever moves to a
 * higher revision. A whole copy of another epoch replaces them all.
 *
 * Deleted items are remembered for a while, so that a peer that lags can be
 * told of the change alone; one that lags further gets the whole copy.
 */
class store_mirror {
 public:
  /** Takes changes of its epoch in; returns the items that are news here. */
  std::vector<store_item> apply(const store_changes& changes);
  /** What a whole copy of another epoch changes. */
  struct replacement {
    /** The items that differ; as deleted those that the copy lacks. */
    std::vector<store_item> news;
    /** What was known of these before, but deletions. */
    std::vector<store_item> lost;
  };
  /** Takes a whole copy of another epoch in place of all that is known. */
  replacement replace(const store_changes& whole);
  /**
   * The last change of an item is of no account to peers: it goes to them with
   * the next one that is, or with a whole copy.
   */
  void keep_quiet(std::string_view key);
  /** Tells whether an item is known, though its revision is above the copy's.
   */
  using known_item =
      std::function<bool(std::string_view key, std::uint64_t revision)>;
  /** Returns what a copy that knows a revision lacks. */
  store_changes changes_after(std::uint64_t revision,
                              const known_item& is_known = {}) const;

  /** Returns how many of the items are older here than what is known. */
  std::size_t outdated(const store_changes& changes) const;
  /** Everything up to this revision is known. */
  std::uint64_t revision() const { return revision_; }
  store_epoch epoch() const { return epoch_; }
  store_position position() const { return {epoch_, revision_}; }
  bool contains(std::string_view key) const;
  std::size_t size() const { return items_.size(); }

 private:
  struct entry {
    std::uint64_t revision = 0;
    /** None: deleted. */
    std::optional<std::string> value;
    /** Peers that know less than this revision lack the item. */
    std::uint64_t told = 0;
    std::uint64_t told_before = 0;
  };

  /**
   * Word that was long under way: an item that this copy lacks, though it is
   * complete so far, has been deleted, and the deletion is not remembered.
   */
  bool has_gone(const store_item& item) const;
  bool take(const store_item& item);
  void forget_old_deletions();

  std::map<std::string, entry, std::less<>> items_;
  std::deque<std::string> deletions_;
  store_epoch epoch_ = 0;
  std::uint64_t revision_ = 0;
  /** Deletions up to here are forgotten. */
  std::uint64_t forgotten_ = 0;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_VERSION_STORE_MIRROR_H_
