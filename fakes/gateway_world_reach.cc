// seamglade - the direct path's world: instances that lose their way to targets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

/** A connection to a target that does not come up is given up after this. */
constexpr duration kConnectGivenUp = 450ms;
/** What a partition holds up is sent again so far apart. */
constexpr duration kResent = 100ms;

}  // namespace

void gateway_world::cut_targets(member_address who, target_cut how) {
  auto& i = *instances_.at(who);
  i.targets_cut = how;
  const bool is_reset =
      how == target_cut::reset || how == target_cut::accept_and_reset;
  if (!is_reset) return;
  for (auto& [id, t] : targets_) reset_calls_of(*t, i);
}

void gateway_world::reset_calls_of(target& at, instance& of) {
  const auto is_its = [&](const auto& open) {
    return open.who == of.address && open.life == of.life;
  };
  std::vector<call_id> broken;
  for (const auto& open : at.open_calls) {
    if (is_its(open)) broken.push_back(open.call);
  }
  std::erase_if(at.open_calls, is_its);
  for (const auto call : broken) {
    if (!of.cancelled.insert(call).second) continue;
    post(of, event::answer_end{call, call_end::reset});
  }
}

bool gateway_world::is_call_stopped(instance& from,
                                    const action::call_target& call) {
  if (from.targets_cut == target_cut::none) return false;
  // Some calls find a kept connection, others open one.
  const bool is_new = random_() % 2 == 0;
  const auto fail = [&](duration after, call_end how = call_end::not_sent) {
    later(after,
          [this, who = from.address, life = from.life, id = call.call, how] {
            auto& i = *instances_.at(who);
            if (i.life != life || i.cancelled.contains(id)) return;
            post(i, event::answer_end{id, how});
          });
  };
  switch (from.targets_cut) {
    case target_cut::none:
      return false;
    case target_cut::hang:
      if (is_new) fail(kConnectGivenUp);
      return true;
    case target_cut::reset:
      fail(kLinkDelay);
      return true;
    case target_cut::refuse_new:
      if (is_new) fail(kLinkDelay);
      return is_new;
    case target_cut::accept_and_reset:
      fail(kLinkDelay, call_end::reset);
      return true;
    case target_cut::accept_and_hang:
      return true;
  }
  return false;
}

bool gateway_world::holds_up(const instance& to) {
  return to.targets_cut == target_cut::hang ||
         to.targets_cut == target_cut::accept_and_hang;
}

void gateway_world::deliver(member_address to, std::uint64_t life,
                            std::function<void()> bytes) {
  const auto& i = *instances_.at(to);
  const bool is_reset = i.targets_cut == target_cut::reset ||
                        i.targets_cut == target_cut::accept_and_reset;
  if (i.life != life || is_reset) return;
  if (!holds_up(i)) {
    bytes();
    return;
  }
  later(kResent, [this, to, life, bytes = std::move(bytes)]() mutable {
    deliver(to, life, std::move(bytes));
  });
}

void gateway_world::cut(member_address who, bool is_cut) {
  instances_.at(who)->cut = is_cut;
  instances_.at(who)->disturbed = now_;
}

bool gateway_world::reachable(member_address from, member_address to) {
  const auto& a = *instances_.at(from);
  const auto& b = *instances_.at(to);
  return !a.cut && !b.cut && a.side == b.side;
}

void gateway_world::split(const std::vector<member_address>& side) {
  for (auto& [address, i] : instances_) i->side = 0;
  for (const auto who : side) instances_.at(who)->side = 1;
}

}  // namespace seamglade::fakes
