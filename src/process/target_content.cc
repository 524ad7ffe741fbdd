// seamglade - what a target holds, as its holder learns from reports
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <utility>

#include "process/target_keeper.h"

namespace seamglade::gateway {
bool target_keeper::confirms_content(time_point now, time_point asked,
                                     const engine_report& report) {
  const bool agree = reports_agree(now, report);
  if (check_ == takeover_check::agreeing_reports) return agree;
  return fence_in_force_ && asked - *fence_in_force_ >= kFenceSettled;
}

bool target_keeper::reports_agree(time_point now, const engine_report& report) {
  const bool same = unconfirmed_ && unconfirmed_->sequence == report.sequence &&
                    unconfirmed_->adapters == report.adapters &&
                    unconfirmed_->pending == report.pending;
  if (same && now - unconfirmed_since_ >= kConfirmPause) return true;
  if (!same) {
    unconfirmed_ = report;
    unconfirmed_since_ = now;
  }
  return false;
}

void target_keeper::take_models(time_point now, const engine_report& report) {
  models_.clear();
  for (const auto& model : report.models) models_[model.name] = model.version;
  if (!models_.empty()) model_loading_ = false;
  if (model_loading_ && !report.busy && now >= model_not_before_) {
    model_loading_ = false;
  }
}

void target_keeper::start_places(time_point now, time_point asked,
                                 const engine_report& report) {
  // What was believed under a former fence tells the demand alone.
  const auto former = std::exchange(places_, {});
  unloaded_.clear();
  take_places(now, asked, report);
  for (auto& [name, held] : places_) {
    const auto found = former.find(name);
    if (found == former.end()) continue;
    held.demand = found->second.demand;
    held.used = found->second.used;
  }
}

bool target_keeper::settle_place(place& mine, const report_facts& told,
                                 const adapter_name& name) {
  const auto seen = told.held.find(name);
  const bool there = seen != told.held.end();
  const bool is_pending = told.pending.contains(name);
  const bool settled = told.asked - mine.since > kReportLag;
  if (mine.now == phase::loading) {
    if (there && seen->second >= mine.version && !is_pending) {
      load_ended(told.now, mine);
      mine.version = seen->second;
      changed();
    } else if (settled && !is_pending) {
      changed();
      if (!there) return false;
      mine.now = phase::ready;
      mine.version = seen->second;
      mine.uncertain = false;
      mine.replaces.reset();
    }
    return true;
  }
  if (!settled) return true;
  if (!there) return is_pending;
  if (mine.now == phase::unloading) {
    // An unload that was never taken, or one that waits for its runs.
    mine.now = phase::ready;
    mine.since = told.now;
    changed();
  } else if (mine.version != seen->second) {
    mine.version = seen->second;
    changed();
  }
  return true;
}

void target_keeper::add_place(const report_facts& told,
                              const adapter_name& name, std::uint32_t version,
                              phase now_in) {
  if (places_.contains(name)) return;
  // A report that lags still names what was unloaded since.
  const auto unloaded = unloaded_.find(name);
  if (unloaded != unloaded_.end() &&
      told.asked - unloaded->second < kReportLag) {
    return;
  }
  place found;
  found.now = now_in;
  found.hash = hash_of(name);
  found.version = version;
  found.since = told.now;
  found.used = told.now - kRecentUse;
  places_.emplace(name, found);
  changed();
}

void target_keeper::take_places(time_point now, time_point asked,
                                const engine_report& report) {
  take_models(now, report);
  report_facts told{now, asked, {}, {}};
  for (const auto& adapter : report.adapters) {
    told.held[adapter.name] = adapter.version;
  }
  for (const auto& adapter : report.pending) told.pending.insert(adapter.name);

  for (auto at = places_.begin(); at != places_.end();) {
    if (settle_place(at->second, told, at->first)) {
      ++at;
      continue;
    }
    dropped_.push_back(at->first);
    changed();
    at = places_.erase(at);
  }
  std::erase_if(unloaded_, [&](const auto& pair) {
    return now - pair.second > 4 * kReportLag;
  });
  for (const auto& [name, version] : told.held) {
    if (!told.pending.contains(name)) {
      add_place(told, name, version, phase::ready);
    }
  }
  for (const auto& adapter : report.pending) {
    add_place(told, adapter.name, adapter.version, phase::loading);
    const auto old = told.held.find(adapter.name);
    const auto found = places_.find(adapter.name);
    if (old != told.held.end() && found != places_.end()) {
      found->second.replaces = old->second;
    }
  }
}

target_work target_keeper::work() const {
  target_work total;
  for (const auto& [from, known] : interests_) total += known.work;
  return total;
}

bool target_keeper::concerns(member_address who) const {
  const auto found = interests_.find(who);
  return found != interests_.end() && !found->second.rows.empty();
}

std::vector<adapter_place> target_keeper::places() const {
  std::map<adapter_hash, std::uint32_t> running;
  for (const auto& [from, known] : interests_) {
    for (const auto& row : known.rows) running[row.adapter] += row.running;
  }
  std::vector<adapter_place> out;
  for (const auto& [name, held] : places_) {
    out.push_back({held.hash, held.version, held.now == phase::ready,
                   running[held.hash]});
  }
  return out;
}

}  // namespace seamglade::gateway
