// seamglade - the messages that instances send each other
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_MESSAGE_H_
#define SEAMGLADE_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "seamglade/settings.h"
#include "seamglade/types.h"

namespace seamglade {

/** Entry to owner: run this request on this target. */
struct submit {
  request_id id;
  target_id target;
  request_spec spec;
  /** Time left in which the request may start. */
  duration start_within{};
};

/** Owner to entry: a piece of the answer. */
struct part {
  request_id id;
  answer_part piece;
};

/** Owner to entry: the request got no answer, and why. */
struct refuse {
  request_id id;
  refusal why;
};

/** Entry to owner: the caller no longer wants the answer. */
struct cancel {
  request_id id;
};

/** Entry to owner: send the answer again from a piece on. */
struct query {
  request_id id;
  /** The incarnation of the owner that the request was sent to. */
  std::uint64_t incarnation = 0;
  std::uint32_t next_sequence = 0;
  /** Time since the request was sent, suspension included. */
  duration age{};
};

/** Entry to owner: the whole answer has arrived. */
struct acknowledge {
  request_id id;
};

/** Something known of a target, spread from neighbour to neighbour. */
struct target_fact {
  /** short_hash of the target's name. */
  std::uint32_t target = 0;
  /** What the fact is about: see fact_subject, else an adapter's hash. */
  std::uint64_t subject = 0;
  /** Orders facts about one subject; the higher one is newer. */
  std::uint64_t stamp = 0;
  std::uint32_t value = 0;

  friend bool operator==(const target_fact&, const target_fact&) = default;
};

/** Subjects of facts that are no adapter. */
enum fact_subject : std::uint64_t {
  kWaitSubject = 1,  // value: expected wait in milliseconds
  kOwnerSubject = 2  // value: short_hash of the owner's name; 0: none
};

/** To neighbours: the sender lives, and what has changed. */
struct heartbeat {
  std::uint64_t incarnation = 0;
  bool draining = false;
  /** Hash over the stamps of all accepted documents. */
  std::uint64_t settings_digest = 0;
  std::vector<target_fact> facts;
};

/** What a document is at; part of settings_have. */
struct document_edition {
  std::string name;
  document_stamp stamp;
};

/** To a peer whose digest differs: the sender's accepted documents. */
struct settings_have {
  std::vector<document_edition> documents;
  /** Whether the receiver is to answer with its own list. */
  bool answer = false;
  /** Whether the sender itself acts under these documents by now. */
  bool settled = false;
};

/** An accepted document, for a peer that has an older one. */
struct settings_push {
  std::string name;
  document_stamp stamp;
  std::shared_ptr<const std::string> text;
};

/** Owner to allocator: loads wanted from a weight store. */
struct permit_request {
  std::string store;
  std::uint32_t urgent = 0;
  std::uint32_t deferred = 0;
  /** Loads that run at the sender, and permits it has not used yet. */
  std::uint32_t in_use = 0;
  /** How long the oldest urgent request has waited. */
  duration oldest_wait{};
};

/** Allocator to owner: loads that may begin before the permits expire. */
struct permit_grant {
  std::string store;
  std::uint32_t count = 0;
  duration expires_in{};
};

/** Former owner to successor: the target is yours; this still runs. */
struct handover {
  target_id target;
  fence last;
  /** Adapters in use by requests that still run. */
  std::vector<std::string> in_use;
};

/** Former owner to successor: nothing of the former owner's runs now. */
struct handover_done {
  target_id target;
  /** The fence of the handover that this ends. */
  fence last;
};

using message =
    std::variant<submit, part, refuse, cancel, query, acknowledge, heartbeat,
                 settings_have, settings_push, permit_request, permit_grant,
                 handover, handover_done>;

}  // namespace seamglade

#endif  // SEAMGLADE_MESSAGE_H_
