// seamglade - what instances ask each other, and the answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_PEER_QUESTIONS_H_
#define SEAMGLADE_PEER_QUESTIONS_H_

#include <cstdint>
#include <optional>

#include "seamglade/peer_rows.h"

namespace seamglade::gateway {

/** Asks how old the receiver's word of the operators' configuration is. */
struct confirmation_request {
  /** When it was sent, by the sender's own clock. */
  duration asked{};

  friend bool operator==(const confirmation_request&,
                         const confirmation_request&) = default;
};

/**
 * The answer: at most `age` before it was sent, the store's configuration was
 * the one named. The way that it took only makes it older: the receiver counts
 * from when it asked.
 */
struct confirmation_answer {
  duration asked{};
  duration age{};
  std::uint64_t configuration = 0;

  friend bool operator==(const confirmation_answer&,
                         const confirmation_answer&) = default;
};

/** Asks an accountant of a workspace for a part of its quota. */
struct quota_request {
  /** Names the request at the sender. */
  std::uint64_t request = 0;
  std::uint64_t workspace = 0;
  /** In the quota's units. */
  double amount = 0;

  friend bool operator==(const quota_request&, const quota_request&) = default;
};

enum class quota_verdict : std::uint8_t {
  granted,
  /** There is less than was asked for. */
  empty,
  /** The receiver keeps no account of the workspace. */
  not_mine
};

struct quota_answer {
  std::uint64_t request = 0;
  std::uint64_t workspace = 0;
  quota_verdict verdict = quota_verdict::not_mine;
  /** Where there is too little: when there would be enough. */
  duration empty_for{};

  friend bool operator==(const quota_answer&, const quota_answer&) = default;
};

/** Asks the admitter of a plain target for a place there. */
struct admission_request {
  /** Names the request at the sender. */
  std::uint64_t request = 0;
  target_hash target = 0;
  /** What is left of the request's objective. */
  duration slack{};
  std::uint32_t rank = 0;
  /** The place is free again after this, also without a word. */
  duration held_for{};

  friend bool operator==(const admission_request&,
                         const admission_request&) = default;
};

struct admission_answer {
  std::uint64_t request = 0;
  target_hash target = 0;
  bool is_granted = false;
  /** How long one more request would take there. */
  duration expected{};
  /** Where it is refused: when there may be room. */
  duration full_for{};

  friend bool operator==(const admission_answer&,
                         const admission_answer&) = default;
};

enum class admission_outcome : std::uint8_t {
  served,
  /** The target had no room: it is fuller than its admitter believes. */
  rejected,
  /** Nothing is learned from it. */
  other
};

/** A request has left its place at a plain target. */
struct admission_end {
  std::uint64_t request = 0;
  target_hash target = 0;
  admission_outcome outcome = admission_outcome::other;
  /** How long the target took. */
  duration took{};

  friend bool operator==(const admission_end&, const admission_end&) = default;
};

/** Asks a target's grantor whether one request may go there. */
struct grant_request {
  /** Names the question at the sender. */
  std::uint64_t request = 0;
  target_hash target = 0;
  /** It is cold, as far as the sender knows. */
  bool is_cold = true;
  /** The limit that the sender knows of, which the receiver may not. */
  limit_row limit = {};

  friend bool operator==(const grant_request&, const grant_request&) = default;
};

/** A grant is for one request, to be sent at once. */
struct grant_answer {
  std::uint64_t request = 0;
  target_hash target = 0;
  bool is_granted = false;
  /** Where it is refused: the sender is not to ask for the target sooner. */
  duration spent_for{};

  friend bool operator==(const grant_answer&, const grant_answer&) = default;
};

/** Asks where a stream began that a caller takes up. */
struct origin_request {
  /** Names the question at the sender. */
  std::uint64_t request = 0;
  stream_key stream = 0;
  /** Where it would go if nobody knows. */
  service_hash service = 0;

  friend bool operator==(const origin_request&,
                         const origin_request&) = default;
};

struct origin_answer {
  std::uint64_t request = 0;
  /** None: the sender does not know the stream. */
  std::optional<stream_origin> origin;
  /** The sender has seen targets of one version only in the service lately. */
  bool is_single_version = false;
  /** It has seen this one alone for as long as a stream may take; 0: no. */
  software_hash watched = 0;

  friend bool operator==(const origin_answer&, const origin_answer&) = default;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_PEER_QUESTIONS_H_
