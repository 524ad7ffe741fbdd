// seamglade - requests that ended the targets they ran on, and are run no more
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/quarantine.h"

#include <algorithm>

namespace seamglade::gateway {
namespace {

/**
 * Ends after which a request is refused. A single one has too many witnesses:
 * an engine runs dozens of requests that all break with it.
 */
constexpr std::size_t kEndsAllowed = 2;
/** A refusal lasts so long, and twice as long after each further end. */
constexpr duration kRefusal = 10min;
/** A request that was there at one end only is remembered so long. */
constexpr duration kRemembered = 10min;
/** More ends of one request than these are not told apart. */
constexpr std::size_t kMostEnds = 8;
/**
 * Two instances see the same end at different times, and tell its age: a target
 * is not back and ended anew within this.
 */
constexpr duration kSameEnd = 1s;
/**
 * Records at most: 100 KB. A fifth of 780 targets with 16 requests each that
 * end at once leave 2,500 that were there once; of those the oldest are
 * dropped.
 */
constexpr std::size_t kMostRecords = 512;

}  // namespace

bool quarantine::add_end(record& to, target_hash target, time_point at) {
  if (to.answered && at <= *to.answered) return false;
  const bool is_known =
      std::any_of(to.ends.begin(), to.ends.end(), [&](const auto& known) {
        return known.target == target &&
               std::max(known.at - at, at - known.at) < kSameEnd;
      });
  if (is_known) return false;
  // One older than all that are kept would be news each time it is told.
  const bool is_full = to.ends.size() >= kMostEnds;
  if (is_full && at <= to.ends.front().at) return false;
  const auto place = std::upper_bound(
      to.ends.begin(), to.ends.end(), at,
      [](time_point when, const end_of_target& end) { return when < end.at; });
  to.ends.insert(place, {target, at});
  if (to.ends.size() > kMostEnds) to.ends.erase(to.ends.begin());
  return true;
}

bool quarantine::add_answer(record& to, time_point at) {
  if (to.answered && at <= *to.answered) return false;
  to.answered = at;
  const auto before = to.ends.size();
  std::erase_if(to.ends, [at](const auto& end) { return end.at <= at; });
  return to.ends.size() != before;
}

bool quarantine::note_end(time_point now, const request_fingerprint& request,
                          target_hash target) {
  if (!records_.contains(request)) make_room();
  return add_end(records_[request], target, now);
}

bool quarantine::note_answer(time_point now,
                             const request_fingerprint& request) {
  const auto found = records_.find(request);
  return found != records_.end() && add_answer(found->second, now);
}

bool quarantine::take(time_point now, const blame_row& row) {
  if (!records_.contains(row.request)) make_room();
  auto& known = records_[row.request];
  bool is_news = false;
  if (row.answered_age) {
    is_news = add_answer(known, now - std::max(duration{}, *row.answered_age));
  }
  for (const auto& end : row.ends) {
    const auto at = now - std::max(duration{}, end.age);
    is_news = add_end(known, end.target, at) || is_news;
  }
  return is_news;
}

duration quarantine::refusal_of(const record& of) {
  if (of.ends.size() < kEndsAllowed) return {};
  return kRefusal * (1 << (of.ends.size() - kEndsAllowed));
}

time_point quarantine::forgotten_at(const record& of) {
  auto last = of.answered.value_or(time_point{});
  if (!of.ends.empty()) last = std::max(last, of.ends.back().at);
  // Twice the refusal: one more end after it counts with those before.
  return last + std::max(kRemembered, 2 * refusal_of(of));
}

std::optional<duration> quarantine::refused_for(
    time_point now, const request_fingerprint& request) const {
  const auto found = records_.find(request);
  if (found == records_.end()) return std::nullopt;
  const auto& known = found->second;
  if (known.ends.size() < kEndsAllowed) return std::nullopt;
  const auto left = known.ends.back().at + refusal_of(known) - now;
  return left > duration{} ? std::optional(left) : std::nullopt;
}

bool quarantine::is_blamed(const request_fingerprint& request) const {
  const auto found = records_.find(request);
  return found != records_.end() && !found->second.ends.empty();
}

blame_row quarantine::row_of(time_point now,
                             const request_fingerprint& request) const {
  blame_row out;
  out.request = request;
  const auto found = records_.find(request);
  if (found == records_.end()) return out;
  for (const auto& end : found->second.ends) {
    out.ends.push_back({end.target, now - end.at});
  }
  if (found->second.answered) out.answered_age = now - *found->second.answered;
  return out;
}

std::vector<blame_row> quarantine::next_rows(time_point now, std::size_t most) {
  std::vector<blame_row> out;
  auto at = records_.upper_bound(last_told_);
  for (std::size_t i = 0; i < records_.size() && out.size() < most; ++i, ++at) {
    if (at == records_.end()) at = records_.begin();
    if (!refused_for(now, at->first)) continue;
    out.push_back(row_of(now, at->first));
    last_told_ = at->first;
  }
  return out;
}

void quarantine::expire(time_point now) {
  std::erase_if(records_, [now](const auto& pair) {
    return now >= forgotten_at(pair.second);
  });
}

std::size_t quarantine::refused(time_point now) const {
  const auto count =
      std::count_if(records_.begin(), records_.end(), [&](const auto& pair) {
        return refused_for(now, pair.first).has_value();
      });
  return static_cast<std::size_t>(count);
}

void quarantine::make_room() {
  if (records_.size() < kMostRecords) return;
  // Whoever fills the table with new requests that end targets once does not
  // free one that ended more.
  const auto least = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.ends.size(), forgotten_at(a.second)) <
               std::pair(b.second.ends.size(), forgotten_at(b.second));
      });
  records_.erase(least);
}

}  // namespace seamglade::gateway
