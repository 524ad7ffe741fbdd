// seamglade - the last line of a process that ends otherwise than by a stop
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/last_words.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>

#include "process/process_signals.h"

namespace seamglade::detail {
namespace {

constexpr std::size_t kLineBytes = 1024;
/** Of a text within the line. */
constexpr std::size_t kTextBytes = 256;
constexpr std::size_t kNameBytes = 64;
/** A stack that ran over can't run the handler of its signal. */
constexpr std::size_t kHandlerStackBytes = 64UL * 1024UL;

/** What was done on each signal before, and is done after the line. */
std::array<struct sigaction, kSignalRules.size()> before;
int log_fd = STDOUT_FILENO;
std::array<char, kNameBytes> instance_name{};
std::size_t instance_length = 0;
volatile std::sig_atomic_t has_spoken = 0;
alignas(std::max_align_t) std::array<char, kHandlerStackBytes> handler_stack;

/** A JSON line in bounded memory; safe within handlers of signals. */
class json_line {
 public:
  json_line() {
    add_raw("{\"ms\":");
    add_clock(CLOCK_REALTIME);
    add_raw(",\"up_ms\":");
    add_clock(CLOCK_BOOTTIME);
    add("instance", {instance_name.data(), instance_length});
    add("event", "ended");
  }

  void add(std::string_view key, std::string_view text) {
    add_raw(",\"");
    add_raw(key);
    add_raw("\":\"");
    for (const char c : text.substr(0, kTextBytes)) {
      const bool is_plain = c >= 0x20 && c < 0x7f;
      if (c == '"' || c == '\\') put('\\');
      put(is_plain ? c : '?');
    }
    put('"');
  }

  void add(std::string_view key, std::int64_t number) {
    add_raw(",\"");
    add_raw(key);
    add_raw("\":");
    add_number(number);
  }

  void write() {
    size_ = std::min(size_, kLineBytes - 2);
    add_raw("}\n");
    const auto size = static_cast<ssize_t>(size_);
    if (::write(log_fd, bytes_.data(), size_) == size) return;
    static_cast<void>(::write(STDERR_FILENO, bytes_.data(), size_) == size);
  }

 private:
  void put(char c) {
    if (size_ < kLineBytes) bytes_.at(size_++) = c;
  }
  void add_raw(std::string_view text) {
    for (const char c : text) put(c);
  }
  void add_number(std::int64_t number) {
    std::array<char, 24> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number);
    add_raw({digits.data(), static_cast<std::size_t>(end.ptr - digits.data())});
  }
  void add_clock(clockid_t clock) {
    timespec now{};
    clock_gettime(clock, &now);
    add_number(std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1000000);
  }

  std::array<char, kLineBytes> bytes_{};
  std::size_t size_ = 0;
};

void on_signal(int number, siginfo_t* info, void*) {
  for (std::size_t i = 0; i < kSignalRules.size(); ++i) {
    if (kSignalRules.at(i).number != number) continue;
    if (has_spoken == 0) {
      has_spoken = 1;
      json_line line;
      line.add("reason", "signal");
      line.add("signal", kSignalRules.at(i).name);
      line.write();
    }
    sigaction(number, &before.at(i), nullptr);
    // A fault comes again by itself when its instruction is run again.
    if (info->si_code <= 0) raise(number);
  }
}

void add_exception(json_line& line) {
  const auto thrown = std::current_exception();
  line.add("reason", thrown ? "exception" : "terminate");
  if (!thrown) return;
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& e) {
    line.add("detail", e.what());
  } catch (...) {
    line.add("detail", "not a std::exception");
  }
}

[[noreturn]] void on_terminate() {
  if (has_spoken == 0) {
    has_spoken = 1;
    json_line line;
    add_exception(line);
    line.write();
  }
  std::abort();
}

/** Leaves a stack alone that another library has set. */
void set_handler_stack() {
  stack_t now{};
  if (sigaltstack(nullptr, &now) != 0 || (now.ss_flags & SS_DISABLE) == 0) {
    return;
  }
  stack_t own{};
  own.ss_sp = handler_stack.data();
  own.ss_size = handler_stack.size();
  sigaltstack(&own, nullptr);
}

}  // namespace

void install_last_words(int fd) {
  log_fd = fd;
  set_handler_stack();
  std::set_terminate(on_terminate);
  struct sigaction ours {};
  ours.sa_sigaction = on_signal;
  ours.sa_flags = SA_SIGINFO | SA_ONSTACK;
  sigemptyset(&ours.sa_mask);
  for (std::size_t i = 0; i < kSignalRules.size(); ++i) {
    const auto& rule = kSignalRules.at(i);
    if (rule.use != signal_use::ends) continue;
    sigaction(rule.number, &ours, &before.at(i));
  }
}

void name_in_last_words(std::string_view instance) {
  instance_length = std::min(instance.size(), kNameBytes);
  std::copy_n(instance.begin(), instance_length, instance_name.begin());
}

void write_failed_start(const failure& why) {
  json_line line;
  line.add("reason", "failed_start");
  line.add("type", to_string(why.code));
  line.add("detail", why.detail);
  line.add("line", why.line);
  line.write();
}

}  // namespace seamglade::detail
