// seamglade - the log of the direct path: JSON lines that never block the loop
//
// easylogging++ writes through a blocking stream; a reader that stalls would
// stall the requests. Lines go through a bounded buffer instead.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_EVENT_LOG_H_
#define SEAMGLADE_SRC_PROCESS_EVENT_LOG_H_

#include <map>
#include <string>

#include "connection/event_handles.h"
#include "seamglade/gateway.h"

namespace seamglade::detail {

/**
 * Writes lines to a descriptor; what cannot be written in time is counted. A
 * descriptor that fails (a full device, a file at its limit) loses what is
 * buffered, and is tried again with the next line.
 */
class event_log {
 public:
  event_log(event_base* base, int fd, instance_id instance);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  void write(time_point now, const gateway::action::log_line& line);
  /** Writes what is buffered as far as the descriptor takes it. */
  void flush();
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct budget {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint32_t left_out = 0;
  };

  /** Drops what is buffered, since the descriptor failed with an error. */
  void lose_buffer(int error);
  bool admit(time_point now, const gateway::action::log_line& line);
  void append(time_point now, std::string_view event,
              const std::vector<gateway::log_field>& fields);

  int fd_;
  instance_id instance_;
  event_handle writable_;
  std::string buffer_;
  std::map<std::string_view, budget> budgets_;
  std::uint64_t dropped_ = 0;
  /** Lines lost to a failing descriptor that no line has told of yet. */
  std::int64_t lost_ = 0;
  int lost_error_ = 0;
  /** Bytes at the front of the buffer that tell of them. */
  std::size_t unsaid_ = 0;
  /** The last byte that was written is not the end of a line. */
  bool is_torn_ = false;
};

/** Appends a text to JSON, quoted and escaped. */
void append_json_text(std::string& to, std::string_view text);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_EVENT_LOG_H_
