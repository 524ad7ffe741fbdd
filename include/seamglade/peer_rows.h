// seamglade - rows of what instances tell each other
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_PEER_ROWS_H_
#define SEAMGLADE_PEER_ROWS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "seamglade/gateway_types.h"

namespace seamglade::gateway {

/** An instance's IPv4 number in host order; names it in the fleet. */
using member_address = std::uint32_t;
/** Hash of a target's id. */
using target_hash = std::uint64_t;

/** What is believed of a member; of equal beats the greater standing counts. */
enum class member_standing : std::uint8_t {
  alive,
  /** It answered neither a probe nor those that others sent it. */
  suspect,
  /** It has not denied the suspicion in time. */
  gone
};

/** What one instance tells of another. */
struct member_row {
  member_address address = 0;
  /** Hash of the failure domain. */
  std::uint32_t domain = 0;
  /** Rises with every start of the instance. */
  std::uint64_t incarnation = 0;
  /**
   * Rises with every heartbeat of the instance where all tell all; in a larger
   * fleet only to outdo what is believed of it.
   */
  std::uint64_t beat = 0;
  bool leaving = false;
  member_standing standing = member_standing::alive;
  /** It reaches no target, as it says itself. */
  bool cut_off = false;

  friend bool operator==(const member_row&, const member_row&) = default;
};

/** Who gives the orders to a target; of two claims the higher fence counts. */
struct target_claim {
  target_hash target = 0;
  std::uint64_t fence = 0;
  /** None (0): the holder of this fence has given the target up. */
  member_address holder = 0;

  friend bool operator==(const target_claim&, const target_claim&) = default;
};

/** Requests at a target, and what it has still to read for them. */
struct target_work {
  std::uint32_t running = 0;
  /** Prompt tokens of requests without a first event. */
  std::uint32_t reading = 0;
  /** ... and of these, those of the most urgent rank. */
  std::uint32_t reading_urgent = 0;

  target_work& operator+=(const target_work& more) {
    running += more.running;
    reading += more.reading;
    reading_urgent += more.reading_urgent;
    return *this;
  }
  friend bool operator==(const target_work&, const target_work&) = default;
};

/** The sender's work at a target. */
struct target_load {
  target_hash target = 0;
  target_work work;

  friend bool operator==(const target_load&, const target_load&) = default;
};

/** A target ended; of what ran there, a blame_row tells. */
struct target_end {
  target_hash target = 0;
  /** How long ago, when it was told. */
  duration age{};

  friend bool operator==(const target_end&, const target_end&) = default;
};

/** Where a stream began. */
struct origin_row {
  stream_key stream = 0;
  stream_origin origin;

  friend bool operator==(const origin_row&, const origin_row&) = default;
};

/** The ends of targets at which one request was running. */
struct blame_row {
  request_fingerprint request;
  std::vector<target_end> ends;
  /** Since it was last run and answered whole; ends before do not count. */
  std::optional<duration> answered_age;

  friend bool operator==(const blame_row&, const blame_row&) = default;
};

/** How many requests a second a target takes of all instances together. */
struct limit_row {
  target_hash target = 0;
  /** When the target had started that said so, in Unix ms; 0: not known. */
  std::uint64_t life = 0;
  /** Requests a second; 0: it names no limit any more. */
  double rate = 0;
  /**
   * Since an answer named it; of a limit that was lifted, since the request was
   * sent whose answer said so.
   */
  duration age{};

  friend bool operator==(const limit_row&, const limit_row&) = default;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_PEER_ROWS_H_
