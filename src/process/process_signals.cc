// seamglade - what an instance does with each signal
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/process_signals.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace seamglade::detail {
namespace {

/** From the handler to the loop; both ends do not block. */
std::array<int, 2> caught_pipe{-1, -1};

bool is_caught(const signal_rule& rule) {
  return rule.use == signal_use::stop || rule.use == signal_use::reload ||
         rule.use == signal_use::told;
}

void on_caught(int number) {
  const int before = errno;
  const auto byte = static_cast<unsigned char>(number);
  // A full pipe holds a stop already, or what came thousands of times.
  static_cast<void>(::write(caught_pipe[1], &byte, 1) == 1);
  errno = before;
}

void open_pipe() {
  if (caught_pipe[0] >= 0) return;
  if (pipe2(caught_pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "signal pipe");
  }
}

}  // namespace

const signal_rule* find_signal_rule(int number) {
  const auto* found =
      std::find_if(kSignalRules.begin(), kSignalRules.end(),
                   [&](const auto& rule) { return rule.number == number; });
  return found == kSignalRules.end() ? nullptr : found;
}

void take_signals() {
  open_pipe();
  sigset_t unblocked;
  sigemptyset(&unblocked);
  for (const auto& rule : kSignalRules) {
    sigaddset(&unblocked, rule.number);
    if (rule.use == signal_use::ends) continue;
    struct sigaction how {};
    how.sa_handler = is_caught(rule) ? on_caught : SIG_IGN;
    how.sa_flags = SA_RESTART;
    sigemptyset(&how.sa_mask);
    sigaction(rule.number, &how, nullptr);
  }
  sigprocmask(SIG_UNBLOCK, &unblocked, nullptr);
}

signal_reader::signal_reader(event_base* base,
                             std::function<void(const signal_rule&)> on_signal)
    : on_signal_(std::move(on_signal)) {
  const auto readable = [](evutil_socket_t, short, void* self) {
    static_cast<signal_reader*>(self)->read_one();
  };
  readable_.reset(
      event_new(base, caught_pipe[0], EV_READ | EV_PERSIST, readable, this));
  event_add(readable_.get(), nullptr);
}

void signal_reader::read_one() {
  unsigned char byte = 0;
  if (::read(caught_pipe[0], &byte, 1) != 1) return;
  const auto* rule = find_signal_rule(byte);
  if (rule != nullptr) on_signal_(*rule);
}

}  // namespace seamglade::detail
