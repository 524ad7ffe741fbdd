// seamglade - requests that ended the targets they ran on, and are run no more
//
// A request may end each target that begins to run it, and return under another
// id (a query of death). Each instance keeps which requests were running where
// a target ended, as it saw itself or was told. One that was there at two ends,
// with no whole answer between them, is quarantined: refused at once for a time
// that doubles with each further end.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_QUARANTINE_H_
#define SEAMGLADE_SRC_PROCESS_QUARANTINE_H_

#include <map>
#include <optional>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/**
 * The requests that are blamed for the ends of targets.
 *
 * Records of all instances join to the same, in whatever order word of them
 * comes: ends are united, those before the newest whole answer do not count.
 */
class quarantine {
 public:
  /** A target ended that was running a request; returns whether it is news. */
  bool note_end(time_point now, const request_fingerprint& request,
                target_hash target);
  /**
   * A request was run and answered whole, so it does not end its targets.
   * Returns whether it was blamed before.
   */
  bool note_answer(time_point now, const request_fingerprint& request);
  /** Takes the word of another instance; returns whether it is news. */
  bool take(time_point now, const blame_row& row);
  /** Returns for how long a request is not to run; none: it may. */
  std::optional<duration> refused_for(time_point now,
                                      const request_fingerprint& request) const;
  /** Returns whether it was at an end, and not answered whole since. */
  bool is_blamed(const request_fingerprint& request) const;
  /** Returns what is known of a request, for others. */
  blame_row row_of(time_point now, const request_fingerprint& request) const;
  /** Returns some of those that are refused now, others each time. */
  std::vector<blame_row> next_rows(time_point now, std::size_t most);
  /** Drops what has long been over. */
  void expire(time_point now);
  std::size_t size() const { return records_.size(); }
  /** Returns how many requests are refused now. */
  std::size_t refused(time_point now) const;

 private:
  struct end_of_target {
    target_hash target = 0;
    time_point at;
  };
  struct record {
    /** The newest of them, the oldest first. */
    std::vector<end_of_target> ends;
    /** When it was last answered whole, if it was. */
    std::optional<time_point> answered;
  };

  bool add_end(record& to, target_hash target, time_point at);
  bool add_answer(record& to, time_point at);
  static duration refusal_of(const record& of);
  static time_point forgotten_at(const record& of);
  /** Makes room for one more record. */
  void make_room();

  std::map<request_fingerprint, record> records_;
  request_fingerprint last_told_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_QUARANTINE_H_
