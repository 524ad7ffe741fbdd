// seamglade - the direct path: what the items of the platform's store change
//
// Entries of targets, configurations, versions of adapters and evacuations take
// effect here, wherever they came from: the store itself, a peer's copy, or a
// copy that the store was restored from.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** In a large fleet one in so many targets' entries lapses at once. */
constexpr std::size_t kLapsePart = 4;

/** Its time as a cold target began anew: what is sent there has a bound. */
bool is_colder(const target_entry& before, const target_entry& now) {
  return now.cold_left > before.cold_left;
}

/**
 * Returns whether an entry is a target's later word than another, whatever the
 * revisions of both. Nothing that leaves stays in the same life.
 */
bool is_later_word(const target_entry& now, const target_entry& before) {
  if (now.started_ms != before.started_ms) {
    return now.started_ms > before.started_ms;
  }
  if (now.draining != before.draining) return now.draining;
  return now.sequence > before.sequence;
}

/**
 * Adapters come and go all the time, and holders are asked for them. Told to
 * all, each such change went to each instance.
 */
bool is_same_but_for_adapters(const target_entry& a, const target_entry& b) {
  return a.service == b.service && a.address == b.address &&
         a.software == b.software && a.started_ms == b.started_ms &&
         a.failure_domain == b.failure_domain && a.draining == b.draining &&
         a.slots == b.slots && a.models == b.models && !is_colder(a, b);
}

}  // namespace

bool gateway_view::lapsed_with_store(
    const std::vector<store_item>& news) const {
  if (!was_store_away()) return false;
  // In a large fleet a copy may also be old since word came late: what lapses
  // with the store are many entries at once.
  if (!roster_.is_large()) return true;
  const auto deleted =
      std::count_if(news.begin(), news.end(), [this](const store_item& item) {
        return !item.value && platform_.target_of_key(item.key);
      });
  return static_cast<std::size_t>(deleted) * kLapsePart >= targets_.size();
}

bool gateway_core::impl::take_item(const store_item& item,
                                   const change_origin& origin) {
  if (!item.value) return take_deletion(item, origin);
  auto read = platform_.read_item(item);
  if (!read) {
    // What was in force before stays so.
    log("item_unreadable", {{"key", item.key}, {"detail", read.error().detail}},
        true);
    return false;
  }
  if (auto* entry = std::get_if<target_entry>(&read.value())) {
    const bool is_hearsay = origin.source != kFromStore;
    if (is_hearsay && roster_.is_large()) entry->adapters.clear();
    const auto* known = targets_.find(entry->id);
    const bool is_minor = known != nullptr && !known->gone &&
                          is_same_but_for_adapters(known->entry, *entry);
    if (is_minor && roster_.is_large()) mirror_.keep_quiet(item.key);
    return take_entry(std::move(*entry), origin);
  }
  if (auto* config = std::get_if<configuration>(&read.value())) {
    const auto version = config->version;
    accept_configuration(std::move(*config), origin);
    if (origin.is_kept) return false;
    store_configuration_ = version;
    if (version == config_->version) kept_.erase(item.key);
  } else if (const auto* named = std::get_if<adapter_version>(&read.value())) {
    auto& version = versions_[named->name];
    version = std::max(version, named->version);
    if (!origin.is_kept && version == named->version) kept_.erase(item.key);
    log("adapter_version", {{"adapter", named->name.str()},
                            {"version", static_cast<std::int64_t>(version)}});
  } else if (const auto* word = std::get_if<evacuation>(&read.value())) {
    return hear_evacuation(*word, item, origin.is_restored);
  }
  return false;
}

bool gateway_core::impl::take_deletion(const store_item& item,
                                       const change_origin& origin) {
  if (const auto domain = platform_.evacuated_by_key(item.key)) {
    return hear_no_evacuation(*domain, item, origin.is_restored);
  }
  const bool lapsed = origin.is_lapse;
  const auto id = platform_.target_of_key(item.key);
  if (!id) return false;
  const auto* known = targets_.find(*id);
  const bool is_planned = known == nullptr || known->entry.draining;
  if (!lapsed && !is_planned) note_replaced(*id, "unlisted");
  targets_.unlist(now_, *id, lapsed);
  log("target_unlisted",
      {{"target", *id}, {"lapsed", static_cast<std::int64_t>(lapsed)}});
  return true;
}

bool gateway_core::impl::take_entry(target_entry&& entry,
                                    const change_origin& origin) {
  const auto* known = targets_.find(entry.id);
  const bool is_older = origin.is_restored && known != nullptr &&
                        !is_later_word(entry, known->entry);
  if (is_older) {
    log("entry_outdated",
        {{"target", entry.id},
         {"draining", static_cast<std::int64_t>(known->entry.draining)},
         {"gone", static_cast<std::int64_t>(known->gone)}});
    targets_.list_again(now_, entry.id);
    return false;
  }
  const bool is_news =
      known == nullptr || known->entry.draining != entry.draining ||
      known->entry.software != entry.software || is_colder(known->entry, entry);
  if (is_news) {
    log("target_listed",
        {{"target", entry.id},
         {"service", entry.service},
         {"software", entry.software},
         {"draining", static_cast<std::int64_t>(entry.draining)},
         {"cold_left_ms", to_ms(entry.cold_left)}});
  }
  const bool is_restart = known != nullptr && known->entry.started_ms > 0 &&
                          entry.started_ms > known->entry.started_ms;
  if (is_restart) note_replaced(entry.id, "started_again");
  const bool has_other_software =
      known != nullptr && known->entry.software != entry.software;
  if (has_other_software) doubt_streams_at(entry.id);
  note_software(entry);
  targets_.list(now_, std::move(entry));
  return is_news;
}

void gateway_core::impl::accept_configuration(configuration&& news,
                                              const change_origin& origin) {
  if (config_ && news.version <= config_->version) return;
  configuration_since_ = now_;
  config_ = std::make_shared<const configuration>(std::move(news));
  do_act(action::set_limits{config_->limits});
  stop_.keep_routes_of(*config_);
  for (auto& [id, keeper] : keepers_) {
    const auto* target = targets_.find(id);
    if (target == nullptr) continue;
    const auto* service = config_->find_service(target->entry.service);
    if (service != nullptr && service->engine) {
      keeper->set_profile(*service->engine);
    }
  }
  log("configuration_accepted",
      {{"version", static_cast<std::int64_t>(config_->version)},
       {"routes", static_cast<std::int64_t>(config_->routes.size())},
       {"source", std::string(origin.source)},
       {"is_kept", static_cast<std::int64_t>(origin.is_kept)},
       {"revision", static_cast<std::int64_t>(mirror_.revision())},
       {"copy_age_ms", to_ms(copy_age())}},
      true);
}

}  // namespace seamglade::gateway
