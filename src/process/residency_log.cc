// seamglade - what a target's holder has told, and what one lacks of it
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/residency_log.h"

#include <algorithm>
#include <utility>

namespace seamglade::gateway {
namespace {

/** Adapters remembered that went; who lacks word of more is told all. */
constexpr std::size_t kMostGone = 32;
/** What is told of the requests on a place at most. */
constexpr std::uint32_t kMostRunning = 255;

bool comes_before(const adapter_place& place, adapter_hash adapter) {
  return place.adapter < adapter;
}

void put_place(std::vector<adapter_place>& places, const adapter_place& news) {
  const auto at = std::lower_bound(places.begin(), places.end(), news.adapter,
                                   comes_before);
  if (at != places.end() && at->adapter == news.adapter) {
    *at = news;
  } else {
    places.insert(at, news);
  }
}

}  // namespace

void residency_log::note(std::uint64_t fence, std::uint64_t edition,
                         const std::vector<adapter_place>& places) {
  if (fence != fence_) {
    *this = {};
    fence_ = fence;
    begin_ = edition;
  }
  const auto former = std::exchange(rows_, {});
  for (const auto& place : places) {
    const auto found = former.find(place.adapter);
    const bool same = found != former.end() &&
                      found->second.place.version == place.version &&
                      found->second.place.ready == place.ready;
    rows_[place.adapter] = {place, same ? found->second.changed : edition};
    gone_.erase(place.adapter);
  }
  for (const auto& [adapter, old] : former) {
    if (!rows_.contains(adapter)) gone_[adapter] = edition;
  }
  edition_ = edition;
  while (gone_.size() > kMostGone) {
    const auto oldest = std::min_element(
        gone_.begin(), gone_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    begin_ = std::max(begin_, oldest->second);
    gone_.erase(oldest);
  }
}

void residency_log::tell(residency_message& out,
                         const known_word& known) const {
  const bool has_base = known.fence == fence_ && known.edition >= begin_ &&
                        known.edition <= edition_ && known.edition > 0;
  out.fence = fence_;
  out.edition = edition_;
  out.since = has_base ? known.edition : 0;
  bool any_runs = false;
  for (const auto& [adapter, known_row] : rows_) {
    const auto& place = known_row.place;
    if (known_row.changed > out.since) out.places.push_back(place);
    out.running.push_back(
        static_cast<std::uint8_t>(std::min(place.running, kMostRunning)));
    any_runs = any_runs || place.running > 0;
  }
  if (!any_runs) out.running.clear();
  if (!has_base) return;
  for (const auto& [adapter, edition] : gone_) {
    if (edition > out.since) out.gone.push_back(adapter);
  }
}

bool merge_word(residency_message& known, residency_message word) {
  std::vector<adapter_place> places;
  if (word.since > 0) {
    const bool has_base = word.fence == known.fence &&
                          known.edition >= word.since &&
                          known.edition <= word.edition;
    if (!has_base) return false;
    places = known.places;
  }
  for (const auto& place : word.places) put_place(places, place);
  for (const auto adapter : word.gone) {
    std::erase_if(places,
                  [&](const auto& place) { return place.adapter == adapter; });
  }
  const bool runs = !word.running.empty();
  if (runs && word.running.size() != places.size()) return false;
  for (std::size_t i = 0; i < places.size(); ++i) {
    places[i].running = runs ? word.running[i] : 0;
  }
  word.since = 0;
  word.gone.clear();
  word.running.clear();
  word.places = std::move(places);
  known = std::move(word);
  return true;
}

const adapter_place* find_place(const std::vector<adapter_place>& places,
                                adapter_hash adapter) {
  const auto at =
      std::lower_bound(places.begin(), places.end(), adapter, comes_before);
  const bool found = at != places.end() && at->adapter == adapter;
  return found ? &*at : nullptr;
}

}  // namespace seamglade::gateway
