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
/** More patience for each doubling of the fleet beyond a full mesh. */
constexpr duration kPatienceStep = 400ms;
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
      // Another life of this instance is remembered: outdo it.
      if (row.incarnation > options_.incarnation) {
        options_.incarnation = row.incarnation + 1;
      }
      continue;
    }
    const auto [at, is_new] = members_.try_emplace(row.address);
    auto& known = at->second;
    const bool newer_life = row.incarnation > known.row.incarnation;
    const bool newer_beat =
        row.incarnation == known.row.incarnation && row.beat > known.row.beat;
    if (is_new) {
      known.row = row;
      last_met_ = now;
      newcomers.push_back(row.address);
      // Hearsay of an unknown member is no sign of life by itself, and its
      // silence none of being cut off.
      known.heard = row.address == from ? now : now - kUnheard;
      continue;
    }
    if (!newer_life && !newer_beat) continue;
    if (newer_life) newcomers.push_back(row.address);
    known.row = row;
    known.heard = now;
  }
  return newcomers;
}

void roster::beat(time_point now) {
  ++beat_;
  if (!started_) started_ = now;
  std::erase_if(members_, [&](const auto& pair) {
    return now - pair.second.heard > kForgotten;
  });
}

std::vector<member_address> roster::heartbeat_targets(time_point now) {
  std::vector<member_address> targets;
  for (const auto& [address, known] : members_) {
    if (now - known.heard < kForgotten / 2) targets.push_back(address);
  }
  if (targets.size() > kFullMesh) {
    std::shuffle(targets.begin(), targets.end(), random_);
    // News of the store travels with heartbeats: most of it stays near.
    std::stable_partition(
        targets.begin() + kFarFanout, targets.end(),
        [this](member_address who) { return is_in_my_domain(who); });
    targets.resize(kFanout);
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
  return targets;
}

std::vector<member_row> roster::sample() {
  std::vector<member_row> rows{own_row()};
  if (members_.empty()) return rows;
  const auto count = std::min(kSampleRows, members_.size());
  auto at = members_.begin();
  std::advance(at, static_cast<long>(next_sample_ % members_.size()));
  for (std::size_t i = 0; i < count; ++i) {
    rows.push_back(at->second.row);
    if (++at == members_.end()) at = members_.begin();
  }
  next_sample_ += count;
  return rows;
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
  return {options_.self, options_.domain, options_.incarnation, beat_,
          leaving_};
}

duration roster::patience() const {
  if (members_.size() <= kFullMesh) return kPatience;
  const auto doublings = std::bit_width(members_.size() / kFullMesh);
  return kPatience + kPatienceStep * doublings;
}

bool roster::is_large() const { return members_.size() > kFullMesh; }

bool roster::is_alive(time_point now, member_address who) const {
  if (who == options_.self) return true;
  const auto found = members_.find(who);
  return found != members_.end() && now - found->second.heard < patience();
}

std::vector<member_address> roster::alive(time_point now) const {
  std::vector<member_address> out{options_.self};
  for (const auto& [address, known] : members_) {
    if (now - known.heard < patience()) out.push_back(address);
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

bool roster::is_in_my_domain(member_address who) const {
  const auto found = members_.find(who);
  return found != members_.end() && found->second.row.domain == options_.domain;
}

std::optional<time_point> roster::heard(member_address who) const {
  const auto found = members_.find(who);
  if (found == members_.end()) return std::nullopt;
  return found->second.heard;
}

std::optional<time_point> roster::last_silence(time_point now) const {
  std::optional<time_point> latest;
  for (const auto& [address, known] : members_) {
    if (known.row.leaving || now - known.heard < patience()) continue;
    if (!latest || known.heard > *latest) latest = known.heard;
  }
  return latest;
}

bool roster::is_isolated(time_point now) const {
  std::size_t counted = 1;
  std::size_t heard = 1;
  std::size_t counted_alone = 0;
  for (const auto& [address, known] : members_) {
    if (known.row.leaving) continue;
    const auto silent = now - known.heard;
    if (silent < kCounted) ++counted;
    if (silent < kCountedAlone) ++counted_alone;
    if (silent < patience()) ++heard;
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
