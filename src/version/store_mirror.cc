// seamglade - a copy of the platform's store, kept from the store and peers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "version/store_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace seamglade::gateway {
namespace {

constexpr std::size_t kRememberedDeletions = 1024;

}  // namespace

bool store_mirror::take(const store_item& item) {
  auto& known = items_[item.key];
  if (item.revision <= known.revision) return false;
  const bool was_known = known.value.has_value();
  known = {item.revision, item.value, item.revision, known.told};
  if (!item.value) deletions_.push_back(item.key);
  return item.value.has_value() || was_known;
}

bool store_mirror::has_gone(const store_item& item) const {
  const auto complete = std::min(revision_, forgotten_);
  return item.revision <= complete && !items_.contains(item.key);
}

std::vector<store_item> store_mirror::apply(const store_changes& changes) {
  std::vector<store_item> news;
  const bool is_newest = changes.whole && changes.revision >= revision_;
  for (const auto& item : changes.items) {
    if (!is_newest && has_gone(item)) continue;
    if (take(item)) news.push_back(item);
  }
  if (changes.whole) {
    std::set<std::string_view> present;
    for (const auto& item : changes.items) present.insert(item.key);
    for (auto& [key, known] : items_) {
      const bool gone = known.value && known.revision <= changes.revision &&
                        !present.contains(key);
      if (!gone) continue;
      known = {changes.revision, std::nullopt, changes.revision, known.told};
      deletions_.push_back(key);
      news.push_back({key, changes.revision, std::nullopt});
    }
    // Deletions that the sender no longer remembered are not known here.
    forgotten_ = std::max(forgotten_, changes.revision);
  }
  revision_ = std::max(revision_, changes.revision);
  forget_old_deletions();
  return news;
}

store_mirror::replacement store_mirror::replace(const store_changes& whole) {
  const auto before = std::exchange(items_, {});
  deletions_.clear();
  epoch_ = whole.epoch;
  revision_ = whole.revision;
  forgotten_ = whole.revision;
  replacement out;
  for (const auto& item : whole.items) {
    items_[item.key] = {item.revision, item.value, item.revision, 0};
    const auto known = before.find(item.key);
    const bool is_known =
        known != before.end() && known->second.value == item.value;
    if (!is_known) out.news.push_back(item);
  }
  for (const auto& [key, known] : before) {
    if (!known.value) continue;
    const auto now = items_.find(key);
    if (now == items_.end()) {
      out.news.push_back({key, whole.revision, std::nullopt});
    } else if (now->second.value == known.value) {
      continue;
    }
    out.lost.push_back({key, known.revision, known.value});
  }
  return out;
}

bool store_mirror::contains(std::string_view key) const {
  const auto found = items_.find(key);
  return found != items_.end() && found->second.value.has_value();
}

std::size_t store_mirror::outdated(const store_changes& changes) const {
  return static_cast<std::size_t>(std::count_if(
      changes.items.begin(), changes.items.end(), [&](const auto& item) {
        const auto found = items_.find(item.key);
        return found != items_.end() && item.revision < found->second.revision;
      }));
}

void store_mirror::keep_quiet(std::string_view key) {
  const auto found = items_.find(key);
  if (found != items_.end()) found->second.told = found->second.told_before;
}

void store_mirror::forget_old_deletions() {
  while (deletions_.size() > kRememberedDeletions) {
    const auto found = items_.find(deletions_.front());
    deletions_.pop_front();
    if (found == items_.end() || found->second.value) continue;
    forgotten_ = std::max(forgotten_, found->second.revision);
    items_.erase(found);
  }
}

store_changes store_mirror::changes_after(std::uint64_t revision,
                                          const known_item& is_known) const {
  store_changes out;
  out.epoch = epoch_;
  out.revision = revision_;
  out.whole = revision < forgotten_;
  for (const auto& [key, known] : items_) {
    if (out.whole ? !known.value.has_value() : known.told <= revision) {
      continue;
    }
    // A whole copy deletes what it lacks, so nothing is left out of one.
    if (!out.whole && is_known && is_known(key, known.revision)) continue;
    out.items.push_back({key, known.revision, known.value});
  }
  return out;
}

}  // namespace seamglade::gateway
