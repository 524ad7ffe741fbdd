// seamglade - the living instances, known by seeds and gossip
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/roster.h"

#include <algorithm>
#include <bit>

namespace seamglade::gateway {
namespace {

/** Up to this many others, every heartbeat goes to everyone. */
constexpr std::size_t kFullMesh = 12;
constexpr std::size_t kFanout = 3;
/** Of these, one goes anywhere; the rest stay in the failure domain. */
constexpr std::size_t kFarFanout = 1;
constexpr std::size_t kSampleRows = 20;
/** Rows of one datagram at most; 32 bytes each. */
constexpr std::size_t kMostRows = 400;
/** Silence after which a member counts as gone, in a full mesh. */
constexpr duration kPatience = 1300ms;
/** Heartbeats at a time while this instance doubts its own links. */
constexpr std::size_t kDoubtFanout = 8;
/** After so long the others are believed to be gone, not this one cut off. */
constexpr duration kLongestDoubt = 6s;
/**
 * A suspicion may be denied for so long, for each doubling of the fleet: word
 * of it and of its denial take about two rounds of heartbeats for three
 * doublings.
 */
constexpr duration kDenialStep = 200ms;
/** News of a member is told so often for each doubling of the fleet. */
constexpr unsigned kTellingsPart = 1;
/** Rows that are news in one message, and rows in all at least. */
constexpr std::size_t kNewsRows = 16;
constexpr std::size_t kLeastRows = 4;
/**
 * More rows for each member that the receiver does not know: after a start of
 * all at once each knows a few.
 */
constexpr std::size_t kRowsForUnknown = 50;
constexpr std::size_t kRowsForNew = 100;
/** A silent member counts for the question of isolation this long. */
constexpr duration kCounted = 6s;
/** Alone, an instance waits longer until it believes the others gone. */
constexpr duration kCountedAlone = 12s;
constexpr duration kForgotten = 60s;
/** One only heard of counts as silent for this long. */
constexpr duration kUnheard = 20s;
static_assert(kUnheard > kCountedAlone && kUnheard < kForgotten / 2);
/** Seeds that are not members are tried again every so many beats. */
constexpr unsigned kSeedBeats = 4;

}  // namespace

roster::roster(roster_options options)
    : options_(std::move(options)), random_(options_.random_seed) {}

void roster::set_seeds(std::vector<member_address> seeds) {
  options_.seeds = std::move(seeds);
  beats_until_seed_ = 0;
}

std::vector<member_address> roster::merge(time_point now, member_address from,
                                          const std::vector<member_row>& rows) {
  std::vector<member_address> newcomers;
  for (const auto& row : rows) {
    if (row.address == options_.self) {
      take_own_row(row);
    } else {
      take_row(now, from, row, newcomers);
    }
  }
  answered(now, from);
  return newcomers;
}

void roster::take_own_row(const member_row& row) {
  // Another life of this instance is remembered: outdo it.
  if (row.incarnation > options_.incarnation) {
    options_.incarnation = row.incarnation + 1;
    must_deny_ = true;
    return;
  }
  const bool accused = row.incarnation == options_.incarnation &&
                       row.standing != member_standing::alive &&
                       row.beat >= beat_;
  if (!accused) return;
  beat_ = row.beat + 1;
  must_deny_ = true;
}

void roster::take_row(time_point now, member_address from,
                      const member_row& row,
                      std::vector<member_address>& newcomers) {
  const bool is_known = members_.contains(row.address);
  // One that is gone before it was met is not worth to be known.
  if (!is_known && row.standing == member_standing::gone) return;
  auto& known = members_[row.address];
  if (!is_known) {
    known.row = row;
    known.tellings = tellings();
    known.silent_since = now;
    last_met_ = now;
    if (!first_met_) first_met_ = now;
    newcomers.push_back(row.address);
    // Hearsay of an unknown member is no sign of life by itself, and its
    // silence none of being cut off.
    known.heard = row.address == from ? now : now - kUnheard;
    return;
  }
  const bool newer_life = row.incarnation > known.row.incarnation;
  const bool same_life = row.incarnation == known.row.incarnation;
  const bool newer_beat = same_life && row.beat > known.row.beat;
  const bool worse = same_life && row.beat == known.row.beat &&
                     row.standing > known.row.standing;
  if (!newer_life && !newer_beat && !worse) return;
  if (newer_life) newcomers.push_back(row.address);
  const auto standing = std::exchange(known.row, row).standing;
  known.row.standing = standing;
  set_standing(now, known, row.standing);
  known.tellings = tellings();
  if (row.standing == member_standing::alive) known.heard = now;
}

void roster::set_standing(time_point now, member_state& known,
                          member_standing standing) {
  const bool was_alive = known.row.standing == member_standing::alive;
  if (standing == known.row.standing) return;
  if (was_alive) known.silent_since = now;
  known.row.standing = standing;
  known.tellings = tellings();
}

void roster::answered(time_point now, member_address who) {
  probes_.answered(who);
  if (!unanswered_.empty()) unanswered_.erase(region_of(who));
  const auto found = members_.find(who);
  if (found == members_.end()) return;
  const bool is_accused = found->second.row.standing != member_standing::alive;
  // Where beats do not rise, any message is a sign of life.
  if (is_large() && !is_accused) found->second.heard = now;
}

void roster::beat(time_point now) {
  if (!is_large()) ++beat_;
  if (!started_) started_ = now;
  std::erase_if(members_, [&](const auto& pair) {
    const auto& known = pair.second;
    if (is_large() && known.row.standing != member_standing::gone) return false;
    return now - known.heard > kForgotten;
  });
}

void roster::set_cut_off(bool cut_off) {
  if (std::exchange(cut_off_, cut_off) != cut_off) ++beat_;
}

bool roster::is_cut_off(member_address who) const {
  if (who == options_.self) return cut_off_;
  const auto found = members_.find(who);
  return found != members_.end() && found->second.row.cut_off;
}

void roster::leave() {
  leaving_ = true;
  ++beat_;
}

std::vector<member_address> roster::heartbeat_targets(time_point now) {
  std::vector<member_address> targets;
  std::vector<member_address> gone;
  for (const auto& [address, known] : members_) {
    if (is_large() ? is_alive(now, known)
                   : now - known.heard < kForgotten / 2) {
      targets.push_back(address);
    } else if (now - known.silent_since < kForgotten / 2) {
      gone.push_back(address);
    }
  }
  if (targets.size() > kFullMesh) {
    std::shuffle(targets.begin(), targets.end(), random_);
    // News of the store travels with heartbeats: most of it stays near.
    if (options_.regions.has_several()) {
      order_by_distance(targets);
    } else {
      std::stable_partition(
          targets.begin() + kFarFanout, targets.end(),
          [this](member_address who) { return is_in_my_domain(who); });
    }
    const auto all = targets;
    targets.resize(probes_.is_in_doubt()
                       ? std::min(kDoubtFanout, targets.size())
                       : kFanout);
    if (!unanswered_.empty()) add_unanswering(all, targets);
  }
  // Two parts of a fleet that were cut from each other meet again.
  if (is_large() && !gone.empty()) {
    targets.push_back(gone[random_() % gone.size()]);
  }
  const bool alone = targets.empty();
  if (alone || beats_until_seed_ == 0) {
    beats_until_seed_ = kSeedBeats;
    for (const auto seed : options_.seeds) {
      if (seed == options_.self || is_alive(now, seed)) continue;
      if (std::find(targets.begin(), targets.end(), seed) == targets.end()) {
        targets.push_back(seed);
      }
    }
  }
  --beats_until_seed_;
  if (is_large()) {
    for (const auto to : targets) {
      if (is_alive(now, to)) probes_.sent(now, to);
    }
  }
  return targets;
}

std::vector<member_row> roster::news_rows() {
  std::vector<member_state*> news;
  for (auto& [address, known] : members_) {
    if (known.tellings > 0) news.push_back(&known);
  }
  const auto count = std::min(kNewsRows, news.size());
  std::partial_sort(
      news.begin(), news.begin() + static_cast<std::ptrdiff_t>(count),
      news.end(),
      [](const auto* a, const auto* b) { return a->tellings > b->tellings; });
  news.resize(count);
  std::vector<member_row> rows;
  for (auto* known : news) {
    --known->tellings;
    rows.push_back(known->row);
  }
  return rows;
}

std::vector<member_row> roster::sample(member_address to,
                                       std::size_t known_there) {
  std::vector<member_row> rows{own_row()};
  if (members_.empty()) return rows;
  auto wanted = kSampleRows;
  if (is_large()) {
    const auto receiver = members_.find(to);
    const bool is_accused =
        receiver != members_.end() &&
        receiver->second.row.standing != member_standing::alive;
    if (is_accused) rows.push_back(receiver->second.row);
    const auto news = news_rows();
    rows.insert(rows.end(), news.begin(), news.end());
    const auto unknown = present() - std::min(present(), known_there);
    wanted = kLeastRows + std::min(kRowsForNew, kRowsForUnknown * unknown);
  }
  const auto count =
      std::min(wanted - std::min(wanted, rows.size() - 1), members_.size());
  auto at = members_.begin();
  std::advance(at, static_cast<long>(next_sample_ % members_.size()));
  for (std::size_t i = 0; i < count; ++i) {
    rows.push_back(at->second.row);
    if (++at == members_.end()) at = members_.begin();
  }
  next_sample_ += count;
  return rows;
}

roster::probe_step roster::check_probes(time_point now) {
  probe_step out;
  const auto due = probes_.overdue(now);
  if (!is_large()) return out;
  for (const auto subject : due.ask_others) {
    if (note_unanswered(subject)) out.is_urgent = true;
    for (const auto helper : helpers(subject)) {
      out.ask_others.push_back({helper, subject});
    }
  }
  // Where most probes fail the fault may be here: nobody is accused, unless it
  // goes on so long that the others must be gone.
  const auto doubt = probes_.doubt_since();
  const bool accuses = !doubt || now - *doubt > kLongestDoubt;
  for (const auto subject : due.failed) {
    const auto found = members_.find(subject);
    if (!accuses || found == members_.end()) continue;
    auto& known = found->second;
    if (known.row.standing != member_standing::alive) continue;
    set_standing(now, known, member_standing::suspect);
    out.accuse.push_back(subject);
  }
  for (auto& [address, known] : members_) {
    const bool is_over = known.row.standing == member_standing::suspect &&
                         now - known.silent_since > denial_time();
    if (is_over) set_standing(now, known, member_standing::gone);
  }
  return out;
}

std::size_t roster::present() const {
  const auto gone =
      std::count_if(members_.begin(), members_.end(), [](const auto& pair) {
        return pair.second.row.standing == member_standing::gone;
      });
  return size() - static_cast<std::size_t>(gone);
}

duration roster::denial_time() const {
  return kDenialStep * std::bit_width(size());
}

unsigned roster::tellings() const {
  return kTellingsPart * static_cast<unsigned>(std::bit_width(size()));
}

std::vector<member_row> roster::all_rows() const {
  std::vector<member_row> rows{own_row()};
  for (const auto& [address, known] : members_) {
    if (rows.size() >= kMostRows) break;
    rows.push_back(known.row);
  }
  return rows;
}

member_row roster::own_row() const {
  return {options_.self, options_.domain, options_.incarnation,
          beat_,         leaving_,        member_standing::alive,
          cut_off_};
}

duration roster::patience() const {
  if (!is_large()) return kPatience;
  return 2 * probe_log::kAnswerTime + denial_time();
}

bool roster::is_large() const { return members_.size() > kFullMesh; }

bool roster::is_alive(time_point now, const member_state& known) const {
  if (known.row.standing == member_standing::gone) return false;
  return is_large() || now - known.heard < kPatience;
}

bool roster::is_alive(time_point now, member_address who) const {
  if (who == options_.self) return true;
  const auto found = members_.find(who);
  return found != members_.end() && is_alive(now, found->second);
}

std::vector<member_address> roster::alive(time_point now) const {
  std::vector<member_address> out{options_.self};
  for (const auto& [address, known] : members_) {
    if (is_alive(now, known)) out.push_back(address);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<member_address> roster::staying(time_point now) const {
  auto out = alive(now);
  std::erase_if(out, [&](member_address m) { return is_leaving(m); });
  return out;
}

bool roster::is_leaving(member_address who) const {
  if (who == options_.self) return leaving_;
  const auto found = members_.find(who);
  return found != members_.end() && found->second.row.leaving;
}

std::optional<std::uint32_t> roster::domain_of(member_address who) const {
  if (who == options_.self) return options_.domain;
  const auto found = members_.find(who);
  if (found == members_.end()) return std::nullopt;
  return found->second.row.domain;
}

std::vector<member_address> roster::members_in(time_point now,
                                               std::uint32_t domain) const {
  std::vector<member_address> alive;
  std::vector<member_address> gone;
  for (const auto& [address, known] : members_) {
    if (known.row.domain != domain || known.row.leaving) continue;
    (is_alive(now, known) ? alive : gone).push_back(address);
  }
  return alive.empty() ? gone : alive;
}

std::set<std::uint32_t> roster::domains() const {
  std::set<std::uint32_t> out{options_.domain};
  for (const auto& [address, known] : members_) out.insert(known.row.domain);
  return out;
}

std::optional<time_point> roster::silent_since(time_point now,
                                               member_address who) const {
  const auto found = members_.find(who);
  if (found == members_.end()) return std::nullopt;
  const auto& known = found->second;
  if (!is_large()) return known.heard;
  return known.row.standing == member_standing::alive ? now
                                                      : known.silent_since;
}

std::vector<roster::silent_member> roster::silent(time_point now) const {
  std::vector<silent_member> out;
  for (const auto& [address, known] : members_) {
    if (known.row.leaving || is_alive(now, known)) continue;
    out.push_back({address, *silent_since(now, address)});
  }
  return out;
}

bool roster::is_isolated(time_point now) const {
  if (is_large() && probes_.is_in_doubt()) return true;
  std::size_t counted = 1;
  std::size_t heard = 1;
  std::size_t counted_alone = 0;
  for (const auto& [address, known] : members_) {
    if (known.row.leaving) continue;
    const bool alive = is_alive(now, known);
    const auto silent = now - *silent_since(now, address);
    if (alive || silent < kCounted) ++counted;
    if (silent < kCountedAlone) ++counted_alone;
    if (alive && !is_out_of_reach(address)) ++heard;
  }
  if (heard == 1) {
    // Seeds that do not answer may be out of reach, not dead.
    const bool expects_others =
        std::any_of(options_.seeds.begin(), options_.seeds.end(),
                    [&](member_address s) { return s != options_.self; });
    const bool is_new = !started_ || now - *started_ < kCountedAlone;
    return counted_alone > 0 || (expects_others && is_new);
  }
  return heard * 2 < counted;
}

}  // namespace seamglade::gateway
