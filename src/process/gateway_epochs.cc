// seamglade - the direct path: the store is restored from an older copy
//
// Its revisions go back then, and are given out again for other changes, so
// that revisions compare within an epoch alone. A copy of a later epoch
// replaces the one known. What it holds may be older than what was in force:
// configurations and adapters' versions go by their own numbers, targets by
// their start and by what they wrote last, and an evacuation that the copy
// contradicts stands until somebody writes it again or a time has passed.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** What a restored store has lost is written again within this time. */
constexpr duration kWrittenAgain = 2s;
/** ... and what operators write at the latest within this one. */
constexpr duration kContradictionKept = 10s;

}  // namespace

bool gateway_core::impl::is_of_epoch(const event::store_read& e) {
  if (e.how == event::store_read::outcome::failed) return true;
  if (e.epoch == 0 || e.epoch == mirror_.epoch()) return true;
  if (e.epoch > mirror_.epoch()) {
    needs_range_ = true;
    next_read_ = now_;
  } else {
    log("store_answer_outdated",
        {{"epoch", static_cast<std::int64_t>(e.epoch)},
         {"known_epoch", static_cast<std::int64_t>(mirror_.epoch())}},
        true);
    next_read_ = now_ + kOtherEpochPause;
  }
  operator_watch_.next =
      std::max(operator_watch_.next, now_ + kOtherEpochPause);
  return false;
}

void gateway_core::impl::begin_epoch(store_position before,
                                     std::string_view source,
                                     std::vector<store_item> lost) {
  ++counts_.store_restores;
  log("store_restored",
      {{"source", std::string(source)},
       {"epoch", static_cast<std::int64_t>(mirror_.epoch())},
       {"revision", static_cast<std::int64_t>(mirror_.revision())},
       {"known_epoch", static_cast<std::int64_t>(before.epoch)},
       {"known_revision", static_cast<std::int64_t>(before.revision)},
       {"copy_age_ms", to_ms(copy_age())}},
      true);
  give_up_store_calls();
  operator_watch_.after = 0;
  operators_told_ = {};
  copy_confirmed_.reset();
  keys_doubted_until_ = now_ + kWrittenAgain;
  next_beat_ = now_;
  for (auto& item : lost) {
    if (is_version_in_force(item)) kept_[item.key] = std::move(item);
  }
}

bool gateway_view::is_version_in_force(const store_item& item) const {
  const auto read = platform_.read_item(item);
  if (!read) return false;
  if (const auto* config = std::get_if<configuration>(&read.value())) {
    return config->version == configuration_in_force();
  }
  const auto* named = std::get_if<adapter_version>(&read.value());
  return named != nullptr && named->version == version_of(named->name);
}

std::uint64_t gateway_view::configuration_in_force() const {
  return config_ ? config_->version : 0;
}

void gateway_core::impl::take_kept(const std::vector<store_item>& kept) {
  change_origin origin{"peer"};
  origin.is_kept = true;
  for (const auto& item : kept) {
    kept_.try_emplace(item.key, item);
    take_item(item, origin);
  }
}

void gateway_core::impl::give_up_store_calls() {
  // They go on from a revision of the former history.
  if (reading_ != reading::idle) next_read_ = now_;
  reading_ = reading::idle;
  forget_read_call();
  range_.end();
  operator_watch_.call = 0;
  operator_watch_.next = now_;
}

void gateway_core::impl::fetch_from(member_address peer, store_epoch epoch,
                                    time_point confirms) {
  // Revisions of another epoch tell the peer nothing.
  copy_extent known;
  if (epoch == mirror_.epoch()) {
    known = {mirror_.revision(), operator_watch_.after};
  }
  fetch(peer, known, confirms);
}

void gateway_core::impl::fetch_kept_from(member_address peer) {
  fetch(peer, {}, {});
}

void gateway_core::impl::fetch(member_address peer, copy_extent known,
                               time_point confirms) {
  if (fetching_) return;
  fetching_ = true;
  fetch_confirms_ = confirms;
  fetch_ = {next_fetch_call_++, 0, peer, known, mirror_.epoch(), now_};
  do_act(action::fetch_changes{fetch_.call, peer, known});
}

bool gateway_core::impl::hear_evacuation(const evacuation& word,
                                         const store_item& item,
                                         bool is_restored) {
  const auto& domain = word.failure_domain;
  const auto known = evacuation_revisions_.find(domain);
  // The one that was taken back, in an older copy.
  const bool is_former = is_restored && known != evacuation_revisions_.end() &&
                         item.revision <= known->second &&
                         !domains_.is_evacuated(domain);
  if (is_former) {
    note_contradiction(domain, item.key);
    return false;
  }
  contradicted_.erase(item.key);
  evacuation_revisions_[domain] = item.revision;
  return evacuate(word, item.revision);
}

bool gateway_core::impl::hear_no_evacuation(std::string_view domain,
                                            const store_item& item,
                                            bool is_restored) {
  if (is_restored && domains_.is_evacuated(domain)) {
    note_contradiction(domain, item.key);
    return false;
  }
  contradicted_.erase(item.key);
  return take_back(domain, item.revision);
}

void gateway_core::impl::note_contradiction(std::string_view domain,
                                            const std::string& key) {
  contradicted_[key] = now_ + kContradictionKept;
  log("evacuation_contradicted",
      {{"domain", std::string(domain)},
       {"evacuated", static_cast<std::int64_t>(domains_.is_evacuated(domain))},
       {"kept_ms", to_ms(kContradictionKept)}},
      true);
}

void gateway_core::impl::settle_contradictions() {
  for (auto at = contradicted_.begin(); at != contradicted_.end();) {
    if (now_ < at->second) {
      ++at;
      continue;
    }
    const auto domain = platform_.evacuated_by_key(at->first);
    if (domain && mirror_.contains(at->first)) {
      evacuate({*domain}, mirror_.revision());
    } else if (domain) {
      take_back(*domain, mirror_.revision());
    }
    at = contradicted_.erase(at);
  }
}

}  // namespace seamglade::gateway
