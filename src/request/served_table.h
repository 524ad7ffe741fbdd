// seamglade - answers that the owner of a target keeps for entry instances
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_REQUEST_SERVED_TABLE_H_
#define SEAMGLADE_SRC_REQUEST_SERVED_TABLE_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "seamglade/message.h"

namespace seamglade::detail {

/**
 * Requests that peers submitted to this instance, by their ids.
 *
 * An answer is kept until the entry instance has acknowledged it, so that a
 * broken link loses nothing. Ids are kept longer: a request that comes twice
 * runs once, and one that was denied never runs.
 */
class served_table {
 public:
  /** Returns false if the id was seen before: it must not run again. */
  bool begin(const request_id& id);
  void on_answer(const request_id& id, const answer_part& piece,
                 time_point now);
  void on_refusal(const request_id& id, const refusal& why, time_point now);
  void on_acknowledge(const request_id& id);

  /**
   * Returns what the entry instance is missing. An id that was never seen is
   * marked, so that it never runs, and refused as never received.
   */
  std::vector<message> on_query(const query& asked, std::uint64_t incarnation,
                                time_point now);
  /** Forgets what is old. */
  void expire(time_point now);
  /** When expire() has something to do. */
  time_point wakeup() const;
  /** Requests without a final answer. */
  std::size_t open() const { return open_; }

 private:
  struct record {
    std::vector<answer_part> parts;
    std::optional<refusal> refused;
    bool finished = false;
    bool acknowledged = false;
    /** Whether parts that were kept are gone. */
    bool dropped = false;
    /** Whether only the id is kept by now. */
    bool old = false;
  };
  struct id_hash {
    std::size_t operator()(const request_id& id) const {
      return id.origin ^ (id.sequence * 0x9e3779b97f4a7c15ULL);
    }
  };

  void finish(const request_id& id, record& r, time_point now);
  static void drop_parts(record& r);

  std::unordered_map<request_id, record, id_hash> records_;
  std::multimap<time_point, request_id> expiry_;
  std::size_t open_ = 0;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_REQUEST_SERVED_TABLE_H_
