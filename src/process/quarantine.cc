// seamglade - requests that ended the targets they ran on, and are run no more
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/quarantine.h"

#include <algorithm>
#include <utility>

namespace seamglade::gateway {
namespace {

/** What it takes to refuse one, and for how long. */
struct verdict_rule {
  /** Ends since it was last proven. */
  std::size_t ends = 0;
  /** Time from the first of them to the last. */
  duration span{};
  /** A refusal lasts so long, and twice as long after each further end. */
  duration refusal{};
  /** One request is tried so long after the last end. */
  duration trial_after{};
};

/**
 * A single end has too many witnesses: an engine runs dozens of requests that
 * all break with it.
 */
constexpr verdict_rule kContentRule{2, duration{}, 10min, 10s};
/**
 * All requests of a route share a part: in this time some of them pass events
 * on. A wrong verdict refuses many, so it lasts less.
 */
constexpr verdict_rule kPartRule{3, 1500ms, 2min, 30s};
/**
 * Word of who else was at an end has come by then: a part that others share is
 * judged after those behind it in the prompt.
 */
constexpr duration kTold = 100ms;
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
 * Ends within this of the first of them are one moment: of a content that was
 * answered shortly before they count once.
 */
constexpr duration kOneMoment = 1s;
/** What nothing has answered is tried again where all ends are within this. */
constexpr duration kAtOnce = 200ms;
/** Contents whose last whole answer is remembered: twice this, at most. */
constexpr std::size_t kMostProofs = 256;
/**
 * Records at most: 100 KB. A fifth of 780 targets with 16 requests each that
 * end at once leave 2,500 that were there once; of those the oldest are
 * dropped.
 */
constexpr std::size_t kMostRecords = 512;

constexpr const verdict_rule& rule_of(const request_fingerprint& request) {
  return request.is_part() ? kPartRule : kContentRule;
}

}  // namespace

bool quarantine::is_same(const end_of_target& one, const end_of_target& other) {
  return one.target == other.target &&
         std::max(one.at - other.at, other.at - one.at) < kSameEnd;
}

bool quarantine::add_end(record& to, const end_of_target& end) {
  const auto at = end.at;
  if (to.answered && at <= *to.answered) return false;
  const bool is_known =
      std::any_of(to.ends.begin(), to.ends.end(),
                  [&](const auto& known) { return is_same(known, end); });
  if (is_known) return false;
  // One older than all that are kept would be news each time it is told.
  to.since = to.ends.empty() ? at : std::min(to.since, at);
  const bool is_full = to.ends.size() >= kMostEnds;
  if (is_full && at <= to.ends.front().at) return false;
  const auto place =
      std::upper_bound(to.ends.begin(), to.ends.end(), at,
                       [](time_point when, const end_of_target& kept) {
                         return when < kept.at;
                       });
  to.ends.insert(place, end);
  if (to.ends.size() > kMostEnds) to.ends.erase(to.ends.begin());
  return true;
}

bool quarantine::add_answer(record& to, time_point at) {
  if (to.answered && at <= *to.answered) return false;
  to.answered = at;
  const auto before = to.ends.size();
  std::erase_if(to.ends, [at](const auto& end) { return end.at <= at; });
  if (to.since <= at && !to.ends.empty()) to.since = to.ends.front().at;
  to.is_told_refused = to.is_told_refused && !to.ends.empty();
  return to.ends.size() != before;
}

quarantine::record& quarantine::record_of(const request_fingerprint& request) {
  if (!records_.contains(request)) make_room();
  auto& known = records_[request];
  if (const auto proof = proof_of(request)) add_answer(known, *proof);
  return known;
}

void quarantine::note_proof(time_point at, const request_fingerprint& request) {
  proofs_[request] = at;
  if (proofs_.size() < kMostProofs) return;
  older_proofs_ = std::exchange(proofs_, {});
}

std::optional<time_point> quarantine::proof_of(
    const request_fingerprint& request) const {
  for (const auto* table : {&proofs_, &older_proofs_}) {
    const auto found = table->find(request);
    if (found != table->end()) return found->second;
  }
  return std::nullopt;
}

bool quarantine::knows_proof_against(const blame_row& row) const {
  return !row.answered_age && row.ends.size() >= rule_of(row.request).ends &&
         proof_of(row.request);
}

bool quarantine::note_end(time_point now, const request_fingerprint& request,
                          target_hash target, time_point ended) {
  return add_end(record_of(request), {target, ended, now});
}

bool quarantine::note_answer(time_point at,
                             const request_fingerprint& request) {
  if (!request.is_part()) note_proof(at, request);
  const auto found = records_.find(request);
  return found != records_.end() && add_answer(found->second, at);
}

bool quarantine::take(time_point now, const blame_row& row) {
  auto& known = record_of(row.request);
  bool is_news = false;
  if (row.answered_age) {
    is_news = add_answer(known, now - std::max(duration{}, *row.answered_age));
  }
  for (const auto& end : row.ends) {
    const auto at = now - std::max(duration{}, end.age);
    is_news = add_end(known, {end.target, at, now}) || is_news;
  }
  return is_news;
}

duration quarantine::refusal_of(const request_fingerprint& request,
                                const record& of) {
  const auto& rule = rule_of(request);
  const auto ends = counted_ends(request, of);
  if (ends < rule.ends) return {};
  if (of.ends.back().at - of.since < rule.span) return {};
  return rule.refusal * (1 << (ends - rule.ends));
}

std::size_t quarantine::counted_ends(const request_fingerprint& request,
                                     const record& of) {
  const bool is_proven = !request.is_part() && of.answered &&
                         of.since - *of.answered < kRemembered;
  return is_proven ? moments_of(of) : of.ends.size();
}

std::size_t quarantine::moments_of(const record& of) {
  std::size_t moments = 0;
  time_point first{};
  for (const auto& end : of.ends) {
    // Not from end to end: a series of any length would be one moment.
    if (moments > 0 && end.at - first <= kOneMoment) continue;
    ++moments;
    first = end.at;
  }
  return moments;
}

quarantine::record quarantine::unexplained(time_point now,
                                           const request_fingerprint& part,
                                           const record& of) const {
  auto out = of;
  const auto explained = std::erase_if(
      out.ends, [&](const auto& end) { return is_explained(now, part, end); });
  if (explained > 0 && !out.ends.empty()) out.since = out.ends.front().at;
  // The first end stands, also where it is no longer kept.
  std::erase_if(out.ends,
                [&](const auto& end) { return now - end.heard < kTold; });
  return out;
}

bool quarantine::is_explained(time_point now, const request_fingerprint& part,
                              const end_of_target& end) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& pair) {
    const auto& [other, known] = pair;
    if (other.part <= part.part || other.caller != part.caller) return false;
    if (refusal_of(other, known) == duration{}) return false;
    const bool was_there =
        std::any_of(known.ends.begin(), known.ends.end(),
                    [&](const auto& its) { return is_same(its, end); });
    return was_there && refused_for(now, other);
  });
}

time_point quarantine::forgotten_at(const request_fingerprint& request,
                                    const record& of) {
  auto last = of.answered.value_or(time_point{});
  if (!of.ends.empty()) last = std::max(last, of.ends.back().at);
  // Twice the refusal: one more end after it counts with those before.
  return last + std::max(kRemembered, 2 * refusal_of(request, of));
}

std::optional<duration> quarantine::refused_for(
    time_point now, const request_fingerprint& request) const {
  const auto found = records_.find(request);
  if (found == records_.end()) return std::nullopt;
  const auto& known = found->second;
  auto refusal = refusal_of(request, known);
  // Costly, so only for parts that would be refused otherwise.
  if (refusal > duration{} && request.is_part()) {
    refusal = refusal_of(request, unexplained(now, request, known));
  }
  if (refusal == duration{}) return std::nullopt;
  const auto left = known.ends.back().at + refusal - now;
  return left > duration{} ? std::optional(left) : std::nullopt;
}

std::vector<request_fingerprint> quarantine::newly_refused_parts(
    time_point now) {
  std::vector<request_fingerprint> out;
  for (auto& [request, known] : records_) {
    if (!request.is_part() || known.is_told_refused) continue;
    if (!refused_for(now, request)) continue;
    known.is_told_refused = true;
    out.push_back(request);
  }
  return out;
}

bool quarantine::take_trial(time_point now,
                            const request_fingerprint& request) {
  const auto found = records_.find(request);
  if (found == records_.end() || found->second.ends.empty()) return false;
  auto& known = found->second;
  // Of a content, ends of several moments speak for themselves.
  const auto span = known.ends.back().at - known.since;
  const bool may_be = request.is_part() ? !known.tried : span <= kAtOnce;
  if (!may_be) return false;
  const auto since =
      std::max(known.ends.back().at, known.tried.value_or(time_point{}));
  if (now < since + rule_of(request).trial_after) return false;
  known.tried = now;
  return true;
}

bool quarantine::is_blamed(const request_fingerprint& request) const {
  const auto found = records_.find(request);
  if (found == records_.end()) return false;
  return found->second.ends.size() + 1 >= rule_of(request).ends;
}

std::size_t quarantine::ends_of(const request_fingerprint& request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.ends.size();
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
    return now >= forgotten_at(pair.first, pair.second);
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
        return std::pair(a.second.ends.size(),
                         forgotten_at(a.first, a.second)) <
               std::pair(b.second.ends.size(), forgotten_at(b.first, b.second));
      });
  records_.erase(least);
}

}  // namespace seamglade::gateway
