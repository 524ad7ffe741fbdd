// seamglade - what a caller makes of the events that it got
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_STREAM_CHECKS_H_
#define SEAMGLADE_TEST_STREAM_CHECKS_H_

#include "gateway_checks.h"

namespace seamglade {

/** Events as a caller reads them by the published format. */
struct read_events {
  std::vector<std::string> ids;
  /** The text ends within an event. */
  bool is_unfinished = false;
};

inline read_events read_stream(std::string_view text) {
  read_events out;
  std::string id;
  while (!text.empty()) {
    const auto end = text.find_first_of("\r\n");
    if (end == std::string_view::npos) {
      out.is_unfinished = true;
      return out;
    }
    const auto line = text.substr(0, end);
    const auto mark = text.substr(end, 2) == "\r\n" ? 2 : 1;
    text.remove_prefix(end + mark);
    out.is_unfinished = !line.empty();
    if (line.starts_with("id: ")) id = line.substr(4);
    if (line.empty() && !id.empty()) out.ids.push_back(std::exchange(id, {}));
  }
  return out;
}

/** Returns "1", "2" and so on. */
inline std::vector<std::string> first_ids(std::size_t count) {
  std::vector<std::string> out;
  for (std::size_t i = 1; i <= count; ++i) out.push_back(std::to_string(i));
  return out;
}

/** Judges what one caller has got of a stream of so many events. */
inline void expect_stream_kept(const gateway_world& w, const gateway_call& call,
                               std::size_t events) {
  if (call.status != kOk || (!call.complete && !call.aborted)) return;
  const auto got = read_stream(call.body);
  EXPECT_FALSE(got.is_unfinished) << call.id << " ends within an event";
  EXPECT_EQ(got.ids, first_ids(got.ids.size())) << call.id;
  if (call.complete && !w.was_cut_unseen(call.id)) {
    EXPECT_EQ(got.ids.size(), events) << call.id << " passes as whole";
  }
}

}  // namespace seamglade

#endif  // SEAMGLADE_TEST_STREAM_CHECKS_H_
