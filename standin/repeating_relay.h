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
      : base_(base), part_(part), random_(seed) {
    auto where = to_socket_address({"127.0.0.1", 0});
    const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr*,
                             int, void* self) {
      static_cast<repeating_relay*>(self)->accept(fd);
    };
    listener_.reset(evconnlistener_new_bind(
        base, accepted, this, LEV_OPT_CLOSE_ON_FREE, 64,
        reinterpret_cast<sockaddr*>(&where), sizeof(where)));
  }

  std::string address() const {
    return bound_endpoint(evconnlistener_get_fd(listener_.get())).str();
  }
  /** Connections that are opened from now on lead there. */
  void lead_to(endpoint target) { target_ = std::move(target); }

 private:
  /** Of the answers that follow, a copy comes before one of so many. */
  static constexpr int kMostLate = 3;

  struct owed_answer {
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
    std::vector<owed_answer> owed;
  };

  void accept(evutil_socket_t fd) {
    auto made = std::make_unique<link>();
    auto* l = made.get();
    l->relay = this;
    l->number = ++last_link_;
    constexpr int kOptions = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
    l->caller.reset(bufferevent_socket_new(base_, fd, kOptions));
    l->target.reset(bufferevent_socket_new(base_, -1, kOptions));
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
    bufferevent_setcb(l->caller.get(), from_caller, nullptr, ended, l);
    bufferevent_setcb(l->target.get(), from_target, nullptr, ended, l);
    auto address = to_socket_address(target_);
    bufferevent_socket_connect(l->target.get(),
                               reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
    bufferevent_enable(l->caller.get(), EV_READ | EV_WRITE);
    bufferevent_enable(l->target.get(), EV_READ | EV_WRITE);
    links_.emplace(l->number, std::move(made));
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
    for (auto& owed : l.owed) {
      if (--owed.answers_left > 0) continue;
      bufferevent_write(l.caller.get(), owed.bytes.data(), owed.bytes.size());
      std::cout << "repeated " << address() << std::endl;
    }
    std::erase_if(l.owed, [](const auto& o) { return o.answers_left <= 0; });
  }

  void end_answer(link& l) {
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<int> late(1, kMostLate);
    if (chance(random_) < part_) l.owed.push_back({l.answer, late(random_)});
    l.answer.clear();
    l.reader.reset();
  }

  event_base* base_;
  double part_;
  std::mt19937 random_;
  endpoint target_;
  listener_handle listener_;
  std::uint64_t last_link_ = 0;
  std::map<std::uint64_t, std::unique_ptr<link>> links_;
};

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_REPEATING_RELAY_H_
