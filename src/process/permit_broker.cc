// seamglade - permits for loads from a weight store, shared by the fleet
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/permit_broker.h"

#include <algorithm>

namespace seamglade::detail {
namespace {

constexpr duration kPermitLife = 1s;
/** Interval at which unmet wants are told to the allocator again. */
constexpr duration kAskInterval = 250ms;
/** Wants that were not told again are forgotten. */
constexpr duration kDemandLife = 1s;
/** Silence of the allocator after which the equal share is used. */
constexpr duration kFallbackAfter = 2s;

}  // namespace

void token_bucket::refill(time_point now, double rate, double most) {
  if (at_ == time_point::min()) {
    tokens_ = most;
  } else {
    const double passed = std::chrono::duration<double>(now - at_).count();
    tokens_ = std::min(most, tokens_ + passed * rate);
  }
  at_ = now;
}

bool token_bucket::take() {
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

time_point token_bucket::next(double rate) const {
  if (tokens_ >= 1) return at_;
  const auto wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((1 - tokens_) / rate));
  return at_ + wait + 1us;
}

permit_broker::store_state& permit_broker::state(const std::string& store) {
  return stores_[store];
}

void permit_broker::set_limits(const std::string& store, store_limits limits) {
  state(store).limits = limits;
}

bool permit_broker::falls_back(const store_state& s) const {
  if (shared_.options.naive_policy) return true;
  return s.waiting_since != time_point::max() &&
         s.waiting_since + kFallbackAfter <= shared_.now &&
         s.granted_at + kFallbackAfter <= shared_.now;
}

std::uint32_t permit_broker::available(const std::string& store) {
  auto& s = state(store);
  if (s.permits_expire <= shared_.now) s.permits = 0;
  return s.permits;
}

void permit_broker::take(const std::string& store) {
  auto& s = state(store);
  if (s.permits > 0) --s.permits;
  ++s.loading;
}

void permit_broker::ended(const std::string& store) {
  auto& s = state(store);
  if (s.loading > 0) --s.loading;
  // The allocator can grant the next load as soon as it knows.
  s.next_ask = shared_.now;
  s.load_ended = true;
}

permit_request permit_broker::request_for(const std::string& store,
                                          const store_state& s) const {
  permit_request asked{store, 0, 0, s.loading};
  if (s.permits_expire > shared_.now) asked.in_use += s.permits;
  for (const auto& [target, wanted] : s.wants) {
    const bool urgent = wanted.kind == urgency::urgent;
    ++(urgent ? asked.urgent : asked.deferred);
    if (!urgent) continue;
    asked.oldest_wait = std::max(asked.oldest_wait, shared_.now - wanted.since);
  }
  return asked;
}

void permit_broker::want(const std::string& store, const target_id& target,
                         std::optional<load_want> wanted) {
  auto& s = state(store);
  const auto it = s.wants.find(target);
  const bool same = wanted ? it != s.wants.end() && it->second == *wanted
                           : it == s.wants.end();
  if (same) return;
  if (wanted) {
    s.wants[target] = *wanted;
    s.next_ask = shared_.now;
  } else {
    s.wants.erase(it);
  }
  if (s.wants.empty()) {
    s.waiting_since = time_point::max();
  } else if (s.waiting_since == time_point::max()) {
    s.waiting_since = shared_.now;
  }
}

void permit_broker::ask(const std::string& store, store_state& s) {
  s.next_ask = shared_.now + kAskInterval;
  s.load_ended = false;
  if (shared_.options.naive_policy) return;  // a fixed share, never asked for
  auto request = request_for(store, s);
  const auto allocator = members_.allocator(store);
  if (allocator == shared_.options.self) {
    on_request(allocator, request);
  } else if (members_.linked(allocator)) {
    shared_.act(action::send_peer{allocator, std::move(request)});
  }
}

void permit_broker::on_request(const instance_id& from,
                               const permit_request& asked) {
  auto& s = state(asked.store);
  s.demands[from] = {asked.urgent, asked.deferred, asked.in_use,
                     shared_.now - asked.oldest_wait, shared_.now};
  serve(asked.store, s);
}

permit_broker::demand* permit_broker::next_demand(store_state& s, bool urgent,
                                                  instance_id& whose) {
  const auto unmet = [&](const auto& entry) {
    return (urgent ? entry.second.urgent : entry.second.deferred) > 0;
  };
  // Urgent: who has waited longest; else, and among equals, in turn.
  auto it = std::find_if(s.demands.upper_bound(s.last_served), s.demands.end(),
                         unmet);
  if (it == s.demands.end()) {
    it = std::find_if(s.demands.begin(), s.demands.end(), unmet);
  }
  for (auto other = s.demands.begin(); urgent && other != s.demands.end();
       ++other) {
    if (unmet(*other) && other->second.oldest < it->second.oldest) it = other;
  }
  if (it == s.demands.end()) return nullptr;
  whose = it->first;
  return &it->second;
}

bool permit_broker::has_news(const store_state& s) {
  return !s.wants.empty() || s.loading > 0 || s.load_ended;
}

std::uint32_t permit_broker::in_use(const store_state& s) const {
  std::uint32_t sum = 0;
  for (const auto& [who, d] : s.demands) sum += d.in_use;
  return sum;
}

bool permit_broker::serve(const std::string& store, store_state& s) {
  std::erase_if(s.demands, [&](const auto& d) {
    return d.second.heard + kDemandLife <= shared_.now;
  });
  s.bucket.refill(shared_.now, s.limits.rate, s.limits.parallel);
  bool served_self = false;
  // More loads at once than the store serves at full speed would only queue
  // there, in an order that knows nothing of urgency.
  while (s.bucket.tokens() >= 1 && in_use(s) < s.limits.parallel) {
    instance_id whose;
    auto* next = next_demand(s, true, whose);
    const bool urgent = next != nullptr;
    if (next == nullptr) next = next_demand(s, false, whose);
    if (next == nullptr) break;
    s.bucket.take();
    --(urgent ? next->urgent : next->deferred);
    ++next->in_use;
    s.last_served = whose;
    if (whose == shared_.options.self) {
      receive(s, 1, kPermitLife);
      served_self = true;
    } else {
      shared_.act(
          action::send_peer{whose, permit_grant{store, 1, kPermitLife}});
    }
  }
  return served_self;
}

void permit_broker::receive(store_state& s, std::uint32_t count,
                            duration expires_in) {
  if (s.permits_expire <= shared_.now) s.permits = 0;
  s.permits += count;
  s.permits_expire = shared_.now + expires_in;
  s.granted_at = shared_.now;
}

void permit_broker::on_grant(const instance_id& /*from*/,
                             const permit_grant& grant) {
  receive(state(grant.store), grant.count,
          std::min(grant.expires_in, kPermitLife));
}

bool permit_broker::on_time() {
  bool available = false;
  for (auto& [store, s] : stores_) {
    const bool tells = has_news(s);
    if (tells && s.next_ask <= shared_.now) ask(store, s);
    if (!s.demands.empty()) serve(store, s);
    if (!s.wants.empty() && falls_back(s)) {
      const auto share = static_cast<double>(shared_.live_instances);
      s.share.refill(shared_.now, s.limits.rate / share, 1);
      if (s.share.take()) {
        if (s.permits_expire <= shared_.now) s.permits = 0;
        ++s.permits;
        s.permits_expire = shared_.now + kPermitLife;
      }
    }
    available = available || (s.permits > 0 && s.permits_expire > shared_.now &&
                              !s.wants.empty());
  }
  return available;
}

time_point permit_broker::wakeup() const {
  auto next = time_point::max();
  for (const auto& [store, s] : stores_) {
    if (has_news(s)) next = std::min(next, s.next_ask);
    const bool unmet = std::any_of(
        s.demands.begin(), s.demands.end(),
        [](const auto& d) { return d.second.urgent + d.second.deferred > 0; });
    if (unmet && in_use(s) < s.limits.parallel) {
      next = std::min(next, s.bucket.next(s.limits.rate));
    }
  }
  return next;
}

}  // namespace seamglade::detail
