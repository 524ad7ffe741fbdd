// seamglade - the direct path: streams of all framings, truncated at drawn
// bytes, under drawn faults
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "drawn_play.h"
#include "stream_checks.h"

namespace seamglade {
namespace {

using fakes::fake_stream;
using gateway::body_framing;

constexpr std::size_t kEvents = 6;

class drawn_streams : public drawn_play {
 public:
  using drawn_play::drawn_play;

  void play() {
    settle();
    draw_streams();
    send_innocents();
    draw_moments(2s, [this] { draw_streams(); });
    draw_moments(6s, [this] { draw_fault(); });
    world().run_for(kTime + 12s);
  }

 private:
  /** Draws how each engine sends its streams from now on. */
  void draw_streams() {
    static const std::vector<std::vector<std::string>> line_ends{
        {"\n"}, {"\r\n"}, {"\r"}, {"\n", "\r\n", "\r"}};
    for (const auto& id : world().engines()) {
      fake_stream how;
      how.framing = static_cast<body_framing>(draw(3));
      how.events = kEvents;
      how.line_ends = line_ends[draw(line_ends.size())];
      how.gap = static_cast<std::int64_t>(1 + draw(20)) * 1ms;
      how.cut_share = draw(2) == 0 ? 0.3 : 0;
      how.ends_by = static_cast<fake_stream::ending>(draw(3));
      world().send_streams(id, how);
    }
  }
};

class stream_end_soak : public testing::TestWithParam<std::uint64_t> {};

TEST_P(stream_end_soak, truncated_streams_never_pass_as_whole) {
  drawn_streams drawn(GetParam());
  drawn.play();
  auto& w = drawn.world();
  std::size_t whole = 0;
  std::size_t truncated = 0;
  for (const auto& call : w.calls()) {
    if (call->adapter.empty()) continue;
    expect_stream_kept(w, *call, kEvents);
    if (call->complete && call->status == kOk) ++whole;
    if (call->aborted && call->status == kOk) ++truncated;
  }
  EXPECT_GT(whole, 0U);
  EXPECT_GT(truncated, 0U);
  EXPECT_TRUE(w.violations().empty()) << all(w.violations());
  expect_runs_kept(w);
}

INSTANTIATE_TEST_SUITE_P(seeds, stream_end_soak,
                         testing::Range<std::uint64_t>(1, 1 + soak_seeds()));

}  // namespace
}  // namespace seamglade
