// seamglade - one request of a caller on the direct path, and its answer
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_REQUEST_EXCHANGE_H_
#define SEAMGLADE_SRC_REQUEST_EXCHANGE_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "request/event_stream.h"
#include "seamglade/answer_end.h"
#include "seamglade/controller.h"
#include "seamglade/gateway_peers.h"
#include "seamglade/gateway_types.h"

namespace seamglade::gateway {

/** The state of one exchange with a caller. */
struct exchange {
  enum class phase : std::uint8_t {
    /** For word of where the stream began that it takes up. */
    tracing,
    /** For a grant of its workspace's quota. */
    metered,
    waiting,
    calling
  };

  caller_id caller = 0;
  caller_message message;
  request_facts facts;
  request_fingerprint fingerprint;
  /** Parts of its prompt, but the last. */
  std::vector<request_fingerprint> parts;
  /** Keeps `way` alive when a new configuration comes into force. */
  std::shared_ptr<const configuration> config;
  const route* way = nullptr;
  const service_profile* service = nullptr;
  /** The workspace that holds the caller's key; null: none is needed. */
  const workspace* owner = nullptr;

  time_point started;
  /** The caller or the operator wants it held no longer than this. */
  time_point until;
  /** A request that still waits is refused then. */
  time_point refuse_at;
  phase now = phase::waiting;
  /** Until then it waits for word of how busy its targets are. */
  std::optional<time_point> asked_until;
  /** The grant that it waits for. */
  struct quota_wait {
    std::uint64_t request = 0;
    /** Who was asked, in this order. */
    std::vector<member_address> asked;
    /** The last of them is taken to be silent then. */
    time_point answer_until;
    /** Accounts had too little; the last of them has enough after this. */
    std::optional<duration> empty_for;
  };
  quota_wait quota;
  /** The stream that it begins or takes up; 0: it is none that goes on. */
  stream_key stream = 0;
  /** Names a stream by its prompt instead; 0: that names no parts. */
  stream_key prompt = 0;
  /** Where that began; none: not known, or it has not begun. */
  std::optional<stream_origin> origin;
  /** What it asks of others about that. */
  struct origin_wait {
    std::uint64_t request = 0;
    /** Those that have not answered. */
    std::set<member_address> awaited;
    std::size_t asked = 0;
    /** Who is silent is asked once more then. */
    std::optional<time_point> again_at;
    time_point until;
    /** Someone has seen several versions in the service lately. */
    bool has_several = false;
    /** Who has watched for long enough saw this version alone; 0: nobody. */
    software_hash watched = 0;
    /** No instance knows it, and targets are asked; older lists don't count. */
    std::optional<time_point> lists_from;
    /** Also of targets that are not known to hold its adapter. */
    bool lists_all = false;
  };
  origin_wait tracing;
  /** The place at a plain target that it asks for or holds. */
  struct admission_state {
    std::uint64_t request = 0;
    target_id target;
    member_address admitter = 0;
    std::optional<time_point> answer_until;
    bool is_held = false;
    /** Targets that had no place, and when the first may have one. */
    std::set<target_hash> full;
    std::optional<duration> full_for;
  };
  admission_state admission;
  /** The grant that it asks for, of a target that bears few requests. */
  struct grant_state {
    std::uint64_t request = 0;
    target_hash target = 0;
    member_address who = 0;
    std::optional<time_point> answer_until;
    /** The target that it may be sent to, now; 0: none. */
    target_hash granted = 0;
    /** All had nothing left; the first may have something then. */
    time_point again_at;
  };
  grant_state grant;
  /** The target that is to load the adapter; empty: none. */
  target_id home;

  call_id call = 0;
  target_id target;
  /** When the target had started that it was sent to, in Unix ms; 0: untold. */
  std::uint64_t target_life = 0;
  /** The target's software version when it was sent there; empty: untold. */
  std::string software;
  /** The first to be sent there after a rest. */
  bool is_after_rest = false;
  time_point called_at;
  /** Its connection ended then; whether its answer is whole is not known. */
  std::optional<time_point> closed_at;
  /** When this call passed its first event on. */
  std::optional<time_point> first_event;
  /** Prompt tokens that the target had to read up to its first event. */
  std::uint32_t tokens_ahead = 0;
  bool is_reading = false;
  /**
   * A call of it broke where its target may have ended. Only one end counts for
   * each request that comes: the gateway's own repeat of an innocent one may go
   * where a deadly one is.
   */
  bool is_suspected = false;
  /** Its call has shown that no part of its prompt ends targets. */
  bool is_proven = false;
  /** It runs to show whether a refused part still ends targets. */
  bool is_trial = false;
  /** It shows whether targets answer again that gave nothing back. */
  bool is_way_trial = false;
  /** Targets that were given the request. */
  std::set<target_id> tried;
  /** Targets on which it may have run. */
  std::uint32_t runs = 0;
  std::uint32_t unsent_tries = 0;

  /** The instance that the call under way goes through; 0: none. */
  member_address relay = 0;
  /** Instances that it was handed on to. */
  std::set<member_address> relays_tried;
  /** Another instance handed it on; none: it came from a caller. */
  std::optional<relayed_request> relayed;

  /** The answer under way. */
  int status = 0;
  std::string reason;
  std::vector<http_header> headers;
  answer_facts answer;
  body_framing framing = body_framing::length;
  answer_carrier carrier;
  /** What was wrong with the last call's answer, if anything. */
  answer_defect defect;
  std::string body;
  /** The instance that answered could not help. */
  bool is_no_help = false;
  /** Where the stream began, as that instance says. */
  std::optional<stream_origin> told_origin;
  bool head_sent = false;
  event_stream events;

  /** Its workspace's rank goes before its route's; 0 is the most urgent. */
  std::uint32_t rank() const {
    return owner != nullptr && owner->rank ? *owner->rank : way->rank;
  }
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_REQUEST_EXCHANGE_H_
