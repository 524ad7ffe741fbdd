// seamglade - the direct path: what instances tell each other of targets
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** Interest in a target is renewed this often while there is any. */
constexpr duration kInterestRenewal = 400ms;
/** Changes of interest within this time go in one message. */
constexpr duration kInterestPause = 15ms;
/** What a target holds is told again this often. */
constexpr duration kResidencyRenewal = 1200ms;
constexpr duration kResidencyPause = 10ms;
/**
 * Changes of work at targets within this time go in one message: a tenth of
 * what reading a long prompt takes.
 */
constexpr duration kLoadsPause = 30ms;
/** A copy by demand comes after the loads that requests wait for. */
constexpr std::uint32_t kCopyRank = 5;
/** In a large fleet, an instance is told of a target this often at most. */
constexpr duration kTellPause = 20ms;
/** Items of the store in one datagram, and the size of one, at most. */
constexpr std::size_t kMostNews = 24;
constexpr std::size_t kLargestNews = 2000;

bool same_needs(const std::vector<adapter_interest>& a,
                const std::vector<adapter_interest>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const auto& x, const auto& y) {
                      return x.name == y.name && x.version == y.version &&
                             x.waiting == y.waiting && x.running == y.running;
                    });
}

}  // namespace

void gateway_core::impl::on(event::datagram&& e) {
  std::visit([&](const auto& message) { take(e.from, message); }, e.message);
}

void gateway_core::impl::take(member_address from, target_state& target,
                              const target_work& work) {
  auto& known = target.peers[from];
  if (known.work.reading != work.reading) target.reading_known = now_;
  known = {work, now_};
}

void gateway_core::impl::take(member_address from,
                              const loads_message& message) {
  for (const auto& load : message.loads) {
    if (auto* target = targets_.find(load.target)) {
      take(from, *target, load.work);
    }
  }
}

void gateway_core::impl::send_loads() {
  if (loads_dirty_.empty() || now_ - loads_sent_ < kLoadsPause) return;
  loads_message message;
  for (const auto& id : loads_dirty_) {
    const auto* target = targets_.find(id);
    if (target != nullptr) {
      message.loads.push_back({target->hash, target->own});
    }
  }
  loads_dirty_.clear();
  loads_sent_ = now_;
  // Where all hear all; in a larger fleet the targets' holders are asked.
  if (!roster_.is_large() && !message.loads.empty()) send_to_all(message);
}

void gateway_core::impl::send_to_all(const peer_message& message) {
  for (const auto to : roster_.alive(now_)) {
    if (to == options_.self) continue;
    do_act(action::send_datagram{to, message});
  }
}

void gateway_core::impl::spread_news(const std::vector<store_item>& news) {
  if (!roster_.is_large()) return;
  news_message message;
  for (const auto& item : news) {
    if (message.items.size() >= kMostNews) break;
    if (item.value && item.value->size() > kLargestNews) continue;
    message.items.push_back(item);
  }
  if (!message.items.empty()) send_to_all(message);
}

void gateway_core::impl::take(member_address from,
                              const news_message& message) {
  (void)from;
  store_changes changes;
  changes.items = message.items;
  apply(changes, "news");
}

void gateway_core::impl::take(member_address from,
                              const interest_message& message) {
  const auto* target = targets_.find(message.target);
  if (target == nullptr) return;
  const auto keeper = keepers_.find(target->entry.id);
  if (keeper == keepers_.end()) return;
  keeper->second->set_interest(now_, from, message.rows, message.work);
  if (!roster_.is_large() || !keeper->second->is_known()) return;
  // The answer tells the sender what is there and how busy the target is.
  auto& told = told_[{from, message.target}];
  if (now_ - told < kTellPause) return;
  told = now_;
  do_act(action::send_datagram{from, residency_of(*keeper->second)});
}

residency_message gateway_core::impl::residency_of(
    const target_keeper& keeper) const {
  return {hash_of(keeper.id()), keeper.fence(),     keeper.edition(),
          keeper.work(),        keeper.load_time(), keeper.places()};
}

void gateway_core::impl::take(member_address from,
                              const residency_message& message) {
  auto* target = targets_.find(message.target);
  if (target == nullptr || keepers_.contains(target->entry.id)) return;
  auto& known = target->residency;
  const bool newer =
      message.fence > known.fence ||
      (message.fence == known.fence && message.edition >= known.edition) ||
      claims_[message.target].holder == from;
  if (!newer) return;
  if (known.work.reading != message.work.reading) target->reading_known = now_;
  target->take_residency(now_, message);
  learn_load_time(message.load_time);
  waiting_dirty_ = true;
}

std::vector<adapter_interest> gateway_core::impl::interest_in(
    const target_state& target) const {
  std::map<adapter_name, adapter_interest> rows;
  for (const auto& [caller, x] : exchanges_) {
    if (x.facts.adapter.model.empty()) continue;
    const bool waits =
        x.now == exchange::phase::waiting && x.home == target.entry.id;
    const bool runs =
        x.now == exchange::phase::calling && x.target == target.entry.id;
    if (!waits && !runs) continue;
    auto [at, is_new] = rows.try_emplace(x.facts.adapter);
    auto& row = at->second;
    if (is_new) {
      row.name = x.facts.adapter;
      row.version = version_of(x.facts.adapter);
      row.rank = x.way->rank;
    }
    if (runs) {
      ++row.running;
      continue;
    }
    ++row.waiting;
    row.rank = std::min(row.rank, x.way->rank);
    row.waited = std::max(row.waited, now_ - x.started);
    row.slack = std::max(row.slack, x.started + x.way->objective - now_);
  }
  const auto first = copies_wanted_.lower_bound({target.entry.id, {}});
  for (auto at = first; at != copies_wanted_.end(); ++at) {
    const auto& [id, name] = at->first;
    if (id != target.entry.id) break;
    if (now_ > at->second) continue;
    auto [row, is_new] = rows.try_emplace(name);
    if (!is_new) continue;
    row->second.name = name;
    row->second.version = version_of(name);
    row->second.rank = kCopyRank;
    row->second.waiting = 1;
  }
  std::vector<adapter_interest> out;
  for (auto& [name, row] : rows) out.push_back(std::move(row));
  return out;
}

void gateway_core::impl::send_interests() {
  // What was told before is told anew while there is anything to tell.
  for (auto& [id, sent] : sent_interests_) {
    if (!sent.rows.empty() && now_ - sent.at >= kInterestRenewal) {
      interest_dirty_.insert(id);
    }
  }
  for (auto at = interest_dirty_.begin(); at != interest_dirty_.end();) {
    auto* target = targets_.find(*at);
    auto& sent = sent_interests_[*at];
    if (target == nullptr) {
      sent_interests_.erase(*at);
      at = interest_dirty_.erase(at);
      continue;
    }
    if (now_ - sent.at < kInterestPause) {
      ++at;
      continue;
    }
    auto rows = interest_in(*target);
    const auto keeper = keepers_.find(*at);
    const auto claim = claims_.find(target->hash);
    const auto holder = keeper != keepers_.end() ? options_.self
                        : claim == claims_.end() ? 0
                                                 : claim->second.holder;
    const bool same = holder == sent.to && same_needs(rows, sent.rows) &&
                      now_ - sent.at < kInterestRenewal;
    if (!same) {
      sent = {rows, now_, holder};
      if (keeper != keepers_.end()) {
        keeper->second->set_interest(now_, options_.self, std::move(rows),
                                     target->own);
      } else if (holder != 0 && roster_.is_alive(now_, holder)) {
        do_act(action::send_datagram{
            holder,
            interest_message{target->hash, std::move(rows), target->own}});
      }
    }
    at = interest_dirty_.erase(at);
  }
}

void gateway_core::impl::send_residencies() {
  for (auto& [id, keeper] : keepers_) {
    if (!keeper->is_known()) continue;
    auto& [edition, at] = sent_editions_[id];
    const bool changed = edition != keeper->edition();
    const auto passed = now_ - at;
    const bool due =
        changed ? passed >= kResidencyPause : passed >= kResidencyRenewal;
    if (!due) continue;
    edition = keeper->edition();
    at = now_;
    auto message = residency_of(*keeper);
    // In a large fleet only those hear that have to do with the target; the
    // others go by the store's entries.
    const bool all = !roster_.is_large();
    for (const auto to : roster_.alive(now_)) {
      if (to == options_.self) continue;
      if (!all && !keeper->concerns(to)) continue;
      do_act(action::send_datagram{to, message});
    }
    if (auto* target = targets_.find(id)) {
      target->take_residency(now_, std::move(message));
      waiting_dirty_ = true;
    }
  }
}

}  // namespace seamglade::gateway
