// seamglade - requests that ended the targets they ran on, and are run no more
//
// A request may end each target that begins to run it, and return under another
// id (a query of death); or a part of prompts does, in requests of which no two
// are alike. Each instance keeps what was running where a target ended, as it
// saw itself or was told. A request that was there at two ends with no whole
// answer between them is quarantined (of a content that was answered whole not
// long before, ends of one moment count once), and so is a part at three ends
// over a second and a half in which no request with it has run. Where several
// parts were at the same ends, the one furthest behind in the prompt answers
// for them: those before it are shared by more requests. What is quarantined is
// refused at once for a time that doubles with each further end.
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
  /**
   * A target ended, as of then, that was running a request; returns whether it
   * is news.
   */
  bool note_end(time_point now, const request_fingerprint& request,
                target_hash target, time_point ended);
  bool note_end(time_point now, const request_fingerprint& request,
                target_hash target) {
    return note_end(now, request, target, now);
  }
  /**
   * It was run and did not end its target, as of then: a request was answered
   * whole, one with the part has passed events on for a while. Returns whether
   * it was blamed before.
   */
  bool note_answer(time_point at, const request_fingerprint& request);
  /** Takes the word of another instance; returns whether it is news. */
  bool take(time_point now, const blame_row& row);
  /**
   * Returns whether a content was answered whole, as this instance knows, and
   * the word of another refuses it without knowing that.
   */
  bool knows_proof_against(const blame_row& row) const;
  /** Returns for how long a request is not to run; none: it may. */
  std::optional<duration> refused_for(time_point now,
                                      const request_fingerprint& request) const;
  /** Returns whether one end more may have it refused. */
  bool is_blamed(const request_fingerprint& request) const;
  /** Returns at how many ends it was that count. */
  std::size_t ends_of(const request_fingerprint& request) const;
  /** Returns parts that are refused now, each once. */
  std::vector<request_fingerprint> newly_refused_parts(time_point now);
  /**
   * Returns whether a refused request may run to show if the verdict holds: one
   * with a refused part, or a content whose ends are all of one moment, some
   * time after the last end. A part is tried once.
   */
  bool take_trial(time_point now, const request_fingerprint& request);
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
    /** When this instance learned of it. */
    time_point heard;
  };
  struct record {
    /** The newest of them, the oldest first. */
    std::vector<end_of_target> ends;
    /** The first end that counts, also where it is no longer kept. */
    time_point since;
    /** When it was last answered whole, if it was. */
    std::optional<time_point> answered;
    /** It was returned by newly_refused_parts(). */
    bool is_told_refused = false;
    /** When a trial was taken here last, if one was. */
    std::optional<time_point> tried;
  };

  static bool is_same(const end_of_target& one, const end_of_target& other);
  /** Returns a part's record without what another part answers for. */
  record unexplained(time_point now, const request_fingerprint& part,
                     const record& of) const;
  /** Whether a refused part further behind was there: that ended the target. */
  bool is_explained(time_point now, const request_fingerprint& part,
                    const end_of_target& end) const;
  static bool add_end(record& to, const end_of_target& end);
  /** Returns the record of a request, made if need be with what proves it. */
  record& record_of(const request_fingerprint& request);
  void note_proof(time_point at, const request_fingerprint& request);
  std::optional<time_point> proof_of(const request_fingerprint& request) const;
  /** Returns how many times apart from each other targets ended. */
  static std::size_t moments_of(const record& of);
  /** Returns how many ends of targets speak against a request. */
  static std::size_t counted_ends(const request_fingerprint& request,
                                  const record& of);
  static bool add_answer(record& to, time_point at);
  static duration refusal_of(const request_fingerprint& request,
                             const record& of);
  static time_point forgotten_at(const request_fingerprint& request,
                                 const record& of);
  /** Makes room for one more record. */
  void make_room();

  /** When contents were answered whole last; the newer and the older ones. */
  using proof_table = std::map<request_fingerprint, time_point>;

  std::map<request_fingerprint, record> records_;
  proof_table proofs_;
  proof_table older_proofs_;
  request_fingerprint last_told_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_QUARANTINE_H_
