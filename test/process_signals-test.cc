// seamglade - each signal has a rule, and none is lost between two loops
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/process_signals.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "loop_patience.h"

namespace seamglade::detail {
namespace {

/** Signals that can't be changed, don't end a process, or are others' own. */
const std::set<int> kWithoutRule = {SIGKILL, SIGSTOP,  SIGCONT, SIGCHLD,
                                    SIGURG,  SIGWINCH, SIGTSTP, SIGTTIN,
                                    SIGTTOU, SIGTRAP,  SIGSYS};

TEST(process_signals, each_that_ends_a_process_by_default_has_a_rule) {
  for (int number = 1; number < SIGSYS + 1; ++number) {
    EXPECT_EQ(find_signal_rule(number) == nullptr,
              kWithoutRule.contains(number))
        << number;
  }
}

TEST(process_signals, are_heard_though_blocked_or_ignored_before) {
  sigset_t all;
  sigfillset(&all);
  sigprocmask(SIG_BLOCK, &all, nullptr);
  for (const auto& rule : kSignalRules) {
    if (rule.use != signal_use::ends) std::signal(rule.number, SIG_IGN);
  }
  take_signals();
  const base_handle base(event_base_new());
  std::vector<int> heard;
  const signal_reader reader(base.get(), [&](const signal_rule& rule) {
    heard.push_back(rule.number);
  });
  std::vector<int> raised;
  for (const auto& rule : kSignalRules) {
    if (rule.use == signal_use::ends) continue;
    raise(rule.number);
    if (rule.use != signal_use::ignored) raised.push_back(rule.number);
  }
  run_loop(base.get(), 50ms);
  EXPECT_EQ(heard, raised);
}

// Guards against a stop that comes between two loops and is lost.
TEST(process_signals, wait_for_the_next_loop) {
  take_signals();
  std::vector<int> heard;
  {
    const base_handle base(event_base_new());
    const signal_reader first(base.get(), [&](const signal_rule& rule) {
      heard.push_back(rule.number);
      event_base_loopbreak(base.get());
    });
    raise(SIGUSR1);
    raise(SIGTERM);
    run_loop(base.get(), 1s);
  }
  raise(SIGHUP);
  EXPECT_EQ(heard, std::vector<int>{SIGUSR1});
  const base_handle base(event_base_new());
  const signal_reader second(base.get(), [&](const signal_rule& rule) {
    heard.push_back(rule.number);
  });
  run_loop(base.get(), 50ms);
  EXPECT_EQ(heard, (std::vector<int>{SIGUSR1, SIGTERM, SIGHUP}));
}

}  // namespace
}  // namespace seamglade::detail
