// seamglade - at which software version streams began
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_ORIGIN_TABLE_H_
#define SEAMGLADE_SRC_PROCESS_ORIGIN_TABLE_H_

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/**
 * The origins of streams that began here, or that others told of.
 *
 * A stream begins once: of two origins that differ neither is certain, in
 * whatever order they come. The oldest rows make way beyond `kMost`.
 */
class origin_table {
 public:
  static constexpr std::size_t kMost = 16384;

  /** Takes an origin; returns whether the table has changed by it. */
  bool note(time_point now, const origin_row& row);
  /** Remembers that nobody has been told of a stream that began here. */
  void keep_untold(stream_key stream) { untold_.insert(stream); }
  /** Returns the streams of a service that nobody was told of, each once. */
  std::vector<origin_row> take_untold(service_hash service);
  std::optional<stream_origin> find(stream_key stream) const;
  /** Returns the newest rows, at most so many. */
  std::vector<origin_row> newest(std::size_t most) const;
  /** Drops what began longer ago than a stream may take. */
  void expire(time_point now, duration longest_stream);
  std::size_t size() const { return origins_.size(); }

 private:
  void drop_oldest();

  std::unordered_map<stream_key, stream_origin> origins_;
  /** In the order in which they came. */
  std::deque<std::pair<time_point, stream_key>> order_;
  std::set<stream_key> untold_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_ORIGIN_TABLE_H_
