// seamglade - the owner of one target: queueing and starting requests
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_owner.h"

#include <algorithm>

namespace seamglade::detail {
namespace {

/** The policy is asked again this often while requests wait. */
constexpr duration kPumpInterval = 1s;
constexpr double kForgottenDemand = 1e-4;
constexpr std::int64_t kMinutesPerDay = 24L * 60;

duration from_seconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

target_owner::target_owner(core& shared, load_budget& budget, answer_sink& sink,
                           const placement_policy& policy, target_entry entry)
    : shared_(shared),
      budget_(budget),
      sink_(sink),
      policy_(policy),
      entry_(std::move(entry)),
      ownership_(shared, entry_.id),
      slots_(shared) {
  configure();
}

const service_settings& target_owner::settings() const {
  return shared_.tree->at(settings_path_);
}

bool target_owner::has_adapter(const adapter_ref& adapter) const {
  return settings().plain || slots_.loaded(adapter);
}

std::uint32_t target_owner::concurrency() const {
  // A target that kept failing shows with one request that it is back.
  const bool probing = failures_ >= settings().eject_failures;
  return probing ? 1 : settings().max_concurrency;
}

duration target_owner::queue_wait() const {
  const double lanes = std::max<std::uint32_t>(1, settings().max_concurrency);
  // Requests whose adapter is missing wait for its load, not for a place.
  std::size_t ready = 0;
  for (const auto& [adapter, group] : queue_.groups()) {
    if (has_adapter(adapter)) ready += group.size();
  }
  const double ahead = static_cast<double>(ready) / lanes * mean_run_;
  const bool full = running_.size() >= settings().max_concurrency;
  return from_seconds(ahead + (full ? mean_run_ / lanes : 0));
}

duration target_owner::expected_wait(const request_spec& spec) const {
  auto wait = queue_wait();
  const auto adapter = spec.adapter.value_or(adapter_ref{});
  if (!has_adapter(adapter)) wait += settings().load_estimate;
  return wait;
}

std::optional<refusal> target_owner::admission(const job& request) const {
  const auto not_run = [](refusal_reason reason, duration retry_after) {
    return refusal{outcome_kind::not_run, reason, retry_after};
  };
  const auto wait = expected_wait(request.spec);
  const auto come_back = std::max(kLeastRetryAfter, wait);
  if (!ownership_.held()) return not_run(refusal_reason::not_owner, {});
  if (entry_.state == member_state::leaving &&
      shared_.options.switches.refuse_leaving) {
    return not_run(refusal_reason::target_leaving, kLeastRetryAfter);
  }
  if (ejected()) {
    return not_run(refusal_reason::target_ejected,
                   ejected_until_ - shared_.now);
  }
  if (queue_.size() >= settings().max_queue &&
      running_.size() >= settings().max_concurrency) {
    return not_run(refusal_reason::queue_full, come_back);
  }
  if (queue_.size() >= settings().max_queue + settings().max_concurrency) {
    return not_run(refusal_reason::queue_full, come_back);
  }
  if (shared_.now + wait > request.start_by) {
    return not_run(refusal_reason::deadline, come_back);
  }
  const auto adapter = request.adapter();
  if (has_adapter(adapter) || slots_.loading(adapter)) return std::nullopt;
  if (!settings().managed) {
    return not_run(refusal_reason::no_target, kLeastRetryAfter);
  }
  const auto backoff = backoffs_.find(adapter);
  if (backoff != backoffs_.end() && backoff->second.until > request.start_by) {
    return not_run(refusal_reason::load_failed,
                   backoff->second.until - shared_.now);
  }
  return std::nullopt;
}

std::optional<refusal> target_owner::submit(job request) {
  auto refused = admission(request);
  const auto& key = request.spec.idempotency_key;
  if (!refused && !key.empty()) {
    const auto wall = shared_.wall();
    const auto skew =
        std::chrono::duration_cast<unix_time>(settings().key_skew);
    const auto reason =
        wall ? keys_.check(key, *wall, skew) : refusal_reason::key_too_old;
    if (reason) {
      refused = refusal{outcome_kind::unknown, *reason, {}};
    } else {
      keys_.insert(key, *wall);
    }
  }
  if (refused) {
    shared_.log(action::decision_kind::refuse, entry_.id,
                request.adapter().str(),
                std::string(to_string(refused->reason)), request.id);
    return refused;
  }
  const auto adapter = request.adapter();
  if (!settings().plain) {
    demand_[adapter].add(shared_.now);
    if (auto* slot = slots_.find(adapter)) slot->last_used = shared_.now;
  }
  request.missed = !has_adapter(adapter);
  queue_.push(std::move(request));
  return std::nullopt;
}

void target_owner::refuse_one(const job& what, outcome_kind kind,
                              refusal_reason reason, duration retry_after) {
  if (kind == outcome_kind::not_run && !what.spec.idempotency_key.empty()) {
    keys_.erase(what.spec.idempotency_key);
  }
  shared_.log(action::decision_kind::refuse, entry_.id, what.adapter().str(),
              std::string(to_string(reason)), what.id);
  sink_.on_refusal(what.id, what.entry, {kind, reason, retry_after});
}

void target_owner::refuse_all(const std::vector<job>& jobs, outcome_kind kind,
                              refusal_reason reason, duration retry_after) {
  for (const auto& what : jobs) refuse_one(what, kind, reason, retry_after);
}

void target_owner::cancel(const request_id& id) {
  if (const auto waiting = queue_.remove(id)) {
    refuse_one(*waiting, outcome_kind::not_run, refusal_reason::cancelled, {});
    return;
  }
  for (auto& [call, job] : running_) {
    if (job.what.id != id || job.cancelled || !job.what.spec.repeatable) {
      continue;
    }
    job.cancelled = true;
    shared_.act(action::cancel_call{call});
  }
}

engine_view target_owner::view() const {
  const auto& s = settings();
  engine_view v;
  v.now = shared_.now;
  v.slots = s.slots;
  v.running = static_cast<std::uint32_t>(running_.size());
  v.max_running = concurrency();
  v.load_permits = may_order() ? budget_.available(s.weight_store) : 0;
  v.load_estimate = s.load_estimate;
  v.stall_weight = s.stall_weight;
  v.batch_weight = s.batch_weight;
  if (const auto wall = shared_.wall(); wall && s.peak_from != s.peak_to) {
    const auto minute = static_cast<std::uint32_t>(
        std::chrono::floor<std::chrono::minutes>(*wall).count() %
        kMinutesPerDay);
    const bool peak = s.peak_from < s.peak_to
                          ? minute >= s.peak_from && minute < s.peak_to
                          : minute >= s.peak_from || minute < s.peak_to;
    if (peak) {
      v.stall_weight = s.peak_stall_weight;
      v.batch_weight = s.peak_batch_weight;
    }
  }
  const auto demand = [&](const adapter_ref& adapter) {
    const auto it = demand_.find(adapter);
    return it == demand_.end() ? 0.0 : it->second.rate(shared_.now);
  };
  for (const auto& [adapter, slot] : slots_.slots()) {
    if (slot.state == slot_state::unloading) ++v.unloading;
    const auto group = queue_.groups().find(adapter);
    const auto waiting =
        group == queue_.groups().end() ? 0 : group->second.size();
    v.held.push_back({&adapter, slot.state, slot.running,
                      may_evict(adapter, slot), slot.last_used, demand(adapter),
                      static_cast<std::uint32_t>(waiting)});
  }
  for (const auto& [adapter, group] : queue_.groups()) {
    const auto backoff = backoffs_.find(adapter);
    v.waiting.push_back(
        {&adapter, static_cast<std::uint32_t>(group.urgent.size()),
         static_cast<std::uint32_t>(group.deferred.size()), group.oldest(),
         group.start_by(), demand(adapter), has_adapter(adapter),
         slots_.find(adapter) != nullptr && !slots_.loaded(adapter),
         backoff != backoffs_.end() && backoff->second.until > shared_.now});
  }
  std::stable_sort(
      v.waiting.begin(), v.waiting.end(),
      [](const auto& a, const auto& b) { return a.oldest < b.oldest; });
  return v;
}

void target_owner::pump() {
  pumped_ = shared_.now;
  if (queue_.empty()) return withdraw_want();
  bool progress = true;
  while (progress && !queue_.empty() && ownership_.may_dispatch() &&
         !ejected()) {
    progress = run_steps(policy_.next(view()));
  }
  if (!may_order()) return;
  const auto want =
      queue_.empty() ? std::nullopt : policy_.wants_permit(view());
  if (!want) return withdraw_want();
  wants_load_ = true;
  budget_.want(settings().weight_store, entry_.id, want);
}

void target_owner::withdraw_want() {
  if (!wants_load_) return;
  wants_load_ = false;
  budget_.want(settings().weight_store, entry_.id, std::nullopt);
}

bool target_owner::run_steps(const std::vector<placement_step>& steps) {
  bool progress = false;
  for (const auto& step : steps) {
    switch (step.kind) {
      case step_kind::start:
        progress = start(step.adapter, step.count) || progress;
        break;
      case step_kind::load:
        order_load(step.adapter);
        progress = true;
        break;
      case step_kind::evict: {
        // A step before this one may have started a request on it.
        const auto* slot = slots_.find(step.adapter);
        if (slot == nullptr || !may_evict(step.adapter, *slot)) break;
        order_unload(step.adapter);
        progress = true;
        break;
      }
    }
  }
  return progress;
}

bool target_owner::start(const adapter_ref& adapter, std::uint32_t count) {
  bool started = false;
  for (; count > 0 && running_.size() < concurrency(); --count) {
    auto next = queue_.pop(adapter);
    if (!next) break;
    dispatch(std::move(*next));
    started = true;
  }
  return started;
}

void target_owner::take_any_version(job& what) const {
  for (const auto& [adapter, slot] : slots_.slots()) {
    const bool same_name = adapter.base == what.spec.adapter->base &&
                           adapter.name == what.spec.adapter->name;
    if (same_name && slot.state == slot_state::loaded) {
      what.spec.adapter = adapter;
      return;
    }
  }
}

void target_owner::on_time() {
  on_change(ownership_.on_time());
  refuse_all(queue_.expire(shared_.now), outcome_kind::not_run,
             refusal_reason::deadline, kLeastRetryAfter);
  expire_running();
  send_due_orders();
  expire_orders();
  std::erase_if(backoffs_, [&](const auto& b) {
    return b.second.until + b.second.wait <= shared_.now;
  });
  std::erase_if(demand_, [&](const auto& d) {
    return d.second.rate(shared_.now) < kForgottenDemand;
  });
  pump();
}

time_point target_owner::wakeup() const {
  auto next = ownership_.wakeup();
  if (!queue_.empty()) {
    next = std::min({next, queue_.first_start_by(), pumped_ + kPumpInterval});
  }
  for (const auto& [id, order] : orders_) {
    next = std::min(next, order.times_out);
  }
  if (!queue_.empty()) {
    for (const auto& [adapter, backoff] : backoffs_) {
      if (backoff.until > shared_.now) next = std::min(next, backoff.until);
    }
    for (const auto& [adapter, slot] : slots_.slots()) {
      if (slot.inherited_until > shared_.now) {
        next = std::min(next, slot.inherited_until);
      }
    }
    if (ejected()) next = std::min(next, ejected_until_);
  }
  // Calls are numbered in the order in which they started.
  const auto oldest =
      std::find_if(running_.begin(), running_.end(),
                   [](const auto& r) { return !r.second.cancelled; });
  if (oldest != running_.end()) {
    next = std::min(next, oldest->second.started + settings().request_limit);
  }
  if (!settings().plain && ownership_.mode() == owner_mode::listed &&
      ownership_.held() && !report_pending_) {
    next = std::min(next, next_poll_);
  }
  return next;
}

std::vector<std::string> target_owner::loaded() const {
  std::vector<std::string> names;
  for (const auto& [adapter, slot] : slots_.slots()) {
    if (slot.state == slot_state::loaded) names.push_back(adapter.str());
  }
  return names;
}

controller_status::target target_owner::status() const {
  controller_status::target out;
  out.id = entry_.id;
  out.role = ownership_.held() ? "owner" : "none";
  out.running = static_cast<std::uint32_t>(running_.size());
  out.queued = static_cast<std::uint32_t>(queue_.size());
  out.loaded = loaded();
  return out;
}

}  // namespace seamglade::detail
