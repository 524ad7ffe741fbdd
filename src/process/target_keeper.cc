// seamglade - the adapters of one target that this instance gives orders to
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/target_keeper.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace seamglade::gateway {
namespace {

/** Loads of adapters that a target takes side by side. */
constexpr std::size_t kParallelLoads = 4;
/** How long a load is taken to last before one has been seen. */
constexpr duration kFirstLoadTime = 250ms;
/** The part of the usual time after which a load is asked about. */
constexpr double kAskAfterPart = 0.9;
/** Pause between two questions about one load. */
constexpr duration kAskPause = 40ms;
/** A load of what the target still has in its memory is asked about then. */
constexpr duration kAskRecent = 25ms;
/** Weight of the newest load in the usual time. */
constexpr double kLoadTimeWeight = 0.15;
/** With each load, the quickest time seen is taken to be so much longer. */
constexpr std::int64_t kQuickForgotten = 100;
/** Loads that take so many times the quickest wait for the weight store. */
constexpr double kSlowLoads = 1.5;
/** The part of its time after which a load had ended that was asked once. */
constexpr double kEndedEarlier = 0.8;
/** A load that lasts longer is left to reports. */
constexpr duration kAskNoLonger = 2500ms;
/** Adapters that a target has in memory after their unload, at least. */
constexpr std::size_t kHeldLately = 100;
/** Interest that is not renewed for this long is void. */
constexpr duration kInterestLife = 1500ms;
/**
 * Pause between loads of whole models at one target; keeps the fleet's loads
 * from the weight store within its rate without a word between holders.
 */
constexpr duration kModelPause = 6s;
/** Demand falls by half in this time. */
constexpr double kDemandHalfLifeSeconds = 8;

double faded(double demand, duration since) {
  const double seconds = static_cast<double>(since.count()) / 1e6;
  return demand * std::exp2(-seconds / kDemandHalfLifeSeconds);
}

}  // namespace

target_keeper::target_keeper(target_id id, engine_profile profile,
                             std::uint64_t fence, takeover_check check)
    : id_(std::move(id)),
      profile_(std::move(profile)),
      fence_(fence),
      check_(check),
      load_time_(kFirstLoadTime),
      quick_load_time_(kFirstLoadTime) {}

void target_keeper::renew_fence(time_point now, std::uint64_t fence) {
  fence_ = fence;
  read_anew(now);
}

void target_keeper::read_anew(time_point now) {
  known_ = false;
  fence_in_force_.reset();
  unconfirmed_.reset();
  next_report_ = now;
}

void target_keeper::set_interest(time_point now, member_address from,
                                 std::vector<adapter_interest> rows,
                                 target_work work) {
  for (const auto& row : rows) {
    if (row.running + row.waiting == 0) continue;
    const auto found = std::find_if(
        places_.begin(), places_.end(),
        [&](const auto& pair) { return pair.second.hash == row.adapter; });
    if (found == places_.end()) continue;
    auto& known = found->second;
    known.demand = faded(known.demand, now - known.used) + 1;
    known.used = now;
  }
  interests_[from] = {now, std::move(rows), work};
}

void target_keeper::expire_interest(time_point now) {
  std::erase_if(interests_, [&](const auto& pair) {
    return now - pair.second.heard > kInterestLife;
  });
}

std::vector<target_keeper::wish> target_keeper::wishes(time_point now) const {
  std::map<adapter_name, wish> by_name;
  for (const auto& [from, known] : interests_) {
    if (now - known.heard > kInterestLife) continue;
    for (const auto& row : known.rows) {
      if (row.waiting == 0) continue;
      const auto since = known.heard - row.waited;
      auto [at, is_new] = by_name.try_emplace(
          row.name, wish{row.name, row.version, row.rank, 0, since, false});
      auto& wanted = at->second;
      wanted.waiting += row.waiting;
      wanted.version = std::max(wanted.version, row.version);
      wanted.rank = std::min(wanted.rank, row.rank);
      wanted.since = std::min(wanted.since, since);
      if (row.slack - (now - known.heard) > load_time_) {
        wanted.is_hopeful = true;
      }
    }
  }
  std::vector<wish> out;
  for (auto& [name, wanted] : by_name) {
    const auto found = places_.find(name);
    if (found != places_.end()) {
      const auto& held = found->second;
      if (held.now != phase::ready || held.version >= wanted.version) continue;
    }
    out.push_back(std::move(wanted));
  }
  // Where the weight store is at its limit, what came first would be late, and
  // all that comes after it: loads that can be in time go before.
  std::sort(out.begin(), out.end(), [](const wish& a, const wish& b) {
    return std::tie(b.is_hopeful, a.rank, a.since) <
           std::tie(a.is_hopeful, b.rank, b.since);
  });
  return out;
}

std::size_t target_keeper::loading_count() const {
  return static_cast<std::size_t>(std::count_if(
      places_.begin(), places_.end(),
      [](const auto& pair) { return pair.second.now == phase::loading; }));
}

std::size_t target_keeper::places_taken() const {
  return places_.size() +
         static_cast<std::size_t>(std::count_if(
             places_.begin(), places_.end(), [](const auto& pair) {
               return pair.second.replaces.has_value();
             }));
}

bool target_keeper::has_room(const adapter_name& name) const {
  if (places_taken() >= profile_.adapter_slots) return false;
  double used_mb = 0;
  for (const auto& [model, version] : models_) {
    if (const auto* profile = profile_.find(model)) {
      used_mb += profile->weights_mb;
    }
  }
  const auto adapter_mb = [&](const adapter_name& which) {
    const auto* profile = profile_.find(which.model);
    return profile == nullptr ? 0 : profile->adapter_mb;
  };
  for (const auto& [held, state] : places_) {
    used_mb += adapter_mb(held) * (state.replaces ? 2 : 1);
  }
  return used_mb + adapter_mb(name) <= profile_.weights_mb;
}

std::optional<adapter_name> target_keeper::victim(time_point now) const {
  std::set<adapter_hash> in_use;
  for (const auto& [from, known] : interests_) {
    for (const auto& row : known.rows) {
      if (row.running + row.waiting > 0) in_use.insert(row.adapter);
    }
  }
  std::optional<adapter_name> best;
  double least = 0;
  for (const auto& [name, held] : places_) {
    if (held.now != phase::ready || in_use.contains(held.hash)) continue;
    if (now - held.used < kRecentUse || now - held.since < kRecentUse) continue;
    const double demand = faded(held.demand, now - held.used);
    if (!best || demand < least) {
      best = name;
      least = demand;
    }
  }
  return best;
}

keeper_step target_keeper::order_load(time_point now, const wish& wanted) {
  const auto [at, is_new] = places_.try_emplace(wanted.name);
  auto& held = at->second;
  if (!is_new) held.replaces = held.version;
  held.hash = hash_of(wanted.name);
  held.now = phase::loading;
  held.version = wanted.version;
  held.since = now;
  held.used = now;
  held.demand = std::max(held.demand, 1.0);
  held.uncertain = false;
  held.asked = now;
  held.questions = 0;
  held.was_there = held_lately_.contains(wanted.name);
  ++loads_;
  changed();
  keeper_step step;
  step.what = keeper_step::kind::order;
  step.order = engine_order_kind::load;
  step.name = wanted.name;
  if (wanted.version > 0) step.version = wanted.version;
  return step;
}

keeper_step target_keeper::order_unload(time_point now,
                                        const adapter_name& name) {
  auto& held = places_[name];
  held.now = phase::unloading;
  held.since = now;
  ++unloads_;
  changed();
  keeper_step step;
  step.what = keeper_step::kind::order;
  step.order = engine_order_kind::unload;
  step.name = name;
  return step;
}

std::optional<time_point> target_keeper::repeat_at(const place& held) const {
  // A replacement may be refused while the older version runs: reports tell.
  const bool asks = held.now == phase::loading && !held.uncertain &&
                    !held.replaces && held.asked != time_point{};
  if (!asks || held.asked - held.since > kAskNoLonger) return std::nullopt;
  const auto usual = std::chrono::duration_cast<duration>(
      kAskAfterPart * std::chrono::duration<double>(load_time_));
  const auto first = held.since + (held.was_there ? kAskRecent : usual);
  return std::max(first, held.asked + kAskPause);
}

std::optional<keeper_step> target_keeper::repeat_load(time_point now) {
  for (auto& [name, held] : places_) {
    const auto at = repeat_at(held);
    if (!at || now < *at) continue;
    held.asked = now;
    ++held.questions;
    keeper_step step;
    step.what = keeper_step::kind::order;
    step.order = engine_order_kind::load;
    step.name = name;
    if (held.version > 0) step.version = held.version;
    step.repeated = true;
    return step;
  }
  return std::nullopt;
}

bool target_keeper::is_unsettled() const {
  return model_loading_ ||
         std::any_of(places_.begin(), places_.end(), [](const auto& pair) {
           return pair.second.now != phase::ready || pair.second.uncertain;
         });
}

void target_keeper::load_ended(time_point now, place& held) {
  if (held.now == phase::loading && !held.was_there && !held.replaces) {
    // One that had ended by the first question may have ended long before.
    const bool at_first = held.questions <= 1;
    const auto took = (at_first ? kEndedEarlier : 1.0) *
                      std::chrono::duration<double>(now - held.since);
    const auto usual = std::chrono::duration<double>(load_time_);
    load_time_ = std::chrono::duration_cast<duration>(
        usual + kLoadTimeWeight * (took - usual));
    quick_load_time_ += quick_load_time_ / kQuickForgotten;
    quick_load_time_ = std::min(quick_load_time_, load_time_);
  }
  held.now = phase::ready;
  held.since = now;
  held.uncertain = false;
  held.replaces.reset();
}

std::size_t target_keeper::parallel_loads() const {
  const auto allowed =
      kSlowLoads * std::chrono::duration<double>(quick_load_time_);
  const auto part = allowed / std::chrono::duration<double>(load_time_);
  const auto most = static_cast<double>(kParallelLoads);
  return static_cast<std::size_t>(std::clamp(most * part, 1.0, most));
}

void target_keeper::note_unloaded(time_point now, const adapter_name& name) {
  unloaded_[name] = now;
  held_lately_[name] = now;
  if (held_lately_.size() <= kHeldLately) return;
  held_lately_.erase(std::min_element(
      held_lately_.begin(), held_lately_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

std::optional<keeper_step> target_keeper::model_step(time_point now) {
  if (!models_.empty() || model_loading_ || now < model_not_before_) {
    return std::nullopt;
  }
  // The model that waits longest, else the first: an engine must hold one.
  std::string model;
  for (const auto& wanted : wishes(now)) {
    if (profile_.find(wanted.name.model) != nullptr) {
      model = wanted.name.model;
      break;
    }
  }
  if (model.empty() && !profile_.models.empty()) {
    model = profile_.models.front().name;
  }
  const auto* profile = profile_.find(model);
  if (profile == nullptr || profile->weights_mb > profile_.weights_mb) {
    return std::nullopt;
  }
  model_not_before_ = now + kModelPause;
  model_loading_ = true;
  next_report_ = now + profile->load_time;
  keeper_step step;
  step.what = keeper_step::kind::order;
  step.order = engine_order_kind::load;
  step.name = {model, ""};
  return step;
}

std::optional<keeper_step> target_keeper::fence_step(time_point now) {
  if (models_.empty()) return model_step(now);
  const auto& [model, version] = *models_.begin();
  keeper_step step;
  step.what = keeper_step::kind::order;
  step.order = engine_order_kind::load;
  step.name = {model, ""};
  if (version > 0) step.version = version;
  return step;
}

keeper_step target_keeper::next_step(time_point now, bool may_order) {
  if (under_way_.what != keeper_step::kind::none) return {};
  if (now >= next_report_) {
    under_way_.what = keeper_step::kind::report;
    return under_way_;
  }
  if (!may_order || now < not_before_) return {};
  const bool wants_fence = !known_ && check_ == takeover_check::fence_order &&
                           !fence_in_force_ && unconfirmed_;
  if (wants_fence) {
    if (const auto step = fence_step(now)) under_way_ = *step;
    return under_way_;
  }
  if (!known_) return {};
  if (const auto step = model_step(now)) {
    under_way_ = *step;
    return under_way_;
  }
  if (const auto step = repeat_load(now)) {
    under_way_ = *step;
    return under_way_;
  }
  if (loading_count() >= parallel_loads()) return {};
  for (const auto& wanted : wishes(now)) {
    if (!models_.contains(wanted.name.model)) continue;
    if (wanted.name.adapter.empty()) continue;
    if (has_room(wanted.name)) {
      under_way_ = order_load(now, wanted);
      return under_way_;
    }
    const bool unloading = std::any_of(
        places_.begin(), places_.end(),
        [](const auto& pair) { return pair.second.now == phase::unloading; });
    if (unloading) return {};
    if (const auto name = victim(now)) {
      under_way_ = order_unload(now, *name);
      return under_way_;
    }
    return {};
  }
  return {};
}

time_point target_keeper::next_wakeup() const {
  if (under_way_.what != keeper_step::kind::none) return time_point::max();
  auto next = next_report_;
  for (const auto& [name, held] : places_) {
    if (const auto at = repeat_at(held)) next = std::min(next, *at);
  }
  return std::max(next, not_before_);
}

}  // namespace seamglade::gateway
