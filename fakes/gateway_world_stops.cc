// seamglade - the direct path's world: planned stops of instances
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {

void gateway_world::stop(member_address who) {
  constexpr duration kGrace = 8s;
  begin_stop(who, make_stop_schedule(now_, kGrace));
}

void gateway_world::begin_stop(member_address who, const stop_schedule& times) {
  auto& i = *instances_.at(who);
  i.stopping = true;
  if (i.core) post(i, event::drain{times});
}

void gateway_world::stop_and_end(member_address who, duration grace) {
  const auto times = make_stop_schedule(now_, grace);
  begin_stop(who, times);
  at(times.end, [this, who, life = instances_.at(who)->life] {
    auto& i = *instances_.at(who);
    if (i.life != life) return;
    post(i, event::stop_over{});
    kill(who);
  });
}

bool gateway_world::is_running(member_address who) const {
  return instances_.at(who)->core != nullptr;
}

}  // namespace seamglade::fakes
