// seamglade - a relay before a target that sends its answers again
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_REPEATING_RELAY_H_
#define SEAMGLADE_STANDIN_REPEATING_RELAY_H_

#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "loopback_listener.h"
#include "platform_world.h"

namespace seamglade::standin {

/**
 * Passes bytes on between callers and a target. Of the answers that pass, it
 * sends a part once more on the same connection, before a later answer. Answers
 * without a length or chunks are not for it: they end with their connection.
 */
class repeating_relay {
 public:
  /** `part`: of the answers that come again, 0 to 1; `seed`: of the draws. */
  repeating_relay(event_base* base, double part, unsigned seed)
      : base_(base),
        part_(part),
        random_(seed),
        listener_(base, [this](evutil_socket_t fd) { accept(fd); }) {}

  std::string address() const { return listener_.address(); }
  /** Connections that are opened from now on go to `target`. */
  void connect_to(endpoint target) { target_ = std::move(target); }

 private:
  /** A copy comes before one of the next answers, this many at most. */
  static constexpr int kMostLate = 3;

  struct pending_copy {
    std::string bytes;
    int answers_left;
  };
  struct link {
    repeating_relay* relay = nullptr;
    std::uint64_t number = 0;
    bufferevent_handle caller;
    bufferevent_handle target;
    /** Follows the answer under way; none: the next has not begun. */
    std::unique_ptr<answer_reader> reader;
    std::string answer;
    std::vector<pending_copy> copies;
  };

  void accept(evutil_socket_t fd) {
    auto made = std::make_unique<link>();
    auto* l = made.get();
    l->relay = this;
    l->number = ++last_link_;
    constexpr int kOptions = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
    l->caller.reset(bufferevent_socket_new(base_, fd, kOptions));
    l->target.reset(bufferevent_socket_new(base_, -1, kOptions));
    pass_on(*l);
    connect_target(*l);
    links_.emplace(l->number, std::move(made));
  }

  /** Has the bytes of each side go to the other until one side ends. */
  static void pass_on(link& l) {
    const auto ended = [](bufferevent*, short what, void* arg) {
      if ((what & BEV_EVENT_CONNECTED) != 0) return;
      auto* self = static_cast<link*>(arg);
      self->relay->links_.erase(self->number);
    };
    const auto from_caller = [](bufferevent* from, void* arg) {
      auto* self = static_cast<link*>(arg);
      bufferevent_write_buffer(self->target.get(), bufferevent_get_input(from));
    };
    const auto from_target = [](bufferevent*, void* arg) {
      auto* self = static_cast<link*>(arg);
      self->relay->pass_answers(*self);
    };
    bufferevent_setcb(l.caller.get(), from_caller, nullptr, ended, &l);
    bufferevent_setcb(l.target.get(), from_target, nullptr, ended, &l);
    bufferevent_enable(l.caller.get(), EV_READ | EV_WRITE);
    bufferevent_enable(l.target.get(), EV_READ | EV_WRITE);
  }

  void connect_target(link& l) {
    auto address = to_socket_address(target_);
    bufferevent_socket_connect(
        l.target.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }

  void pass_answers(link& l) {
    auto* in = bufferevent_get_input(l.target.get());
    while (evbuffer_get_length(in) > 0) {
      if (!l.reader) begin_answer(l);
      const auto size = evbuffer_get_length(in);
      const std::string bytes(
          reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), size);
      const auto progress = l.reader->read(in);
      const auto taken = size - evbuffer_get_length(in);
      bufferevent_write(l.caller.get(), bytes.data(), taken);
      l.answer.append(bytes, 0, taken);
      if (progress != parse_progress::complete) return;
      end_answer(l);
    }
  }

  void begin_answer(link& l) {
    l.reader = std::make_unique<answer_reader>(false);
    for (auto& copy : l.copies) {
      if (--copy.answers_left > 0) continue;
      bufferevent_write(l.caller.get(), copy.bytes.data(), copy.bytes.size());
      std::cout << "repeated " << address() << std::endl;
    }
    std::erase_if(l.copies,
                  [](const auto& copy) { return copy.answers_left <= 0; });
  }

  void end_answer(link& l) {
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<int> late(1, kMostLate);
    if (chance(random_) < part_) l.copies.push_back({l.answer, late(random_)});
    l.answer.clear();
    l.reader.reset();
  }

  event_base* base_;
  double part_;
  std::mt19937 random_;
  endpoint target_;
  loopback_listener listener_;
  std::uint64_t last_link_ = 0;
  std::map<std::uint64_t, std::unique_ptr<link>> links_;
};

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_REPEATING_RELAY_H_
