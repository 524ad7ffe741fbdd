// seamglade - notices that a failure domain has fallen silent as a whole
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/domain_watch.h"

#include <algorithm>
#include <cmath>

namespace seamglade::gateway {
namespace {

/** A first byte is never overdue sooner: a collected pause is no failure. */
constexpr duration kLeastBound = 250ms;
/** ... and this late before anything was learned, as TCP's first timeout. */
constexpr duration kFirstBound = 1s;
/** Gains and the number of deviations are those of TCP's timer (RFC 6298). */
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviations = 4;
/** Where all take the same time the deviation is nothing. */
constexpr double kMeanSlack = 0.25;

/** Sources that must be silent together. */
constexpr std::size_t kLeastSources = 3;
/** There was no sign of life for so long. */
constexpr duration kSilence = 200ms;
/** Nobody is probed sooner: word of life is mostly on its way by itself. */
constexpr duration kAskAfter = 100ms;
/** Calls of this time tell whether most is unanswered. */
constexpr duration kRecentCalls = 500ms;
/** Members there answer in this time; the probe is repeated half way. */
constexpr duration kRound = 130ms;
constexpr duration kRoundPause = 200ms;
/** A sign of life from elsewhere is as young: else the fault may be here. */
constexpr duration kElsewhere = 1s;
/** A suspicion lasts so long from what last renewed it. */
constexpr duration kSuspicion = 700ms;
/** A suspect domain is tried by one request this often. */
constexpr duration kTrialPause = 2s;
/** Silence of a target counts so long: more than a trial and its failure. */
constexpr duration kEvidenceLife = 4s;

double as_us(duration time) { return static_cast<double>(time.count()); }

}  // namespace

void wait_estimate::learn(duration took) {
  if (!mean_) {
    mean_ = as_us(took);
    deviation_ = *mean_ / 2;
    return;
  }
  const auto error = as_us(took) - *mean_;
  deviation_ += kDeviationGain * (std::abs(error) - deviation_);
  *mean_ += kMeanGain * error;
}

duration wait_estimate::bound() const {
  if (!mean_) return kFirstBound;
  const auto late = *mean_ * (1 + kMeanSlack) + kDeviations * deviation_;
  return std::max(kLeastBound, duration(static_cast<std::int64_t>(late)));
}

void domain_watch::called(time_point now, domain_key domain,
                          std::uint64_t target, std::uint64_t call,
                          duration bound) {
  calls_[call] = {domain, target, now, now + bound};
  domains_[domain].last_called = now;
}

std::optional<duration> domain_watch::answered(time_point now,
                                               std::uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return std::nullopt;
  if (std::exchange(found->second.is_answered, true)) return std::nullopt;
  return now - found->second.asked;
}

void domain_watch::failed(time_point now, std::uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end() || found->second.is_answered) return;
  auto& known = found->second;
  if (std::exchange(known.is_counted, true)) return;
  silent(now, known.domain, {silent_source::kind::target, known.target});
}

void domain_watch::silent(time_point now, domain_key domain,
                          silent_source source) {
  auto& known = domains_[domain];
  known.evidence[source] = now;
  known.last_evidence = now;
}

void domain_watch::dropped(std::uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const auto& known = found->second;
  if (!known.is_answered && !known.is_counted) calls_.erase(found);
}

std::optional<duration> domain_watch::lived(time_point now, domain_key domain,
                                            bool is_member) {
  auto& known = domains_[domain];
  known.lived = now;
  if (is_member) known.member_lived = now;
  known.evidence.clear();
  known.under_way.reset();
  known.is_probed = false;
  if (!known.suspect_since) return std::nullopt;
  const auto since = *known.suspect_since;
  known.suspect_since.reset();
  --suspects_;
  return now - since;
}

void domain_watch::note_overdue(time_point now) {
  for (auto& [id, known] : calls_) {
    if (known.is_answered || now < known.due) continue;
    if (std::exchange(known.is_counted, true)) continue;
    silent(now, known.domain, {silent_source::kind::target, known.target});
  }
  std::erase_if(calls_, [&](const auto& pair) {
    const auto& known = pair.second;
    const bool is_decided = known.is_answered || known.is_counted;
    return is_decided && now - known.asked > kRecentCalls;
  });
}

void domain_watch::end_round(time_point now, record& known) {
  for (const auto member : known.under_way->members) {
    known.evidence[{silent_source::kind::member, member}] = now;
  }
  known.had_elsewhere = known.under_way->has_elsewhere;
  known.last_round = known.under_way->started;
  known.is_probed = true;
  known.under_way.reset();
}

bool domain_watch::is_most_unanswered(time_point now, domain_key domain) const {
  std::size_t all = 0;
  std::size_t answered = 0;
  for (const auto& [id, known] : calls_) {
    if (known.domain != domain || now - known.asked > kRecentCalls) continue;
    ++all;
    if (known.is_answered) ++answered;
  }
  return answered * 2 <= all;
}

bool domain_watch::is_elsewhere_alive(time_point now, domain_key domain,
                                      const record& known) const {
  return std::any_of(domains_.begin(), domains_.end(), [&](const auto& pair) {
    if (pair.first == domain || pair.second.suspect_since) return false;
    // Targets may live on where this instance hears no other: then it is the
    // one that is cut off.
    if (known.had_elsewhere) return pair.second.member_lived > known.last_round;
    return now - pair.second.lived < kElsewhere;
  });
}

bool domain_watch::is_believable(time_point now, domain_key domain,
                                 const record& known) const {
  if (!known.is_probed || known.evidence.size() < kLeastSources) return false;
  if (now - known.lived < kSilence) return false;
  // Members alone may be silent for a reason of their own.
  const bool has_target = std::any_of(
      known.evidence.begin(), known.evidence.end(), [](const auto& pair) {
        return pair.first.what != silent_source::kind::member;
      });
  return has_target && is_elsewhere_alive(now, domain, known) &&
         (known.suspect_since || is_most_unanswered(now, domain));
}

void domain_watch::look_at(time_point now, domain_key domain, record& known,
                           findings& out) {
  std::erase_if(known.evidence, [&](const auto& pair) {
    return now - pair.second > kEvidenceLife;
  });
  if (known.under_way) {
    const auto lasted = now - known.under_way->started;
    if (lasted >= kRound) {
      end_round(now, known);
    } else if (lasted >= kRound / 2 &&
               !std::exchange(known.under_way->is_repeated, true)) {
      out.probe_again.push_back(domain);
    }
  }
  const bool asks = !known.under_way && !known.evidence.empty() &&
                    now - known.lived >= kAskAfter &&
                    now - known.last_evidence <= kEvidenceLife &&
                    now - known.last_round >= kRoundPause;
  if (asks) out.probe.push_back(domain);
  if (is_believable(now, domain, known)) {
    known.suspect_until = now + kSuspicion;
    if (known.suspect_since) return;
    known.suspect_since = now;
    ++suspects_;
    const auto& evidence = known.evidence;
    const bool is_first_hand =
        evidence.begin()->first.what == silent_source::kind::target;
    // Where nothing was ever heard, the silence counts from the evidence.
    const auto since =
        known.lived == time_point{} ? evidence.begin()->second : known.lived;
    out.suspected.push_back(
        {domain, evidence.size(), now - since, is_first_hand});
  } else if (known.suspect_since && now >= known.suspect_until) {
    out.lapsed.push_back({domain, now - *known.suspect_since});
    known.suspect_since.reset();
    --suspects_;
  }
}

domain_watch::findings domain_watch::look(time_point now,
                                          std::size_t known_domains) {
  findings out;
  note_overdue(now);
  for (auto& [domain, known] : domains_) look_at(now, domain, known, out);
  // Where most of what there is seems lost, the fault is more likely here.
  if (suspects_ * 2 > known_domains) drop_all(now, out);
  return out;
}

void domain_watch::drop_all(time_point now, findings& out) {
  out.suspected.clear();
  for (auto& [domain, known] : domains_) {
    const auto since = std::exchange(known.suspect_since, std::nullopt);
    known.evidence.clear();
    known.is_probed = false;
    if (since && *since < now) out.lapsed.push_back({domain, now - *since});
  }
  suspects_ = 0;
}

void domain_watch::probed(time_point now, domain_key domain,
                          std::vector<std::uint64_t> members,
                          bool has_elsewhere) {
  auto& known = domains_[domain];
  known.under_way = round{now, std::move(members), has_elsewhere};
}

std::vector<std::uint64_t> domain_watch::round_members(
    domain_key domain) const {
  const auto found = domains_.find(domain);
  if (found == domains_.end() || !found->second.under_way) return {};
  return found->second.under_way->members;
}

bool domain_watch::is_suspect(domain_key domain) const {
  const auto found = domains_.find(domain);
  return found != domains_.end() && found->second.suspect_since;
}

bool domain_watch::is_trial_due(time_point now, domain_key domain) const {
  const auto found = domains_.find(domain);
  if (found == domains_.end() || !found->second.suspect_since) return false;
  return now - found->second.last_called >= kTrialPause;
}

void domain_watch::reset() {
  calls_.clear();
  for (auto& [domain, known] : domains_) {
    known.evidence.clear();
    known.under_way.reset();
    known.is_probed = false;
  }
}

}  // namespace seamglade::gateway
