// seamglade - the direct path's world: what ran where, and whether it might
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {

void gateway_world::judge_evacuation(const instance& from, const target& at,
                                     std::string_view what) {
  const auto since = evacuated_.find(at.domain);
  if (since == evacuated_.end()) return;
  // One that is cut off cannot know.
  const bool is_cut_off = from.cut || from.side != 0;
  const auto late = now_ - since->second;
  if (is_cut_off || late <= options_.evacuation_bound) return;
  violation(fmt::format("{} reached {} of an evacuated domain after {} ms",
                        what, at.id, late / 1ms));
}

void gateway_world::judge_key(const action::call_target& call) {
  if (workspaces_.empty()) return;
  for (const auto& header : call.headers) {
    if (header.name == "Authorization") violation("a key reached a target");
  }
  const auto told = header_of(call.headers, "X-Tenant");
  const auto* made = calls_by_id_.at(call.request_id);
  if (made->key.empty()) {
    if (!told.empty()) violation("a workspace without a key: " + told);
    return;
  }
  const auto holder = key_holders_.find(made->key);
  if (holder == key_holders_.end()) {
    violation("ran with a key that there never was");
    return;
  }
  if (told != holder->second) violation("ran for another workspace: " + told);
  const auto taken = taken_keys_.find(made->key);
  if (taken != taken_keys_.end() &&
      made->sent > taken->second + options_.key_bound) {
    violation(fmt::format("ran with a key taken away {} ms before",
                          (made->sent - taken->second) / 1ms));
  }
  judge_quota(holder->second, *made);
}

void gateway_world::judge_quota(const std::string& workspace,
                                const gateway_call& call) {
  const auto& [rate, burst] = limits_.at(workspace);
  if (rate <= 0) return;
  spent_[workspace].push_back({now_, static_cast<double>(call.tokens)});
  const auto& bounds = options_.quota;
  const auto seconds = static_cast<double>(bounds.window.count()) / 1e6;
  const auto most =
      (rate * seconds + burst) * (1 + bounds.excess) + bounds.slack;
  const auto sum = spent(workspace, bounds.window);
  if (sum > most) {
    violation(fmt::format("{} spent {} of {}", workspace, sum, most));
  }
}

double gateway_world::spent(const std::string& workspace, duration span) const {
  double sum = 0;
  const auto found = spent_.find(workspace);
  if (found == spent_.end()) return sum;
  for (const auto& one : found->second) {
    if (now_ - one.when <= span) sum += one.tokens;
  }
  return sum;
}

std::size_t gateway_world::runs_at(const std::string& id) const {
  return targets_.at(id)->runs;
}

std::size_t gateway_world::orders_at(const std::string& id) const {
  return targets_.at(id)->orders;
}

std::set<std::string> gateway_world::domains_of_runs(
    const std::string& request) const {
  const auto found = run_domains_.find(request);
  return found == run_domains_.end() ? std::set<std::string>() : found->second;
}

std::set<std::string> gateway_world::targets_of_runs(
    const std::string& request) const {
  const auto found = run_targets_.find(request);
  return found == run_targets_.end() ? std::set<std::string>() : found->second;
}

time_point gateway_world::handed_until(const std::string& request) const {
  const auto found = handed_until_.find(request);
  return found == handed_until_.end() ? time_point() : found->second;
}

std::size_t gateway_world::runs_of(const std::string& request) const {
  const auto found = runs_.find(request);
  return found == runs_.end() ? 0 : found->second;
}

std::size_t gateway_world::holder_changes(const std::string& id) const {
  return targets_.at(id)->holder_changes;
}

}  // namespace seamglade::fakes
