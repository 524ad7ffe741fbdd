// seamglade - notices that a failure domain has fallen silent as a whole
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_DOMAIN_WATCH_H_
#define SEAMGLADE_SRC_PROCESS_DOMAIN_WATCH_H_

#include <compare>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** Names a failure domain: the hash by which members tell theirs. */
using domain_key = std::uint32_t;

/** How long the first byte of an answer usually takes, and its spread. */
class wait_estimate {
 public:
  void learn(duration took);
  /** Returns the time after which a first byte is overdue. */
  duration bound() const;

 private:
  /** In microseconds. */
  std::optional<double> mean_;
  double deviation_ = 0;
};

/** What is silent in a failure domain. */
struct silent_source {
  enum class kind : std::uint8_t {
    target,
    member,
    /** The word of instances that saw targets silent; one for all of them. */
    word
  };
  kind what = kind::target;
  /** The target's hash or the member's address. */
  std::uint64_t id = 0;

  friend auto operator<=>(const silent_source&, const silent_source&) = default;
};

/**
 * The evidence of one instance that a failure domain is lost, free of I/O.
 *
 * Each target and instance there could be found dead by itself, at the price of
 * a request that hangs. Together they tell it sooner: a domain is suspect when
 * three or more sources there are silent, a target or the word of one among
 * them, members there were probed in vain, and there was no sign of life since.
 * Any sign of life from there drops all evidence and ends the suspicion.
 */
class domain_watch {
 public:
  /** A call to a target went out; its first byte is overdue after `bound`. */
  void called(time_point now, domain_key domain, std::uint64_t target,
              std::uint64_t call, duration bound);
  /**
   * The first byte came; returns how long it took, none: it was known already.
   */
  std::optional<duration> answered(time_point now, std::uint64_t call);
  /** The call ended not sent or broken. */
  void failed(time_point now, std::uint64_t call);
  /** Nobody waits for the call any more; what it told still counts. */
  void dropped(std::uint64_t call);
  /** A member there did not answer, or others say that targets are silent. */
  void silent(time_point now, domain_key domain, silent_source source);

  /**
   * Takes any byte or datagram from there; returns how long the domain was
   * suspect, none: it was not.
   */
  std::optional<duration> lived(time_point now, domain_key domain,
                                bool is_member);

  /** What one look finds. */
  struct findings {
    /** Members there are to be probed, and one elsewhere. */
    std::vector<domain_key> probe;
    /** The members of the round under way there are to be probed again. */
    std::vector<domain_key> probe_again;
    struct suspicion {
      domain_key domain = 0;
      std::size_t evidence = 0;
      duration silent_for{};
      /** It rests on targets that were silent to this instance. */
      bool is_first_hand = false;
    };
    /** Newly suspect. */
    std::vector<suspicion> suspected;
    struct lapse {
      domain_key domain = 0;
      duration lasted{};
    };
    /** No longer, though there was no sign of life. */
    std::vector<lapse> lapsed;
  };
  /** `known_domains`: how many the fleet has. */
  findings look(time_point now, std::size_t known_domains);
  /** Members were probed as asked; none: the domain has none. */
  void probed(time_point now, domain_key domain,
              std::vector<std::uint64_t> members, bool has_elsewhere);
  /** Returns the members of the round under way in a domain. */
  std::vector<std::uint64_t> round_members(domain_key domain) const;

  bool is_suspect(domain_key domain) const;
  /**
   * Returns whether a request that may be repeated is to be tried in a suspect
   * domain: its targets may be back where its members are not.
   */
  bool is_trial_due(time_point now, domain_key domain) const;
  /** Returns how many domains are suspect. */
  std::size_t suspects() const { return suspects_; }
  /** Drops all evidence: this process stood still. */
  void reset();

 private:
  struct watched_call {
    domain_key domain = 0;
    std::uint64_t target = 0;
    time_point asked;
    time_point due;
    bool is_answered = false;
    bool is_counted = false;
  };
  struct round {
    time_point started;
    std::vector<std::uint64_t> members;
    bool has_elsewhere = false;
    bool is_repeated = false;
  };
  struct record {
    time_point lived;
    time_point member_lived;
    std::map<silent_source, time_point> evidence;
    time_point last_called;
    /** When something beside probes last spoke against it. */
    time_point last_evidence;
    std::optional<round> under_way;
    time_point last_round;
    /** A round of probes found nobody. */
    bool is_probed = false;
    bool had_elsewhere = false;
    std::optional<time_point> suspect_since;
    /** A suspicion that nothing renews ends then. */
    time_point suspect_until;
  };

  void note_overdue(time_point now);
  void end_round(time_point now, record& known);
  bool is_believable(time_point now, domain_key domain,
                     const record& known) const;
  bool is_most_unanswered(time_point now, domain_key domain) const;
  bool is_elsewhere_alive(time_point now, domain_key domain,
                          const record& known) const;
  void look_at(time_point now, domain_key domain, record& known, findings& out);
  void drop_all(time_point now, findings& out);

  std::map<std::uint64_t, watched_call> calls_;
  std::map<domain_key, record> domains_;
  std::size_t suspects_ = 0;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_DOMAIN_WATCH_H_
