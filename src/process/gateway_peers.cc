// seamglade - the direct path: what instances tell each other
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

constexpr duration kBeatPeriod = 250ms;
constexpr duration kLargeBeatPeriod = 400ms;
/** Claims of others that a heartbeat carries on. */
constexpr std::size_t kHeardClaims = 24;
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
constexpr std::size_t kMaxLoads = 40;
constexpr std::size_t kMaxClaims = 40;
/** In a large fleet a changed claim is told to all so often. */
constexpr unsigned kAnnouncements = 2;
constexpr duration kAnnouncementPause = 250ms;
/** A copy from another failure domain is asked for when one's own is older. */
constexpr duration kFarCopyAge = 900ms;
/** In a large fleet new processes read the store spread over this time. */
constexpr std::int64_t kRangeSpreadMs = 600;
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

void gateway_core::impl::on(event::new_seeds&& e) {
  log("settings_reloaded",
      {{"seeds", static_cast<std::int64_t>(e.seeds.size())}}, true);
  roster_.set_seeds(std::move(e.seeds));
}

void gateway_core::impl::on(event::datagram&& e) {
  std::visit([&](const auto& message) { take(e.from, message); }, e.message);
}

void gateway_core::impl::take(member_address from, const heartbeat& message) {
  const bool was_alive = roster_.is_alive(now_, from);
  for (const auto newcomer : roster_.merge(now_, from, message.rows)) {
    greet(newcomer, newcomer == from);
  }
  if (roster_.is_large() && !std::exchange(range_spread_, true)) {
    range_not_before_ = std::max(
        range_not_before_,
        now_ + static_cast<std::int64_t>(random_() % kRangeSpreadMs) * 1ms);
  }
  if (!was_alive && roster_.is_alive(now_, from)) {
    log("peer_regained", {{"peer", static_cast<std::int64_t>(from)}}, true);
  }
  auto& peer = peers_[from];
  peer.store_revision = message.store_revision;
  peer.store_age = message.store_age;
  peer.watching = message.watching;
  peer.heard = now_;
  for (const auto& claimed : message.claims) take(from, claimed);
  for (const auto& load : message.loads) {
    if (auto* target = targets_.find(load.target)) {
      take(from, *target, load.work);
    }
  }
  const bool behind = message.store_revision > mirror_.revision();
  if (!behind) {
    confirm_copy(now_ - message.copy_age);
    return;
  }
  const bool near = !roster_.is_large() || roster_.is_in_my_domain(from);
  const bool worth_it = near || copy_age() > kFarCopyAge;
  if (worth_it && !fetching_ && now_ >= next_fetch_) {
    fetching_ = true;
    fetch_confirms_ = now_ - message.copy_age;
    do_act(action::fetch_changes{from, mirror_.revision()});
  }
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

void gateway_core::impl::greet(member_address newcomer, bool first_hand) {
  auto message = own_heartbeat();
  if (first_hand) message.rows = roster_.all_rows();
  add_own_claims(message);
  do_act(action::send_datagram{newcomer, std::move(message)});
}

heartbeat gateway_core::impl::own_heartbeat() const {
  heartbeat message;
  message.rows.push_back(roster_.own_row());
  message.store_revision = mirror_.revision();
  message.store_age = store_age();
  message.copy_age = copy_age();
  message.watching = reading_ == reading::watch || now_ < next_read_;
  return message;
}

void gateway_core::impl::send_to_all(const peer_message& message) {
  for (const auto to : roster_.alive(now_)) {
    if (to == options_.self) continue;
    do_act(action::send_datagram{to, message});
  }
}

void gateway_core::impl::announce(target_hash target) {
  next_beat_ = now_;
  if (roster_.is_large()) announcements_[target] = kAnnouncements;
}

void gateway_core::impl::announce_claims() {
  if (announcements_.empty() || now_ < next_announcement_) return;
  next_announcement_ = now_ + kAnnouncementPause;
  auto message = own_heartbeat();
  for (auto at = announcements_.begin(); at != announcements_.end();) {
    const auto& known = claims_[at->first];
    message.claims.push_back({at->first, known.fence, known.holder});
    at = --at->second == 0 ? announcements_.erase(at) : std::next(at);
  }
  send_to_all(message);
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
                              const target_claim& claimed) {
  auto& known = claims_[claimed.target];
  const bool first_hand = claimed.holder == from;
  if (claimed.fence == known.fence) {
    if (known.holder == claimed.holder) {
      if (first_hand) known.heard = now_;
      return;
    }
    // Given up: the last order may be as late as this word.
    if (claimed.holder == 0) known = {0, claimed.fence, now_, true};
    return;
  }
  // Of two claims the higher counts, also when its holder is out of sight: the
  // other learns of it, steps back and comes again under a higher fence.
  if (claimed.fence < known.fence) return;
  if (claimed.holder == options_.self &&
      !keepers_.contains(target_id_of(claimed.target))) {
    // Word of this instance's former life.
    known = {0, claimed.fence, known.heard};
    return;
  }
  known = {claimed.holder, claimed.fence, now_};
  waiting_dirty_ = true;
}

target_id gateway_core::impl::target_id_of(target_hash target) {
  const auto* found = targets_.find(target);
  return found == nullptr ? target_id() : found->entry.id;
}

void gateway_core::impl::add_own_claims(heartbeat& message) const {
  for (const auto& [id, keeper] : keepers_) {
    if (message.claims.size() >= kMaxClaims) break;
    message.claims.push_back({hash_of(id), keeper->fence(), options_.self});
  }
}

void gateway_core::impl::add_claims(heartbeat& message) {
  add_own_claims(message);
  if (claims_.empty()) return;
  auto at = claims_.upper_bound(next_claim_told_);
  const auto count = std::min(kHeardClaims, claims_.size());
  for (std::size_t i = 0; i < count; ++i, ++at) {
    if (at == claims_.end()) at = claims_.begin();
    next_claim_told_ = at->first;
    const auto& known = at->second;
    if (known.fence == 0 || known.holder == options_.self) continue;
    message.claims.push_back({at->first, known.fence, known.holder});
  }
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
  return {hash_of(keeper.id()), keeper.fence(), keeper.edition(), keeper.work(),
          keeper.places()};
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
  waiting_dirty_ = true;
}

void gateway_core::impl::send_heartbeats() {
  next_beat_ = now_ + (roster_.is_large() ? kLargeBeatPeriod : kBeatPeriod);
  roster_.beat(now_);
  auto message = own_heartbeat();
  add_claims(message);
  for (const auto* target : targets_.staying(now_)) {
    if (message.loads.size() >= kMaxLoads) break;
    if (target->own.running == 0) continue;
    message.loads.push_back({target->hash, target->own});
  }
  for (const auto to : roster_.heartbeat_targets(now_)) {
    message.rows = roster_.sample();
    do_act(action::send_datagram{to, message});
  }
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
