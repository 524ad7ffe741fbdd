// seamglade - what an instance does with each signal
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_PROCESS_SIGNALS_H_
#define SEAMGLADE_SRC_PROCESS_PROCESS_SIGNALS_H_

#include <array>
#include <csignal>
#include <cstdint>
#include <functional>
#include <string_view>

#include "connection/event_handles.h"

namespace seamglade::detail {

/** What follows a signal. */
enum class signal_use : std::uint8_t {
  stop,     // the instance finishes its requests and ends
  reload,   // it reads its settings again
  told,     // a line in the log, and nothing else
  ignored,  // nothing: what raised it fails with an error, which is seen
  ends      // it ends, with a last line that names the signal
};

struct signal_rule {
  int number = 0;
  std::string_view name;
  signal_use use = signal_use::ignored;
};

/**
 * The signals whose default action ends a process. Not among them: SIGKILL;
 * SIGTRAP and SIGSYS, which belong to tracers and filters; real-time signals,
 * which nobody sends by themselves.
 */
inline constexpr std::array<signal_rule, 20> kSignalRules{{
    {SIGTERM, "SIGTERM", signal_use::stop},
    {SIGINT, "SIGINT", signal_use::stop},
    {SIGQUIT, "SIGQUIT", signal_use::stop},
    {SIGHUP, "SIGHUP", signal_use::reload},
    {SIGUSR1, "SIGUSR1", signal_use::told},
    {SIGUSR2, "SIGUSR2", signal_use::told},
    {SIGALRM, "SIGALRM", signal_use::told},
    {SIGVTALRM, "SIGVTALRM", signal_use::told},
    {SIGPROF, "SIGPROF", signal_use::told},
    {SIGIO, "SIGIO", signal_use::told},
    {SIGPWR, "SIGPWR", signal_use::told},
    {SIGSTKFLT, "SIGSTKFLT", signal_use::told},
    {SIGXCPU, "SIGXCPU", signal_use::told},
    {SIGXFSZ, "SIGXFSZ", signal_use::ignored},
    {SIGPIPE, "SIGPIPE", signal_use::ignored},
    {SIGSEGV, "SIGSEGV", signal_use::ends},
    {SIGBUS, "SIGBUS", signal_use::ends},
    {SIGFPE, "SIGFPE", signal_use::ends},
    {SIGILL, "SIGILL", signal_use::ends},
    {SIGABRT, "SIGABRT", signal_use::ends},
}};

/** Returns the rule of a signal; null: it has none. */
const signal_rule* find_signal_rule(int number);

/**
 * Takes over the signals of the table, but those that end the process, for as
 * long as it lives: they are no longer blocked or ignored, whatever the process
 * inherited, and wait in a pipe until a loop reads them. So none is lost
 * between two loops. Throws std::system_error if there is no descriptor.
 */
void take_signals();

/** Reads signals that take_signals() caught, one for each turn of a loop. */
class signal_reader {
 public:
  /** `on_signal`: for a signal that is a stop, a reload or to be told. */
  signal_reader(event_base* base,
                std::function<void(const signal_rule&)> on_signal);
  signal_reader(const signal_reader&) = delete;
  signal_reader& operator=(const signal_reader&) = delete;

 private:
  void read_one();

  std::function<void(const signal_rule&)> on_signal_;
  event_handle readable_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_PROCESS_SIGNALS_H_
