// seamglade - the log of the direct path: JSON lines that never block the loop
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/event_log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace seamglade::detail {
namespace {

/** Lines of one kind in a second; the rest is counted. */
constexpr std::uint32_t kLinesPerSecond = 100;
constexpr std::uint32_t kImportantPerSecond = 400;
constexpr std::size_t kBufferBytes = 64UL * 1024UL;
constexpr std::string_view kLeftOut = "lines_left_out";
constexpr std::string_view kLost = "lines_lost";

}  // namespace

void append_json_text(std::string& to, std::string_view text) {
  to += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      to += '\\';
      to += c;
    } else if (static_cast<unsigned char>(c) < 0x20 ||
               static_cast<unsigned char>(c) >= 0x7f) {
      to += fmt::format("\\u{:04x}", static_cast<unsigned char>(c));
    } else {
      to += c;
    }
  }
  to += '"';
}

event_log::event_log(event_base* base, int fd, instance_id instance)
    : fd_(fd), instance_(std::move(instance)) {
  // Only a pipe can stall; its flags are this process's own.
  const int flags = fcntl(fd_, F_GETFL);
  if (flags >= 0) fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  const auto ready = [](evutil_socket_t, short, void* self) {
    static_cast<event_log*>(self)->flush();
  };
  writable_.reset(event_new(base, fd_, EV_WRITE, ready, this));
}

event_log::~event_log() { flush(); }

bool event_log::admit(time_point now, const gateway::action::log_line& line) {
  auto& kind = budgets_[line.event];
  const auto second = now.time_since_epoch() / 1s;
  if (kind.second != second) {
    const auto left_out = std::exchange(kind.left_out, 0);
    kind.second = second;
    kind.written = 0;
    if (left_out > 0) {
      append(now, kLeftOut,
             {{"kind", std::string(line.event)},
              {"lines", static_cast<std::int64_t>(left_out)}});
    }
  }
  const auto most = line.important ? kImportantPerSecond : kLinesPerSecond;
  if (kind.written >= most || buffer_.size() >= kBufferBytes) {
    ++kind.left_out;
    ++dropped_;
    return false;
  }
  ++kind.written;
  return true;
}

void event_log::write(time_point now, const gateway::action::log_line& line) {
  if (lost_ > 0 && buffer_.empty()) {
    if (is_torn_) buffer_ += '\n';
    append(now, kLost,
           {{"lines", lost_}, {"error", std::string(strerror(lost_error_))}});
    unsaid_ = buffer_.size();
  }
  if (admit(now, line)) append(now, line.event, line.fields);
  flush();
}

void event_log::append(time_point now, std::string_view event,
                       const std::vector<gateway::log_field>& fields) {
  buffer_ +=
      fmt::format("{{\"ms\":{},\"up_ms\":{},\"instance\":", unix_now_ms(),
                  now.time_since_epoch() / 1ms);
  append_json_text(buffer_, instance_);
  buffer_ += ",\"event\":";
  append_json_text(buffer_, event);
  for (const auto& field : fields) {
    const auto* text = std::get_if<std::string>(&field.value);
    if (text != nullptr && text->empty()) continue;
    buffer_ += ",";
    append_json_text(buffer_, field.name);
    buffer_ += ":";
    if (text != nullptr) {
      append_json_text(buffer_, *text);
    } else {
      buffer_ += fmt::to_string(std::get<std::int64_t>(field.value));
    }
  }
  buffer_ += "}\n";
}

void event_log::flush() {
  while (!buffer_.empty()) {
    const auto written = ::write(fd_, buffer_.data(), buffer_.size());
    if (written < 0 && errno != EAGAIN && errno != EINTR) {
      return lose_buffer(errno);
    }
    if (written <= 0) {
      event_add(writable_.get(), nullptr);
      return;
    }
    is_torn_ = buffer_[static_cast<std::size_t>(written) - 1] != '\n';
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
  if (std::exchange(unsaid_, 0) > 0) lost_ = 0;
}

void event_log::lose_buffer(int error) {
  // The word of what was lost before is no line that is lost.
  const auto first = buffer_.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(unsaid_, buffer_.size()));
  const auto lines = std::count(first, buffer_.end(), '\n');
  unsaid_ = 0;
  dropped_ += static_cast<std::uint64_t>(lines);
  lost_ += lines;
  lost_error_ = error;
  buffer_.clear();
}

}  // namespace seamglade::detail
