// seamglade - cuts a series of events (text/event-stream) into whole events
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_REQUEST_EVENT_STREAM_H_
#define SEAMGLADE_SRC_REQUEST_EVENT_STREAM_H_

#include <string>
#include <string_view>

namespace seamglade::gateway {

/** Bytes go in as they come; whole events come out, unchanged. */
class event_stream {
 public:
  void add(std::string_view bytes) { pending_.append(bytes); }
  /** Returns the whole events that have come in, as one text. */
  std::string take_events();
  /** Returns what is left: the beginning of an event. */
  std::string take_rest();
  /** Drops the beginning of an event that a target broke off. */
  void drop_rest() { pending_.clear(); }
  /** Returns the bytes that have come of an event that is not whole. */
  std::size_t unfinished() const { return pending_.size(); }
  /** Returns the id of the last whole event taken; empty: none. */
  const std::string& last_id() const { return last_id_; }

 private:
  void note_ids(std::string_view events);

  std::string pending_;
  std::string last_id_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_REQUEST_EVENT_STREAM_H_
