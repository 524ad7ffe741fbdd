// seamglade - the direct path: where a stream's answer ends, and what of it
// counts as whole
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "stream_checks.h"

namespace seamglade {
namespace {

using fakes::fake_stream;
using gateway::body_framing;

/** A fleet whose engines hold the adapter that streams ask for. */
class stream_end : public testing::Test {
 protected:
  explicit stream_end(std::size_t engines = 1) : world_(options(engines)) {
    world_.run_for(kSettled);
    for (const auto who : world_.instances()) world_.call_engine(who, "a1");
    world_.run_for(2s);
  }

  /** Has all engines send streams so. */
  void send_streams(const fake_stream& how) {
    for (const auto& id : world_.engines()) world_.send_streams(id, how);
  }

  gateway_call& call(bool resumable = false, const std::string& body = "body") {
    auto& out = world_.call_engine_with(world_.instances().front(), "a1",
                                        {body}, resumable);
    world_.run_for(1s);
    return out;
  }

  gateway_world world_;

 private:
  static gateway_world_options options(std::size_t engines) {
    gateway_world_options out;
    out.engines = engines;
    return out;
  }
};

std::string name_of(body_framing framing, fake_stream::ending ending,
                    std::size_t cut) {
  return fmt::format("{}, ending {}, cut behind {} bytes", to_string(framing),
                     static_cast<int>(ending), cut);
}

TEST_F(stream_end, a_stream_cut_within_an_event_never_ends_as_whole) {
  fake_stream how;
  how.events = 3;
  const auto size = gateway_world::stream_text("r99", how).size();
  for (const auto framing : {body_framing::length, body_framing::chunked,
                             body_framing::close_delimited}) {
    for (const auto ending :
         {fake_stream::ending::close, fake_stream::ending::reset}) {
      for (std::size_t cut = 0; cut < size; ++cut) {
        SCOPED_TRACE(name_of(framing, ending, cut));
        how.framing = framing;
        how.ends_by = ending;
        how.cut_at = cut;
        send_streams(how);
        const auto& got = call();
        EXPECT_TRUE(got.complete || got.aborted);
        expect_stream_kept(world_, got, how.events);
      }
    }
  }
  expect_rules_kept(world_);
}

TEST_F(stream_end, a_close_delimited_stream_without_any_event_is_not_whole) {
  fake_stream how;
  how.framing = body_framing::close_delimited;
  how.cut_at = 0;
  send_streams(how);
  const auto& got = call();
  EXPECT_TRUE(got.complete);
  EXPECT_EQ(got.status, 502);
  EXPECT_EQ(world_.runs_of(got.id), 1U);
}

TEST_F(stream_end, a_close_delimited_stream_of_comments_alone_is_not_whole) {
  fake_stream how;
  how.framing = body_framing::close_delimited;
  how.other_body = ": ping\n\n";
  send_streams(how);
  EXPECT_TRUE(call().aborted);
}

TEST_F(stream_end, a_silent_target_ends_no_stream_as_whole) {
  fake_stream how;
  how.ends_by = fake_stream::ending::silence;
  for (const auto framing : {body_framing::length, body_framing::chunked,
                             body_framing::close_delimited}) {
    how.framing = framing;
    how.cut_at = 30;
    send_streams(how);
    const auto& got = call();
    world_.run_for(9s);
    EXPECT_TRUE(got.aborted) << to_string(framing);
    expect_stream_kept(world_, got, how.events);
  }
}

const std::vector<std::vector<std::string>> kLineEnds{
    {"\n"},       {"\r\n"},      {"\r"}, {"\n", "\r\n", "\r"},
    {"\r", "\n"}, {"\r\n", "\n"}};

TEST_F(stream_end, a_whole_stream_is_passed_on_unchanged) {
  for (const auto framing : {body_framing::length, body_framing::chunked,
                             body_framing::close_delimited}) {
    for (const auto& ends : kLineEnds) {
      fake_stream how;
      how.framing = framing;
      how.events = 6;
      how.line_ends = ends;
      send_streams(how);
      const auto& got = call();
      EXPECT_TRUE(got.complete) << to_string(framing);
      EXPECT_EQ(got.body, gateway_world::stream_text(got.id, how));
    }
  }
  // Also that no whole event was held back.
  expect_rules_kept(world_);
}

TEST_F(stream_end, a_body_that_is_no_series_of_events_is_passed_on_unchanged) {
  for (const auto framing : {body_framing::length, body_framing::chunked,
                             body_framing::close_delimited}) {
    fake_stream how;
    how.framing = framing;
    how.media_type = "application/json";
    how.other_body = R"({"error":"none"})";
    send_streams(how);
    const auto& got = call();
    EXPECT_TRUE(got.complete) << to_string(framing);
    EXPECT_EQ(got.status, kOk);
    EXPECT_EQ(got.body, *how.other_body);
  }
}

/** Bytes that are not whole events, or no events at all. */
fake_stream large(std::string text, std::string media_type) {
  fake_stream how;
  how.other_body = std::move(text);
  how.media_type = std::move(media_type);
  how.most_piece = 1UL << 17U;
  return how;
}

TEST_F(stream_end, a_body_without_end_is_broken_off) {
  send_streams(large(std::string(9UL << 20U, 'x'), "application/json"));
  const auto& got = call();
  EXPECT_TRUE(got.complete);
  EXPECT_EQ(got.status, 502);
  EXPECT_TRUE(got.body.empty());
}

TEST_F(stream_end, a_first_event_without_end_is_broken_off) {
  send_streams(
      large("data: " + std::string(2UL << 20U, 'x'), "text/event-stream"));
  const auto& got = call();
  EXPECT_TRUE(got.complete);
  EXPECT_EQ(got.status, 502);
}

TEST_F(stream_end, a_later_event_without_end_is_no_end_of_the_stream) {
  const std::string first = "id: 1\ndata: a\n\n";
  send_streams(large(first + "data: " + std::string(2UL << 20U, 'x'),
                     "text/event-stream"));
  const auto& got = call();
  EXPECT_TRUE(got.aborted);
  EXPECT_EQ(got.body, first);
}

TEST_F(stream_end, many_bodies_without_end_take_bounded_memory) {
  send_streams(large(std::string(4UL << 20U, 'x'), "application/json"));
  const auto who = world_.instances().front();
  constexpr std::size_t kCalls = 20;
  constexpr std::size_t kHeldAtOnce = (32UL << 20U) / (4UL << 20U);
  std::vector<const gateway_call*> calls;
  for (std::size_t i = 0; i < kCalls; ++i) {
    calls.push_back(&world_.call_engine(who, "a1"));
  }
  world_.run_for(2s);
  const auto whole =
      std::count_if(calls.begin(), calls.end(),
                    [](const auto* c) { return c->status == kOk; });
  EXPECT_LE(static_cast<std::size_t>(whole), kHeldAtOnce + 1);
  EXPECT_GT(whole, 0);
}

class ending_engine : public stream_end {
 protected:
  /** Calls; the engine ends so much later, and is back when this returns. */
  gateway_call& call_until_end(const fake_stream& how, duration when) {
    send_streams(how);
    const auto id = world_.engines().front();
    world_.at(world_.now() + when, [this, id] { world_.crash_target(id, 1s); });
    // Else it would be refused as what ends targets.
    auto& out = call(false, fmt::format("body {}", ++calls_));
    world_.run_for(3s);
    world_.call_engine(world_.instances().front(), "a1");
    world_.run_for(3s);
    return out;
  }

 private:
  std::size_t calls_ = 0;
};

// The end of the connection alone does not tell a whole answer from a cut one.
TEST_F(ending_engine, a_stream_whose_target_ends_between_events_is_not_whole) {
  fake_stream how;
  how.events = 12;
  how.framing = body_framing::close_delimited;
  how.sends_whole_events = true;
  how.gap = 8ms;
  std::size_t cut = 0;
  for (auto when = 400ms; when < 520ms; when += 2ms) {
    SCOPED_TRACE(when / 1ms);
    const auto& got = call_until_end(how, when);
    EXPECT_TRUE(got.complete || got.aborted);
    expect_stream_kept(world_, got, how.events);
    if (got.status == kOk && got.aborted) ++cut;
  }
  EXPECT_GE(cut, 10U);
  expect_rules_kept(world_);
}

TEST_F(ending_engine, a_plain_body_whose_target_ends_is_not_whole) {
  fake_stream how;
  how.framing = body_framing::close_delimited;
  how.media_type = "application/json";
  how.other_body = "[" + std::string(400, ' ') + "]";
  how.gap = 4ms;
  std::size_t cut = 0;
  for (auto when = 400ms; when < 520ms; when += 2ms) {
    SCOPED_TRACE(when / 1ms);
    const auto& got = call_until_end(how, when);
    EXPECT_TRUE(got.complete);
    if (got.status == kOk) {
      EXPECT_EQ(got.body, *how.other_body);
    } else {
      ++cut;
    }
  }
  EXPECT_GE(cut, 10U);
}

TEST_F(stream_end, a_whole_stream_of_a_target_that_leaves_is_whole) {
  fake_stream how;
  how.events = 6;
  how.framing = body_framing::close_delimited;
  send_streams(how);
  const auto id = world_.engines().front();
  const auto& got = world_.call_engine(world_.instances().front(), "a1");
  world_.run_for(15ms);
  world_.drain_target(id);
  while (read_stream(got.body).ids.size() < how.events) world_.run_for(1ms);
  // The end of the connection is under way.
  world_.run_for(3ms);
  world_.crash_target(id);
  world_.run_for(1s);
  EXPECT_TRUE(got.complete);
  expect_stream_kept(world_, got, how.events);
}

class two_engines : public stream_end {
 protected:
  two_engines() : stream_end(2) {}

  /** Calls; the first run is truncated, and others are whole. */
  gateway_call& call_broken_once(const fake_stream& how) {
    send_streams(how);
    auto whole = how;
    whole.cut_at.reset();
    world_.at(world_.now() + 3ms, [this, whole] { send_streams(whole); });
    auto& out = call(true);
    // The other engine may have to load the adapter.
    world_.run_for(2s);
    return out;
  }
};

TEST_F(two_engines, a_resumable_stream_cut_within_an_event_goes_on_elsewhere) {
  fake_stream how;
  how.events = 5;
  how.framing = body_framing::close_delimited;
  const auto size = gateway_world::stream_text("r9", how).size();
  for (std::size_t cut = 1; cut + 1 < size; cut += 4) {
    how.cut_at = cut;
    const auto& got = call_broken_once(how);
    EXPECT_TRUE(got.complete) << cut;
    expect_stream_kept(world_, got, how.events);
    const bool was_seen = !world_.was_cut_unseen(got.id);
    EXPECT_EQ(world_.runs_of(got.id), was_seen ? 2U : 1U) << cut;
  }
  expect_rules_kept(world_);
}

TEST_F(two_engines, a_resumed_stream_takes_no_body_of_another_type) {
  fake_stream how;
  how.cut_at = 40;
  send_streams(how);
  fake_stream other;
  other.media_type = "application/json";
  other.other_body = "{}";
  world_.at(world_.now() + 3ms, [&] { send_streams(other); });
  const auto& got = call(true);
  world_.run_for(2s);
  EXPECT_TRUE(got.aborted);
  expect_stream_kept(world_, got, how.events);
}

}  // namespace
}  // namespace seamglade
