// seamglade - whether any process listens at an address
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/connect_probe.h"

#include <cerrno>

namespace seamglade::detail {
namespace {

/** Several round trips between regions; a lost packet may exceed it. */
constexpr duration kGivenUp = 300ms;
/** While there is no room, it is looked for this often. */
constexpr duration kRoomPause = 20ms;

}  // namespace

connect_prober::connect_prober(event_base* base,
                               std::shared_ptr<connection_budget> budget)
    : base_(base), budget_(std::move(budget)) {
  const auto look = [](evutil_socket_t, short, void* self) {
    static_cast<connect_prober*>(self)->begin_waiting();
  };
  room_timer_.reset(event_new(base_, -1, 0, look, this));
}
connect_prober::~connect_prober() = default;

void connect_prober::probe(const std::string& address, handler done) {
  waiting_.push_back({address, std::move(done)});
  begin_waiting();
}

void connect_prober::begin_waiting() {
  while (!waiting_.empty()) {
    if (budget_ && !budget_->make_room(connection_use::control)) {
      const auto wait = to_timeval(kRoomPause);
      event_add(room_timer_.get(), &wait);
      return;
    }
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    begin(std::move(next));
  }
}

void connect_prober::begin(waiting_probe probe) {
  auto made = std::make_unique<attempt>();
  auto& a = *made;
  a.owner = this;
  a.number = next_number_++;
  a.done = std::move(probe.done);
  // It is never idle, so never closed for another one.
  if (budget_) a.place.emplace(*budget_, connection_use::control, [] {});
  a.io.reset(bufferevent_socket_new(
      base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  const auto late = [](evutil_socket_t, short, void* arg) {
    auto* self = static_cast<attempt*>(arg);
    self->owner->finish(self->number, connect_outcome::silent);
  };
  a.timer.reset(event_new(base_, -1, 0, late, &a));
  const auto ended = [](bufferevent*, short what, void* arg) {
    const int error = EVUTIL_SOCKET_ERROR();
    auto* self = static_cast<attempt*>(arg);
    const bool is_up = (what & BEV_EVENT_CONNECTED) != 0;
    const auto outcome = is_up                   ? connect_outcome::connected
                         : error == ECONNREFUSED ? connect_outcome::refused
                                                 : connect_outcome::silent;
    self->owner->finish(self->number, outcome);
  };
  bufferevent_setcb(a.io.get(), nullptr, nullptr, ended, &a);
  const auto wait = to_timeval(kGivenUp);
  event_add(a.timer.get(), &wait);
  attempts_.emplace(a.number, std::move(made));
  const auto where = parse_endpoint(probe.address);
  if (!where) return;  // the timer ends it
  begin_connection(a.io.get(), where.value());
}

void connect_prober::finish(std::uint64_t number, connect_outcome outcome) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) return;
  const auto node = attempts_.extract(found);
  node.mapped()->done(outcome);
}

}  // namespace seamglade::detail
