// seamglade - whole events of a stream, by the published format
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "request/event_stream.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace seamglade::gateway {
namespace {

TEST(event_stream, knows_an_event_by_each_line_end) {
  const std::vector<std::string> ends{"\n", "\r\n", "\r"};
  for (const auto& a : ends) {
    for (const auto& b : ends) {
      const bool is_one_line_end = a == "\r" && b == "\n";
      if (is_one_line_end) continue;
      event_stream events;
      const auto text = fmt::format("id: 7{0}data: x{0}{1}", a, b);
      events.add(text + "data: y");
      EXPECT_EQ(events.take_events(), text);
      EXPECT_EQ(events.last_id(), "7");
      EXPECT_EQ(events.unfinished(), 7U);
    }
  }
}

using pieces = std::vector<std::string>;

/** Returns what is passed on of each piece as it comes. */
pieces feed(event_stream& events, const pieces& all) {
  pieces passed;
  for (const auto& piece : all) {
    events.add(piece);
    passed.push_back(events.take_events());
  }
  return passed;
}

TEST(event_stream, one_line_end_of_two_bytes_ends_no_event) {
  event_stream events;
  EXPECT_EQ(feed(events, {"data: x\r", "\ndata: y\r\n", "\r\n"}),
            (pieces{"", "", "data: x\r\ndata: y\r\n\r\n"}));
  EXPECT_EQ(events.unfinished(), 0U);
}

TEST(event_stream, a_line_end_split_between_pieces_leaves_nothing_unfinished) {
  event_stream events;
  EXPECT_EQ(feed(events, {"data: x\r\n\r", "\n"}),
            (pieces{"data: x\r\n\r", "\n"}));
  EXPECT_EQ(events.unfinished(), 0U);
}

TEST(event_stream, further_empty_lines_belong_to_no_event) {
  event_stream events;
  EXPECT_EQ(feed(events, {"\n\ndata: x\n\n\n\n"}),
            (pieces{"\n\ndata: x\n\n\n\n"}));
  EXPECT_EQ(events.unfinished(), 0U);
}

TEST(event_stream, comments_and_empty_lines_alone_are_no_event) {
  for (const std::string text : {"\n\n", ": ping\n\n", ":\r\r: x\r\n\r\n"}) {
    event_stream events;
    events.add(text);
    EXPECT_EQ(events.take_events(), text);
    EXPECT_EQ(end_of_stream(events, body_framing::close_delimited),
              call_end::closed);
    EXPECT_EQ(end_of_stream(events, body_framing::chunked), call_end::complete);
    events.add(": ping\ndata: x\n\n");
    events.take_events();
    EXPECT_EQ(end_of_stream(events, body_framing::close_delimited),
              call_end::complete);
  }
}

TEST(event_stream, begins_anew_behind_a_truncated_event) {
  event_stream events;
  events.add("id: 1\ndata: a\n\nid: 2\nda");
  events.take_events();
  events.restart();
  EXPECT_EQ(events.last_id(), "1");
  events.add("\nid: 2\ndata: b\n\n");
  EXPECT_EQ(events.take_events(), "\nid: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
}

struct drawn_text {
  std::string text;
  std::string last_id;
};

drawn_text draw_text() {
  drawn_text out;
  const auto line_end = rc::gen::element<std::string>("\n", "\r\n", "\r");
  const auto events = *rc::gen::inRange(0, 5);
  for (int i = 0; i < events; ++i) {
    out.last_id = std::to_string(i);
    out.text += "id: " + out.last_id + *line_end;
    const auto lines = *rc::gen::inRange(0, 3);
    for (int line = 0; line < lines; ++line) {
      out.text +=
          *rc::gen::element<std::string>("data: x", ":", "data") + *line_end;
    }
    // A line feed behind a carriage return would end the same line.
    const bool is_after_return = out.text.ends_with('\r');
    out.text += is_after_return ? "\r\n" : *line_end;
  }
  return out;
}

RC_GTEST_PROP(event_stream, pieces_come_to_the_same_wherever_they_end, ()) {
  const auto drawn = draw_text();
  event_stream events;
  std::string passed;
  std::size_t at = 0;
  while (at < drawn.text.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 9);
    events.add(std::string_view(drawn.text).substr(at, size));
    passed += events.take_events();
    at += size;
  }
  RC_ASSERT(passed == drawn.text);
  RC_ASSERT(events.unfinished() == 0U);
  RC_ASSERT(events.last_id() == drawn.last_id);
}

}  // namespace
}  // namespace seamglade::gateway
