// seamglade - what instances of the direct path tell each other
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_GATEWAY_PEERS_H_
#define SEAMGLADE_GATEWAY_PEERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "seamglade/gateway_types.h"
#include "seamglade/peer_questions.h"
#include "seamglade/peer_rows.h"

namespace seamglade::gateway {

struct heartbeat {
  /** The sender's own row first. */
  std::vector<member_row> rows;
  /** How many members the sender knows, itself included. */
  std::uint32_t members = 0;
  std::uint64_t store_revision = 0;
  /** Time since the store last answered the sender. */
  duration store_age{};
  /** Time since the store was last known to be at the sender's revision. */
  duration copy_age{};
  bool watching = false;
  /** The sender's own claims, and some it has heard of. */
  std::vector<target_claim> claims;
  /**
   * Of all claims that the sender knows: a receiver that knows others tells
   * some of them in its answer. 0: not to be compared.
   */
  std::uint64_t claims_digest = 0;
  std::vector<target_load> loads;
  /** Some of the requests that are not to run: for those that start anew. */
  std::vector<blame_row> quarantined;
  /** Some of the limits in force, likewise. */
  std::vector<limit_row> limits;
  /** Of the store's revision that the sender knows. */
  store_epoch epoch = 0;
  /** Version of the configuration in force at the sender. */
  std::uint64_t configuration = 0;

  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/** What an instance has to do with one adapter at one target. */
struct adapter_interest {
  adapter_hash adapter{};
  /** On the wire only where requests wait: what runs has a place already. */
  adapter_name name;
  /** The version that must be in force; 0: any. */
  std::uint32_t version = 0;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  /** Rank of the most urgent request that waits. */
  std::uint32_t rank = 0;
  /** How long the first has waited when this was sent. */
  duration waited{};
  /**
   * What was left of its objective to the request that has most left; none is
   * left to a wish that no request waits for.
   */
  duration slack{};

  friend bool operator==(const adapter_interest&,
                         const adapter_interest&) = default;
};

/** Up to where one knows a holder's word on its target. */
struct known_word {
  /** None (0): it knows nothing. */
  std::uint64_t fence = 0;
  /** None (0): not all that there was. */
  std::uint64_t edition = 0;

  friend bool operator==(const known_word&, const known_word&) = default;
};

/** All the sender has to do with a target; replaces what it said before. */
struct interest_message {
  target_hash target = 0;
  std::vector<adapter_interest> rows;
  /** The sender's work there. */
  target_work work;
  /** A request waits for the answer; else this only reports. */
  bool asks = false;
  /** What need not be told again. */
  known_word known;

  friend bool operator==(const interest_message&,
                         const interest_message&) = default;
};

/** An adapter at a target, as its holder believes. */
struct adapter_place {
  adapter_hash adapter{};
  std::uint32_t version = 0;
  bool ready = false;
  /** Requests of all instances that run on it there. */
  std::uint32_t running = 0;

  friend bool operator==(const adapter_place&, const adapter_place&) = default;
};

/**
 * What a target holds, from the instance that gives it orders. A receiver that
 * knows a former edition is told what has changed since; `running` always goes
 * along, since it changes without an edition.
 */
struct residency_message {
  target_hash target = 0;
  std::uint64_t fence = 0;
  /** Rises with every change under one fence. */
  std::uint64_t edition = 0;
  /** Only changes since this edition are told; 0: the places are all. */
  std::uint64_t since = 0;
  /** The work of all instances there, as they told the sender. */
  target_work work;
  /** How long a load from the weight store takes there. */
  duration load_time{};
  std::vector<adapter_place> places;
  /** Adapters that went since. */
  std::vector<adapter_hash> gone;
  /**
   * Requests on each place that there is in this edition, in the order of their
   * hashes, 255 at most; empty: none runs.
   */
  std::vector<std::uint8_t> running;

  friend bool operator==(const residency_message&,
                         const residency_message&) = default;
};

/** Changes from one copy of the store to another, or a copy whole. */
struct store_changes {
  /** The receiver knows everything up to here once it has the items. */
  std::uint64_t revision = 0;
  /** The items are all there are: what is not among them was deleted. */
  bool whole = false;
  std::vector<store_item> items;
  /** The same of what the operators wrote; never below `revision`. */
  std::uint64_t operators = 0;
  /** Of all revisions here. */
  store_epoch epoch = 0;
  /**
   * Told to who knows nothing: items of a former epoch that are in force still,
   * though the store holds older ones.
   */
  std::vector<store_item> kept = {};
};

/** Items of the store that are not to wait for the next copy. */
struct news_message {
  std::vector<store_item> items;
  /**
   * Who knew what operators wrote up to `operators_from` knows it up to
   * `operators_to` once it has the items; who knew less asks the sender for a
   * copy. Both 0: nothing is told of operators.
   */
  std::uint64_t operators_from = 0;
  std::uint64_t operators_to = 0;
  /** Of all revisions here. */
  store_epoch epoch = 0;

  friend bool operator==(const news_message&, const news_message&) = default;
};

/** The sender's work at targets where it has changed. */
struct loads_message {
  std::vector<target_load> loads;

  friend bool operator==(const loads_message&, const loads_message&) = default;
};

/** Asks a member to probe another, or the subject itself to answer. */
struct probe_request {
  /** Who wants to know. */
  member_address origin = 0;
  member_address subject = 0;

  friend bool operator==(const probe_request&, const probe_request&) = default;
};

/** A member's sign of life; goes back the way that the probe came. */
struct probe_answer {
  member_address origin = 0;
  /** The subject's own row first. */
  std::vector<member_row> rows;
  /** Some of what the subject knows, where the origin knows others. */
  std::vector<target_claim> claims;

  friend bool operator==(const probe_answer&, const probe_answer&) = default;
};

/**
 * The sender's calls to a failure domain hang and nothing there answers it. The
 * receiver looks for itself; one that is there answers, which denies it.
 */
struct domain_alarm {
  /** Hash of the failure domain. */
  std::uint32_t domain = 0;

  friend bool operator==(const domain_alarm&, const domain_alarm&) = default;
};

/** Who ran where a target has just ended, or has been answered since. */
struct blame_message {
  std::vector<blame_row> rows;

  friend bool operator==(const blame_message&, const blame_message&) = default;
};

/** What a target has said of itself, to one that has not asked it. */
struct word_row {
  target_hash target = 0;
  /** When the target had started that said so, in Unix ms; 0: not known. */
  std::uint64_t life = 0;
  bool is_leaving = false;
  /** How long it wants no requests; zero: its rest is over, if it had any. */
  duration rest{};

  friend bool operator==(const word_row&, const word_row&) = default;
};

struct word_message {
  std::vector<word_row> rows;
  std::vector<limit_row> limits = {};

  friend bool operator==(const word_message&, const word_message&) = default;
};

/** Streams that began at the sender, for those that keep word of them. */
struct origin_message {
  std::vector<origin_row> rows;

  friend bool operator==(const origin_message&,
                         const origin_message&) = default;
};

using peer_message = std::variant<
    heartbeat, interest_message, residency_message, news_message, loads_message,
    probe_request, probe_answer, confirmation_request, confirmation_answer,
    quota_request, quota_answer, admission_request, admission_answer,
    admission_end, domain_alarm, grant_request, grant_answer, blame_message,
    word_message, origin_message, origin_request, origin_answer>;

/** Encodes a message; never above a datagram's size for sane contents. */
std::string encode_peer_message(const peer_message& message);
/** Fails with bad_frame. */
result<peer_message> decode_peer_message(std::string_view bytes);
std::string encode_store_changes(const store_changes& changes);
/** Fails with bad_frame. */
result<store_changes> decode_store_changes(std::string_view bytes);

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_GATEWAY_PEERS_H_
