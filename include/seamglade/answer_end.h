// seamglade - what brings an answer, how its end is marked and how it came
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_ANSWER_END_H_
#define SEAMGLADE_ANSWER_END_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** What marks the end of an answer's body (RFC 9112, section 6.3). */
enum class body_framing : std::uint8_t {
  length,          // a length, or a status that has no body
  chunked,         // a last chunk
  close_delimited  // nothing but the end of the connection
};

std::string_view to_string(body_framing framing);

/** How a call ended. */
enum class call_end : std::uint8_t {
  complete,     // the answer was read up to its end
  not_sent,     // no connection came up: nothing reached the other side
  no_room,      // this side may open no further connection: nothing was sent
  closed,       // the connection was closed before the answer's end
  reset,        // the connection failed before the answer's end
  malformed,    // what came is no answer, or belongs to no call
  too_large,    // more came than an answer may hold
  within_event  // the answer was read up to its end, and its last event wasn't
};

std::string_view to_string(call_end end);

/** What is wrong with bytes that are no answer. */
enum class answer_fault : std::uint8_t {
  none,
  status_line,  // no status line, or a status outside 100 to 599
  field,        // a field's name or value holds what it must not
  folded_line,  // a field goes on in a second line
  coding,       // a transfer coding other than chunked alone
  length,       // a length that is no number, or beside another one or chunks
  chunk,        // a chunk's size, or what follows its data
  cut_head,     // the connection ended in order before the head did
  too_long,     // a head, a chunk's size or trailers without end
  other_call    // what came belongs to no call, or goes on without end
};

std::string_view to_string(answer_fault fault);

/** Why bytes are no answer. */
struct answer_defect {
  answer_fault fault = answer_fault::none;
  /** Of the bytes that could not be read, at most 64. */
  std::string excerpt;
};

/** A process that ends has closed all its sockets within this time. */
constexpr duration kAllSocketsClosed = 10ms;

/** The connection that brought an answer. */
struct answer_carrier {
  /** Number of the connection in its instance; 0: none. */
  std::uint64_t connection = 0;
  /** Calls that it had carried before. */
  std::uint32_t calls_before = 0;
};

/** Counts answers by framing and end. */
using answer_end_counts =
    std::map<std::pair<body_framing, call_end>, std::uint64_t>;

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_ANSWER_END_H_
