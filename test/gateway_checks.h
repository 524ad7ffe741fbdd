// seamglade - what the tests of the direct path's world share
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_GATEWAY_CHECKS_H_
#define SEAMGLADE_TEST_GATEWAY_CHECKS_H_

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "gateway_world.h"

namespace seamglade {

using fakes::gateway_call;
using fakes::gateway_world;
using fakes::gateway_world_options;

inline constexpr int kOk = 200;
inline constexpr int kUnavailable = 503;
/** From the start of a fleet until its targets have holders. */
inline constexpr duration kSettled = 6s;
/** The same where the fleet is too large for everyone to tell everyone. */
inline constexpr duration kLargeSettled = 9s;

inline std::string all(const std::vector<std::string>& lines) {
  std::string out;
  for (const auto& line : lines) out += line + "\n";
  return out;
}

/** What must hold at the end of any play. */
inline void expect_rules_kept(gateway_world& w) {
  EXPECT_TRUE(w.violations().empty()) << all(w.violations());
  for (const auto& call : w.calls()) {
    const auto runs = w.runs_of(call->id);
    if (!call->repeatable) {
      EXPECT_LE(runs, 1U) << call->id;
    }
    EXPECT_LE(runs, 2U) << call->id;
    const bool says_not_run = call->status == kUnavailable ||
                              call->status == 429 || call->status == 421 ||
                              call->status == 408;
    if (call->complete && says_not_run) {
      EXPECT_EQ(runs, 0U) << call->id << " was refused and has run";
    }
    if (call->complete && call->status == kOk) {
      EXPECT_NE(call->body.find(call->id), std::string::npos)
          << call->id << " got another's answer";
    }
  }
}

/** Sends a steady mix for a time; the entry is picked in turn. */
inline void send_load(gateway_world& w, duration time, duration gap,
                      int adapters) {
  const auto entries = w.instances();
  for (int i = 0; i * gap < time; ++i) {
    w.at(w.now() + i * gap, [&w, entries, i, adapters] {
      const auto entry = entries[static_cast<std::size_t>(i) % entries.size()];
      if (i % 5 == 3) {
        w.call_plain(entry, i % 2 == 0);
      } else {
        w.call_engine(entry, fmt::format("a{}", (i * 7) % adapters),
                      i % 3 == 0);
      }
    });
  }
}

/** Returns how much any instance refuses now since it ends targets. */
inline std::size_t quarantined(gateway_world& w) {
  std::size_t most = 0;
  for (const auto who : w.instances()) {
    most = std::max(most, w.status(who).quarantined);
  }
  return most;
}

struct tally {
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t other = 0;
  std::size_t open = 0;
};

inline tally count(gateway_world& w, time_point from = {}) {
  tally out;
  for (const auto& call : w.calls()) {
    if (call->sent < from) continue;
    if (call->complete && call->status == kOk) {
      ++out.served;
    } else if (call->complete && call->status == kUnavailable) {
      ++out.refused;
    } else if (call->complete || call->aborted) {
      ++out.other;
    } else {
      ++out.open;
    }
  }
  return out;
}

}  // namespace seamglade

#endif  // SEAMGLADE_TEST_GATEWAY_CHECKS_H_
