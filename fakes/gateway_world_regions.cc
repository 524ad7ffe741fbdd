// seamglade - the direct path's world: regions, and what may run where
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

constexpr duration kFirstEvent = 50ms;

}  // namespace

std::string gateway_world::region_of(const std::string& domain) const {
  const auto found = options_.regions.find(domain);
  return found == options_.regions.end() ? domain : found->second;
}

proximity gateway_world::distance(const instance& from,
                                  const instance& to) const {
  if (from.domain == to.domain) return proximity::same_domain;
  const bool is_near = options_.regions.empty() ||
                       region_of(from.domain) == region_of(to.domain);
  return is_near ? proximity::same_region : proximity::other_region;
}

duration gateway_world::datagram_delay(proximity distance) const {
  if (options_.regions.empty() || distance == proximity::same_domain) {
    return datagram_delay_;
  }
  return datagram_delay_ +
         (distance == proximity::same_region ? kRegionDelay : kFarDelay);
}

void gateway_world::note_datagram(proximity distance,
                                  const peer_message& message,
                                  std::size_t bytes) {
  auto& sent = traffic_[distance];
  sent.bytes += bytes + kDatagramHead;
  if (std::holds_alternative<gateway::admission_request>(message)) {
    ++sent.place_questions;
  }
  if (!std::holds_alternative<gateway::heartbeat>(message)) return;
  ++sent.heartbeats;
  sent.heartbeat_bytes += bytes + kDatagramHead;
}

std::string gateway_world::regions_text(
    const std::vector<std::string>& regions) {
  if (regions.empty()) return {};
  std::string list;
  for (const auto& region : regions) {
    list += fmt::format("{}\"{}\"", list.empty() ? "" : ",", region);
  }
  return fmt::format(R"(,"regions_allowed":[{}])", list);
}

std::string gateway_world::service_regions(const std::string& service) const {
  const auto found = options_.service_regions.find(service);
  return found == options_.service_regions.end() ? std::string()
                                                 : regions_text(found->second);
}

void gateway_world::judge_region(const target& at, const gateway_call& call) {
  const auto region = region_of(at.domain);
  const auto is_allowed = [&](const std::vector<std::string>& regions) {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  };
  const auto found = options_.service_regions.find(at.service);
  bool may_run =
      found == options_.service_regions.end() || is_allowed(found->second);
  const auto holder = key_holders_.find(call.key);
  for (const auto& w : workspaces_) {
    const bool is_its =
        holder != key_holders_.end() && w.name == holder->second;
    if (is_its && !is_allowed(w.regions)) may_run = false;
  }
  if (!may_run) violation(call.id + " ran outside its regions, at " + at.id);
}

void gateway_world::cut_streams(const std::string& id, double share) {
  targets_.at(id)->cut_streams = share;
}

bool gateway_world::cuts_stream(const instance& from, const target& at,
                                const action::call_target& call) {
  const bool is_cut = at.cut_streams > 0 && std::uniform_real_distribution<>(
                                                0, 1)(random_) < at.cut_streams;
  if (!is_cut) return false;
  later(kFirstEvent, [this, who = from.address, life = from.life,
                      id = call.call, request = call.request_id] {
    auto& i = *instances_.at(who);
    if (i.life != life || i.cancelled.contains(id)) return;
    post(
        i,
        event::answer_head{
            id, 200, "", {{"X-Request-Id", request}, {"X-Server-Stamp", "s"}}});
    post(i, event::answer_data{id, std::make_shared<const std::string>(
                                       "id: 1\ndata: " + request + "\n\n")});
    post(i, event::answer_end{id, call_end::closed});
  });
  return true;
}

std::set<member_address> gateway_world::watchers() const {
  std::set<member_address> out;
  for (const auto& w : watchers_) {
    if (w.watch.scope == store_scope::everything) out.insert(w.who);
  }
  return out;
}

std::vector<std::string> gateway_world::holders_of(
    const std::string& adapter) const {
  std::vector<std::string> out;
  for (const auto& [id, t] : targets_) {
    const bool is_there =
        t->adapters.contains(adapter) || t->pending.contains(adapter);
    if (is_there) out.push_back(id);
  }
  return out;
}

}  // namespace seamglade::fakes
