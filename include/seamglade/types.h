// seamglade - small value types that every module shares
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TYPES_H_
#define SEAMGLADE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "seamglade/failure.h"

namespace seamglade {

/**
 * The clock of the decisions: time that goes on while a process is suspended.
 * It has no now(): the driver passes the time in.
 */
struct boot_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;
};
using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;

/** Names from the published list; unique within a fleet. */
using instance_id = std::string;
using target_id = std::string;

/** An adapter at one version on one base model. */
struct adapter_ref {
  std::string base;
  std::string name;
  std::uint32_t version = 0;

  /** Returns base/name@version, the model name given to engines. */
  std::string str() const;
  friend auto operator<=>(const adapter_ref&, const adapter_ref&) = default;
};

/** Parses base/name@version; fails with bad_model_name. */
result<adapter_ref> parse_adapter_ref(std::string_view text);

/** Names one attempt of one request across the fleet. */
struct request_id {
  /** Hash of the entry instance and its incarnation. */
  std::uint64_t origin = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const request_id&, const request_id&) = default;
};

/**
 * The order of orders: a target that checks them refuses any whose fence is
 * lower than the highest it has seen. Compared from the first member on.
 */
struct fence {
  /** Index of the newest accepted configuration document. */
  std::uint64_t config = 0;
  /** Claims seen on this target, this one included. */
  std::uint64_t count = 0;
  instance_id holder;

  friend auto operator<=>(const fence&, const fence&) = default;
};

enum class urgency : std::uint8_t { urgent, deferred };

/** What became of a request that got no answer. */
enum class outcome_kind : std::uint8_t {
  not_run,  // proved: it ran nowhere
  unknown   // it may have run
};

/** Why a request was refused or given up on. */
enum class refusal_reason : std::uint8_t {
  bad_request,
  unknown_service,
  unknown_adapter,
  body_too_large,
  headers_too_large,
  queue_full,
  deadline,
  service_limit,
  caller_limit,
  no_target,
  not_owner,
  target_leaving,
  target_ejected,
  draining,
  not_ready,
  load_failed,
  link_lost,
  target_lost,
  key_seen,
  key_too_old,
  never_received,
  cancelled
};

std::string_view to_string(outcome_kind kind);
std::string_view to_string(refusal_reason reason);

/** The final answer to a request that did not get the target's answer. */
struct refusal {
  outcome_kind outcome = outcome_kind::unknown;
  refusal_reason reason = refusal_reason::target_lost;
  /** When to come back; zero where coming back does not help. */
  duration retry_after{};

  friend bool operator==(const refusal&, const refusal&) = default;
};

/** Returns the HTTP status that goes with a refusal. */
int http_status(const refusal& why);

struct http_header {
  std::string name;
  std::string value;
  friend bool operator==(const http_header&, const http_header&) = default;
};

/** A caller's request, as the entry instance understood it. */
struct request_spec {
  /** Path of the service in the tree of settings, as /site/service. */
  std::string service;
  /** The adapter and version named; none for a plain service. */
  std::optional<adapter_ref> adapter;
  std::string method;
  std::string path;
  std::vector<http_header> headers;
  std::shared_ptr<const std::string> body;
  bool repeatable = true;
  urgency priority = urgency::urgent;
  /** How long the request may wait before it starts; none: the setting. */
  std::optional<duration> deadline;
  /** Whom to count the request against. */
  std::string caller;
  /** A UUIDv7 by which the caller knows the request; empty: none. */
  std::string idempotency_key;
};

/** A piece of an answer; the pieces of one answer are numbered from 0. */
struct answer_part {
  std::uint32_t sequence = 0;
  /** HTTP status; set in part 0 only. */
  int status = 0;
  /** Set in part 0 only. */
  std::vector<http_header> headers;
  std::shared_ptr<const std::string> data;
  /** Whether the answer is complete with this part. */
  bool last = false;
};

}  // namespace seamglade

#endif  // SEAMGLADE_TYPES_H_
