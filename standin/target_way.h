// seamglade - the way from one instance to its targets, which tests cut
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_TARGET_WAY_H_
#define SEAMGLADE_STANDIN_TARGET_WAY_H_

#include <map>
#include <memory>
#include <string>

#include "loopback_listener.h"
#include "platform_world.h"

namespace seamglade::standin {

/**
 * Passes bytes on between instances and one target, or the store. While it is
 * silent it accepts connections all the same, and nothing passes on any.
 */
class target_way {
 public:
  target_way(event_base* base, endpoint target)
      : base_(base),
        target_(std::move(target)),
        listener_(base, [this](evutil_socket_t fd) { accept(fd); }) {}

  std::string address() const { return listener_.address(); }

  void set_silent(bool is_silent) {
    is_silent_ = is_silent;
    for (auto& [number, l] : links_) set_passing(*l);
  }

  /** Nothing passes on connections open now, ever; new ones work. */
  void silence_open() {
    for (auto& [number, l] : links_) {
      l->is_silent = true;
      set_passing(*l);
    }
  }

 private:
  struct link {
    target_way* way = nullptr;
    std::uint64_t number = 0;
    bool is_silent = false;
    bufferevent_handle instance;
    bufferevent_handle target;
  };

  void accept(evutil_socket_t fd) {
    auto made = std::make_unique<link>();
    auto& l = *made;
    l.way = this;
    l.number = ++last_link_;
    constexpr int kOptions = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
    l.instance.reset(bufferevent_socket_new(base_, fd, kOptions));
    l.target.reset(bufferevent_socket_new(base_, -1, kOptions));
    watch(l);
    set_passing(l);
    auto address = to_socket_address(target_);
    bufferevent_socket_connect(
        l.target.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
    links_.emplace(l.number, std::move(made));
  }

  static void watch(link& l) {
    const auto ended = [](bufferevent*, short what, void* arg) {
      if ((what & BEV_EVENT_CONNECTED) != 0) return;
      auto* self = static_cast<link*>(arg);
      self->way->links_.erase(self->number);
    };
    const auto from_instance = [](bufferevent* from, void* arg) {
      auto* self = static_cast<link*>(arg);
      bufferevent_write_buffer(self->target.get(), bufferevent_get_input(from));
    };
    const auto from_target = [](bufferevent* from, void* arg) {
      auto* self = static_cast<link*>(arg);
      bufferevent_write_buffer(self->instance.get(),
                               bufferevent_get_input(from));
    };
    bufferevent_setcb(l.instance.get(), from_instance, nullptr, ended, &l);
    bufferevent_setcb(l.target.get(), from_target, nullptr, ended, &l);
  }

  void set_passing(link& l) const {
    for (auto* side : {l.instance.get(), l.target.get()}) {
      if (is_silent_ || l.is_silent) {
        bufferevent_disable(side, EV_READ | EV_WRITE);
      } else {
        bufferevent_enable(side, EV_READ | EV_WRITE);
      }
    }
  }

  event_base* base_;
  endpoint target_;
  loopback_listener listener_;
  bool is_silent_ = false;
  std::uint64_t last_link_ = 0;
  std::map<std::uint64_t, std::unique_ptr<link>> links_;
};

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_TARGET_WAY_H_
