// seamglade - the direct path's world: requests handed on between instances
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

/** A connection to an instance that does not come up is given up after this. */
constexpr duration kConnectGivenUp = 250ms;

}  // namespace

std::optional<caller_id> relayed_caller(const any_action& any) {
  if (const auto* a = std::get_if<action::reply_head>(&any)) return a->caller;
  if (const auto* a = std::get_if<action::reply_data>(&any)) return a->caller;
  if (const auto* a = std::get_if<action::reply_end>(&any)) return a->caller;
  if (const auto* a = std::get_if<action::reply_abort>(&any)) return a->caller;
  return std::nullopt;
}

void gateway_world::serve_relay(instance& from, const action::call_peer& call) {
  ++relays_;
  const auto who = from.address;
  const auto life = from.life;
  const auto& helper = *instances_.at(call.to);
  const bool is_up = helper.core && reachable(who, call.to);
  later(is_up ? kLinkDelay : kConnectGivenUp, [this, who, life, call] {
    auto& i = *instances_.at(who);
    if (i.life != life || i.cancelled.contains(call.call)) return;
    auto& to = *instances_.at(call.to);
    if (!to.core || !reachable(who, call.to)) {
      post(i, event::answer_end{call.call, call_end::not_sent});
      return;
    }
    const auto caller = next_caller_++;
    open_relays_[caller] = {who, life, call.call, call.to};
    event::request request{
        caller, {}, relayed_request{who, call.runs, false, call.origin}};
    request.message.method = call.method;
    request.message.target = call.target;
    request.message.host = call.host;
    request.message.headers = call.headers;
    request.message.body = call.body;
    request.message.caller_address = who;
    post(to, std::move(request));
  });
}

void gateway_world::answer_relay(caller_id caller, const any_action& part) {
  const auto relay = open_relays_.at(caller);
  const auto give = [&](any_event event) {
    auto held = std::make_shared<any_event>(std::move(event));
    later(kLinkDelay, [this, relay, held] {
      auto& i = *instances_.at(relay.origin);
      if (i.life != relay.life || i.cancelled.contains(relay.call)) return;
      post(i, *held);
    });
  };
  if (const auto* head = std::get_if<action::reply_head>(&part)) {
    event::answer_head answer{relay.call, head->status, head->reason,
                              head->headers};
    if (!head->length) answer.framing = body_framing::chunked;
    answer.is_no_help = head->is_no_help;
    answer.origin = head->origin;
    give(std::move(answer));
    return;
  }
  if (const auto* data = std::get_if<action::reply_data>(&part)) {
    give(event::answer_data{relay.call, data->data});
    return;
  }
  open_relays_.erase(caller);
  const bool is_whole = std::holds_alternative<action::reply_end>(part);
  give(event::answer_end{relay.call,
                         is_whole ? call_end::complete : call_end::closed});
}

void gateway_world::cancel_relay(const instance& from, call_id call) {
  for (const auto& [caller, relay] : open_relays_) {
    if (relay.origin != from.address || relay.call != call) continue;
    if (relay.life != from.life) continue;
    later(kLinkDelay, [this, caller = caller, helper = relay.helper] {
      if (open_relays_.erase(caller) == 0) return;
      post(*instances_.at(helper), event::caller_gone{caller});
    });
    return;
  }
}

void gateway_world::drop_relays(member_address who) {
  for (auto at = open_relays_.begin(); at != open_relays_.end();) {
    const auto relay = at->second;
    const auto caller = at->first;
    if (relay.origin != who && relay.helper != who) {
      ++at;
      continue;
    }
    at = open_relays_.erase(at);
    later(kLinkDelay, [this, who, relay, caller] {
      if (relay.origin == who) {
        post(*instances_.at(relay.helper), event::caller_gone{caller});
        return;
      }
      auto& i = *instances_.at(relay.origin);
      if (i.life != relay.life || i.cancelled.contains(relay.call)) return;
      post(i, event::answer_end{relay.call, call_end::reset});
    });
  }
}

}  // namespace seamglade::fakes
