// seamglade - a target that sends answers again, for tests of HTTP over sockets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_REPEATING_TARGET_H_
#define SEAMGLADE_TEST_REPEATING_TARGET_H_

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "connection/event_handles.h"
#include "connection/http_parser.h"
#include "loopback_listener.h"

namespace seamglade::detail {

/** Header that carries the name of a call; calls and answers may lack it. */
inline constexpr const char* kNameHeader = "X-Request-Id";
/** Header that tells calls apart for the test alone, where Host does not. */
inline constexpr const char* kSerialHeader = "X-Serial";

inline std::string header_value(const std::vector<http_header>& headers,
                                std::string_view name) {
  for (const auto& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

/**
 * Answers each request with its name and serial, and then sends the answer
 * again on the same connection where its rule says so.
 */
class repeating_target {
 public:
  /** When a copy of an answer is sent. */
  enum class moment : std::uint8_t {
    /** At once, in one write with the answer. */
    behind_answer,
    /** After some time, whatever the connection does then. */
    later,
    /** When a further request has been read, before its answer. */
    before_answer,
    /** When the test says so. */
    on_demand
  };
  struct copy {
    moment when = moment::before_answer;
    /** Of `before_answer`: with which of the requests that follow. */
    int request = 1;
    duration wait = 2ms;
  };
  struct reply {
    int status = 200;
    std::vector<copy> copies = {};
    /** What the answer bears as its call's name; none: that name, if any. */
    std::optional<std::string> name = {};
  };
  using rule = std::function<reply(const gateway::caller_message&)>;

  repeating_target(event_base* base, rule how)
      : base_(base),
        how_(std::move(how)),
        listener_(base, [this](evutil_socket_t fd) { accept(fd); }) {}

  std::string address() const { return listener_.address(); }
  /** Sends the copies that are due on demand, without the loop. */
  void send_on_demand() {
    for (auto& [number, l] : links_) {
      for (const auto& bytes : std::exchange(l->on_demand, {})) {
        EXPECT_EQ(send(bufferevent_getfd(l->io.get()), bytes.data(),
                       bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
        ++copies_;
      }
    }
  }
  /** Closes all connections, without the loop. */
  void close_all() {
    for (auto& [number, l] : links_) {
      shutdown(bufferevent_getfd(l->io.get()), SHUT_RDWR);
    }
  }
  /** Connections accepted so far. */
  std::uint64_t connections() const { return last_link_; }
  /** Copies sent so far. */
  std::size_t copies() const { return copies_; }

 private:
  struct pending_copy {
    std::string bytes;
    int requests_left;
  };
  struct link {
    repeating_target* target = nullptr;
    std::uint64_t number = 0;
    bufferevent_handle io;
    std::unique_ptr<request_reader> reader;
    std::vector<pending_copy> pending;
    std::vector<std::string> on_demand;
  };

  static std::unique_ptr<request_reader> new_reader() {
    constexpr std::uint32_t kMostHead = 8192;
    constexpr std::uint64_t kMostBody = 8192;
    return std::make_unique<request_reader>(kMostHead, kMostBody);
  }

  void accept(evutil_socket_t fd) {
    auto made = std::make_unique<link>();
    made->target = this;
    made->number = ++last_link_;
    made->reader = new_reader();
    made->io.reset(bufferevent_socket_new(
        base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    set_no_delay(fd);
    bufferevent_setcb(
        made->io.get(),
        [](bufferevent*, void* arg) {
          auto* self = static_cast<link*>(arg);
          self->target->read(*self);
        },
        nullptr,
        [](bufferevent*, short, void* arg) {
          auto* self = static_cast<link*>(arg);
          self->target->links_.erase(self->number);
        },
        made.get());
    bufferevent_enable(made->io.get(), EV_READ | EV_WRITE);
    links_.emplace(made->number, std::move(made));
  }

  void read(link& l) {
    auto* in = bufferevent_get_input(l.io.get());
    if (l.reader->read(in) != parse_progress::complete) return;
    const auto message = l.reader->take();
    l.reader = new_reader();
    answer(l, message);
  }

  void answer(link& l, const gateway::caller_message& message) {
    const auto how = how_(message);
    const auto bytes = text_of(message, how);
    std::string out = take_due(l) + bytes;
    for (const auto& each : how.copies) {
      switch (each.when) {
        case moment::behind_answer:
          out += bytes;
          ++copies_;
          break;
        case moment::later:
          send_later(l.number, bytes, each.wait);
          break;
        case moment::before_answer:
          l.pending.push_back({bytes, each.request});
          break;
        case moment::on_demand:
          l.on_demand.push_back(bytes);
          break;
      }
    }
    bufferevent_write(l.io.get(), out.data(), out.size());
  }

  /** Returns the copies that are due before the answer to a request. */
  std::string take_due(link& l) {
    std::string out;
    for (auto& next : l.pending) {
      if (--next.requests_left > 0) continue;
      out += next.bytes;
      ++copies_;
    }
    std::erase_if(l.pending,
                  [](const auto& c) { return c.requests_left <= 0; });
    return out;
  }

  void send_later(std::uint64_t number, std::string bytes, duration wait) {
    after(wait, [this, number, bytes = std::move(bytes)] {
      const auto found = links_.find(number);
      if (found == links_.end()) return;
      bufferevent_write(found->second->io.get(), bytes.data(), bytes.size());
      ++copies_;
    });
  }

  void after(duration wait, std::function<void()> task) {
    auto& timer = timers_.emplace_back();
    timer.task = std::move(task);
    const auto fired = [](evutil_socket_t, short, void* arg) {
      static_cast<delayed*>(arg)->task();
    };
    timer.timer.reset(event_new(base_, -1, 0, fired, &timer));
    const auto when = to_timeval(wait);
    event_add(timer.timer.get(), &when);
  }

  static std::string text_of(const gateway::caller_message& message,
                             const reply& how) {
    auto text = fmt::format("HTTP/1.1 {} -\r\n", how.status);
    const auto name =
        how.name.value_or(header_value(message.headers, kNameHeader));
    if (!name.empty()) text += fmt::format("{}: {}\r\n", kNameHeader, name);
    auto serial = header_value(message.headers, kSerialHeader);
    if (serial.empty()) serial = message.host;
    text += fmt::format("{}: {}\r\n", kSerialHeader, serial);
    const auto body = "body of " + serial;
    text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    return message.method == "HEAD" ? text : text + body;
  }

  struct delayed {
    std::function<void()> task;
    event_handle timer;
  };

  event_base* base_;
  rule how_;
  loopback_listener listener_;
  std::uint64_t last_link_ = 0;
  std::map<std::uint64_t, std::unique_ptr<link>> links_;
  std::list<delayed> timers_;
  std::size_t copies_ = 0;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_TEST_REPEATING_TARGET_H_
