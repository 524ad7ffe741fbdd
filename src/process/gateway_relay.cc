// seamglade - the direct path: requests handed on between instances
//
// An instance that reaches none of the targets that may serve a request hands
// it on to one that does, over the peers' listener. The other instance serves
// it as its own, and hands it on to nobody. Its refusals promise that the
// request did not run there, as they do to callers.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/status_codes.h"

namespace seamglade::gateway {
namespace {

/** Requests of others that an instance has under way at most. */
constexpr std::ptrdiff_t kMostRelayed = 256;
/**
 * Instances that one request is handed on to at most: those that reach no
 * target say so themselves, and where all targets are down nobody can help.
 */
constexpr std::size_t kMostRelays = 3;
/** An instance that could not help is not asked for so long. */
constexpr duration kNoHelpFor = 1s;
/** In requests under way: what an instance in another failure domain ... */
constexpr double kRegionPenalty = 1;
/** ... and in another region is worse. */
constexpr double kOtherRegionPenalty = 16;

}  // namespace

bool gateway_view::is_any_in_reach(
    const std::vector<target_state*>& targets) const {
  return std::any_of(targets.begin(), targets.end(), [&](const auto* target) {
    return !is_out_of_reach(*target);
  });
}

member_address gateway_core::impl::relay_for(const exchange& x) {
  std::map<member_address, double> under_way;
  for (const auto& [caller, other] : exchanges_) {
    if (other.relay != 0) ++under_way[other.relay];
  }
  std::uniform_real_distribution<> tie(0, 0.5);
  member_address best = 0;
  double least = 0;
  for (const auto who : staying_) {
    if (who == options_.self || x.relays_tried.contains(who)) continue;
    const auto found = no_help_until_.find(who);
    if (found != no_help_until_.end() && now_ < found->second) continue;
    if (roster_.is_cut_off(who) || is_passed_over(who)) continue;
    const double cost =
        under_way[who] +
        by_distance(distance_to(who), kRegionPenalty, kOtherRegionPenalty) +
        tie(random_);
    if (best != 0 && cost >= least) continue;
    best = who;
    least = cost;
  }
  return best;
}

bool gateway_core::impl::relay(exchange& x) {
  if (x.relayed || time_left(x) <= kAnswerMargin) return false;
  if (x.relays_tried.size() >= kMostRelays) return false;
  const auto to = relay_for(x);
  if (to == 0) return false;
  release_place(x);
  begin_call(x);
  x.target.clear();
  x.target_life = 0;
  x.software.clear();
  x.relay = to;
  x.relays_tried.insert(to);
  ++counts_.relayed_out;
  log("relay", {{"request", x.facts.id},
                {"to", static_cast<std::int64_t>(to)},
                {"distance", std::string(to_string(distance_to(to)))},
                {"cut_off", static_cast<std::int64_t>(reach_.is_cut_off())},
                {"runs", x.runs - 1},
                {"waited_ms", to_ms(now_ - x.started)},
                {"left_ms", to_ms(time_left(x))}});
  do_act(relay_call_of(x));
  return true;
}

action::call_peer gateway_core::impl::relay_call_of(const exchange& x) {
  const auto last_event = x.head_sent ? x.events.last_id() : x.facts.last_event;
  action::call_peer call;
  call.call = x.call;
  call.to = x.relay;
  call.method = x.message.method;
  call.target = x.message.target;
  call.host = x.message.host;
  call.headers =
      platform_.relay_headers(x.message.headers, time_left(x), last_event);
  call.body = x.message.body;
  // This call is counted already.
  call.runs = x.runs - 1;
  call.origin = x.origin;
  return call;
}

bool gateway_core::impl::admit_relayed(exchange& x) {
  ++counts_.relayed_in;
  log("relayed", {{"request", x.facts.id},
                  {"from", static_cast<std::int64_t>(x.relayed->from)},
                  {"runs", x.relayed->runs}});
  const auto under_way = std::count_if(
      exchanges_.begin(), exchanges_.end(),
      [](const auto& pair) { return pair.second.relayed.has_value(); });
  if (under_way <= kMostRelayed) return true;
  refuse_relayed(x, "too_many_relayed");
  return false;
}

void gateway_core::impl::refuse_relayed(exchange& x, std::string_view reason) {
  // What it ran on before, the other instance knows itself.
  const bool has_run_here = x.runs > x.relayed->runs;
  if (x.head_sent || has_run_here) return give_up(x);
  x.relayed->is_no_help = true;
  refuse(x, kUnavailable, kComeBackSoon, reason);
}

void gateway_core::impl::relay_failed(exchange& x) {
  const bool not_run = x.answer.not_run;
  end_call(x, true, false);
  if (not_run) --x.runs;
  log("relay_failed", {{"request", x.facts.id},
                       {"from", static_cast<std::int64_t>(x.relay)},
                       {"status", x.status},
                       {"no_help", static_cast<std::int64_t>(x.is_no_help)}});
  if (x.is_no_help) {
    no_help_until_[x.relay] = now_ + kNoHelpFor;
    if (not_run) return place_again(x);
  }
  if (x.head_sent) return abort_answer(x);
  ++(not_run ? counts_.refused : counts_.failed);
  pass_on(x);
}

void gateway_core::impl::place_again(exchange& x) {
  x.now = exchange::phase::waiting;
  x.call = 0;
  x.relay = 0;
  place(x);
}

}  // namespace seamglade::gateway
