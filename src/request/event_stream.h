// seamglade - cuts a series of events (text/event-stream) into whole events
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_REQUEST_EVENT_STREAM_H_
#define SEAMGLADE_SRC_REQUEST_EVENT_STREAM_H_

#include <string>
#include <string_view>

#include "seamglade/answer_end.h"

namespace seamglade::gateway {

/** Whether a media type, with or without parameters, is that of events. */
bool is_event_stream_type(std::string_view media_type);

/**
 * Bytes go in as they come; whole events come out, unchanged.
 *
 * An empty line ends an event; a line ends with a line feed, a carriage return
 * or both (HTML standard, section 9.2.5).
 */
class event_stream {
 public:
  void add(std::string_view bytes);
  /** Returns the whole events that have come in, as one text. */
  std::string take_events();
  /** Drops a truncated event; what comes next is of another run. */
  void restart();
  /** Returns the bytes that have come of an event that is not whole. */
  std::size_t unfinished() const { return pending_.size() - events_end_; }
  /** Whether the run has had a whole event, comments apart. */
  bool has_event() const { return has_event_; }
  /** Returns the id of the last whole event taken; empty: none. */
  const std::string& last_id() const { return last_id_; }

 private:
  /** A line ends at this place in `pending_`. */
  void end_line(std::size_t end);
  void note_ids(std::string_view events);

  std::string pending_;
  /** Where the last whole event in `pending_` ends; 0: there is none. */
  std::size_t events_end_ = 0;
  bool line_is_empty_ = true;
  /** The last byte was a carriage return: a line feed ends the same line. */
  bool after_return_ = false;
  /** The event that has begun has more than comments. */
  bool has_field_ = false;
  bool has_event_ = false;
  std::string last_id_;
};

/**
 * Returns how a stream ended whose answer was read to its end. It is truncated
 * if it ends within an event, and also if it has no event and no framing that
 * marks its end.
 */
call_end end_of_stream(const event_stream& events, body_framing framing);

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_REQUEST_EVENT_STREAM_H_
