// seamglade - cuts a series of events (text/event-stream) into whole events
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "request/event_stream.h"

#include <boost/algorithm/string/predicate.hpp>
#include <utility>

namespace seamglade::gateway {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

bool is_event_stream_type(std::string_view media_type) {
  return boost::algorithm::istarts_with(media_type, "text/event-stream");
}

void event_stream::add(std::string_view bytes) {
  for (const char c : bytes) {
    const auto at = pending_.size();
    pending_.push_back(c);
    const bool ends_same_line = c == '\n' && after_return_;
    after_return_ = c == '\r';
    if (ends_same_line) {
      if (events_end_ == at) events_end_ = at + 1;
    } else if (c == '\n' || c == '\r') {
      end_line(at + 1);
    } else {
      // A line that begins with a colon is a comment.
      if (line_is_empty_ && c != ':') has_field_ = true;
      line_is_empty_ = false;
    }
  }
}

void event_stream::end_line(std::size_t end) {
  if (line_is_empty_) {
    events_end_ = end;
    if (std::exchange(has_field_, false)) has_event_ = true;
  }
  line_is_empty_ = true;
}

std::string event_stream::take_events() {
  std::string events = pending_.substr(0, events_end_);
  pending_.erase(0, std::exchange(events_end_, 0));
  note_ids(events);
  return events;
}

void event_stream::restart() {
  pending_.resize(events_end_);
  line_is_empty_ = true;
  after_return_ = false;
  has_field_ = false;
  has_event_ = false;
}

void event_stream::note_ids(std::string_view events) {
  while (!events.empty()) {
    const auto end = events.find_first_of("\r\n");
    const auto line = events.substr(0, end);
    if (line.starts_with(kIdField)) {
      auto id = line.substr(kIdField.size());
      if (id.starts_with(' ')) id.remove_prefix(1);
      last_id_ = id;
    }
    if (end == std::string_view::npos) break;
    events.remove_prefix(end + 1);
  }
}

call_end end_of_stream(const event_stream& events, body_framing framing) {
  if (events.unfinished() > 0) return call_end::within_event;
  const bool is_marked = framing != body_framing::close_delimited;
  return is_marked || events.has_event() ? call_end::complete
                                         : call_end::closed;
}

}  // namespace seamglade::gateway
