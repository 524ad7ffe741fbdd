// seamglade - the direct path's world: what targets and domains suffer
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {

void gateway_world::begin_life(target& which) {
  which.adapters.clear();
  which.pending.clear();
  which.running.clear();
  which.contents.clear();
  which.has_model = false;
  which.busy = false;
  which.sequence = 0;
  which.beats = 0;
  which.born_ms =
      kFirstStartMs + static_cast<std::uint64_t>(now_.time_since_epoch() / 1ms);
  which.highest_fence = 0;
  which.last_holder.clear();
  which.fence_holders.clear();
  which.history.clear();
  which.told.clear();
  which.says_leaving = false;
  which.limit = {};
  which.limits.clear();
  which.arrivals.clear();
  which.turns_away_until = {};
}

void gateway_world::upgrade_in_place(const std::string& id,
                                     const std::string& software, duration down,
                                     duration entry_late) {
  auto& t = *targets_.at(id);
  if (t.down) return;
  t.down = true;
  ++t.blackouts;
  break_calls(t);
  later(down, [this, t = &t, software, entry_late] {
    begin_life(*t);
    // Its model is on its disk still, so that it serves at once.
    t->has_model = true;
    t->software = software;
    t->down = false;
    later(entry_late, [this, t] { publish_target(*t); });
  });
}

std::string gateway_world::restart_engine(const std::string& id) {
  auto node = targets_.extract(id);
  auto& old = *node.mapped();
  put("servers/" + id, std::nullopt);
  old.id = id + "'";
  begin_life(old);
  node.key() = old.id;
  auto* t = &old;
  targets_.insert(std::move(node));
  begin_cold(*t, 0ms);
  publish_target(*t);
  return t->id;
}

void gateway_world::drain_target(const std::string& id) {
  auto& t = *targets_.at(id);
  t.draining = true;
  t.leaves_after = now_ + 2s;
  publish_target(t);
}

void gateway_world::remove_target(const std::string& id) {
  auto& t = *targets_.at(id);
  lapse_target(id);
  if (t.down) return;
  t.down = true;
  ++t.blackouts;
  t.contents.clear();
  break_calls(t);
}

void gateway_world::lapse_target(const std::string& id) {
  auto& t = *targets_.at(id);
  t.listed = false;
  put("servers/" + id, std::nullopt);
}

void gateway_world::relist_target(const std::string& id) {
  auto& t = *targets_.at(id);
  t.listed = true;
  publish_target(t);
}

void gateway_world::break_target(const std::string& id, bool broken) {
  targets_.at(id)->broken = broken;
}

void gateway_world::lose_answers(const std::string& id, double share) {
  targets_.at(id)->lost_answers = share;
}

void gateway_world::lose_domain(const std::string& domain) {
  for (auto& [address, i] : instances_) {
    if (i->domain == domain && i->core) kill(address);
  }
  for (auto& [id, t] : targets_) {
    if (t->domain != domain) continue;
    t->dark = true;
    ++t->blackouts;
  }
}

void gateway_world::restore_domain(const std::string& domain) {
  for (auto& [id, t] : targets_) {
    if (t->domain == domain) t->dark = false;
  }
  for (auto& [address, i] : instances_) {
    if (i->domain == domain && !i->core) start(address);
  }
}

std::optional<duration> gateway_world::link_wait(instance& from,
                                                 std::size_t bytes) {
  if (link_bytes_per_ms_ == 0) return duration{};
  const auto free_at = std::max(now_, from.link_free_at);
  if (free_at - now_ > link_queue_) return std::nullopt;
  const auto us = static_cast<std::int64_t>(bytes * 1000 / link_bytes_per_ms_);
  from.link_free_at = free_at + duration(us);
  return from.link_free_at - now_;
}

void gateway_world::slow_target(const std::string& id, duration more) {
  targets_.at(id)->slower = more;
}

}  // namespace seamglade::fakes
