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

}  // namespace

connect_prober::connect_prober(event_base* base) : base_(base) {}
connect_prober::~connect_prober() = default;

void connect_prober::probe(const std::string& address, handler done) {
  auto made = std::make_unique<attempt>();
  auto& a = *made;
  a.owner = this;
  a.number = next_number_++;
  a.done = std::move(done);
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
  const auto where = parse_endpoint(address);
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
