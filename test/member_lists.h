// seamglade - member lists of a fleet under virtual time, for tests
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_MEMBER_LISTS_H_
#define SEAMGLADE_TEST_MEMBER_LISTS_H_

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <random>
#include <set>

#include "process/roster.h"

namespace seamglade::gateway {

inline constexpr duration kBeat = 400ms;
inline constexpr duration kLook = 50ms;
inline constexpr duration kWay = 2ms;
inline constexpr duration kFarWay = 8ms;

/** Rosters that send each other heartbeats, answers and detours. */
class members {
 public:
  /** `regions`: so many of two failure domains each; 0: none are named. */
  members(std::size_t count, double loss, std::size_t regions = 0)
      : loss_(loss), regions_(regions) {
    for (std::size_t i = 0; i < count; ++i) {
      const auto address = static_cast<member_address>(i + 1);
      start(address);
      const auto phase = duration(random_() % 300'000);
      at(now_ + phase, [this, address] { beat(address); });
      at(now_ + phase, [this, address] { look(address); });
    }
  }

  void start(member_address who) {
    roster_options options;
    options.self = who;
    options.domain = who % 5;
    if (regions_ > 0) {
      options.domain = domain_hash(domain_of(who));
      options.regions = domain_regions(named_regions());
    }
    options.incarnation = ++lives_;
    options.seeds = {1, 2, 3};
    options.random_seed = who;
    rosters_.insert_or_assign(who, roster(options));
    dead_.erase(who);
  }
  void kill(member_address who) { dead_.insert(who); }
  /** Cuts members off from all that are not among them, or heals. */
  void cut(std::set<member_address> group) {
    group_ = std::move(group);
    others_.clear();
  }
  /** Cuts members off from some others. */
  void cut(std::set<member_address> group, std::set<member_address> others) {
    group_ = std::move(group);
    others_ = std::move(others);
  }
  std::set<member_address> in_region(std::size_t region) const {
    std::set<member_address> out;
    for (const auto& [who, r] : rosters_) {
      if (who % (2 * regions_) / 2 == region) out.insert(who);
    }
    return out;
  }
  /** Returns how many heartbeats went so far. */
  std::size_t beats_to(proximity distance) { return beats_[distance]; }

  void run_for(duration time) {
    const auto end = now_ + time;
    while (!queue_.empty() && queue_.top().when <= end) {
      auto next = queue_.top();
      queue_.pop();
      now_ = next.when;
      next.task();
    }
    now_ = end;
  }

  const roster& of(member_address who) const { return rosters_.at(who); }
  time_point now() const { return now_; }
  std::size_t rows_sent() const { return rows_; }
  std::size_t messages_sent() const { return messages_; }
  /** Returns how often a living member was found to be gone by another. */
  std::size_t false_silences() const { return false_silences_; }
  /** Counts from now on; at the start hearsay counts as silence. */
  void forget_silences() {
    silences_.clear();
    false_silences_ = 0;
  }
  /** Returns the least and the greatest number of members believed alive. */
  std::pair<std::size_t, std::size_t> alive() const {
    std::pair<std::size_t, std::size_t> out{SIZE_MAX, 0};
    for (const auto& [who, r] : rosters_) {
      if (dead_.contains(who)) continue;
      const auto alive = r.alive(now_).size();
      out = {std::min(out.first, alive), std::max(out.second, alive)};
    }
    return out;
  }

 private:
  struct queued {
    time_point when;
    std::uint64_t number;
    std::function<void()> task;
    bool operator>(const queued& other) const {
      return std::tie(when, number) > std::tie(other.when, other.number);
    }
  };

  void at(time_point when, std::function<void()> task) {
    queue_.push({when, next_++, std::move(task)});
  }

  void send(member_address from, member_address to,
            std::function<void()> arrive) {
    ++messages_;
    const bool lost =
        static_cast<double>(random_() % 10'000) < loss_ * 10'000 ||
        is_cut(from, to) || is_cut(to, from);
    if (lost) return;
    const bool is_far =
        rosters_.at(from).distance_to(to) == proximity::other_region;
    at(now_ + (is_far ? kFarWay : kWay),
       [this, to, arrive = std::move(arrive)] {
         if (!dead_.contains(to)) arrive();
       });
  }

  bool is_cut(member_address from, member_address to) const {
    if (!group_.contains(from)) return false;
    return others_.empty() ? !group_.contains(to) : others_.contains(to);
  }

  std::string domain_of(member_address who) const {
    return fmt::format("d{}", who % (2 * regions_));
  }
  region_map::regions named_regions() const {
    region_map::regions out;
    for (std::size_t i = 0; i < 2 * regions_; ++i) {
      out[fmt::format("d{}", i)] = fmt::format("r{}", i / 2);
    }
    return out;
  }

  void answer(member_address from, member_address to, member_address origin,
              std::size_t known_there) {
    auto rows = rosters_.at(from).sample(origin, known_there);
    rows_ += rows.size();
    send(from, to, [this, from, to, origin, rows] {
      take_answer(from, to, origin, rows);
    });
  }

  void take_answer(member_address from, member_address to,
                   member_address origin, const std::vector<member_row>& rows) {
    merge(to, from, rows);
    if (origin == to) {
      rosters_.at(to).answered(now_, rows.front().address);
      return;
    }
    send(to, origin,
         [this, to, origin, rows] { take_answer(to, origin, origin, rows); });
  }

  void merge(member_address to, member_address from,
             const std::vector<member_row>& rows) {
    auto& r = rosters_.at(to);
    r.merge(now_, from, rows);
    if (r.take_denial()) send_beats(to);
  }

  void send_beats(member_address who) {
    auto& r = rosters_.at(who);
    r.beat(now_);
    for (const auto to : r.heartbeat_targets(now_)) {
      if (!rosters_.contains(to)) continue;
      ++beats_[r.distance_to(to)];
      auto rows = r.sample(to);
      rows_ += rows.size();
      const auto known = r.present();
      send(who, to, [this, who, to, rows, known] {
        merge(to, who, rows);
        if (rosters_.at(to).is_large()) answer(to, who, who, known);
      });
    }
  }

  void beat(member_address who) {
    if (!dead_.contains(who)) send_beats(who);
    at(now_ + kBeat, [this, who] { beat(who); });
  }

  void look(member_address who) {
    if (!dead_.contains(who)) {
      const auto step = rosters_.at(who).check_probes(now_);
      for (const auto& detour : step.ask_others) {
        send(who, detour.helper, [this, who, detour] {
          send(detour.helper, detour.subject, [this, who, detour] {
            answer(detour.subject, detour.helper, who, SIZE_MAX);
          });
        });
      }
      for (const auto suspect : step.accuse) {
        answer(who, suspect, suspect, SIZE_MAX);
      }
      if (step.is_urgent) send_beats(who);
      count_silences(who);
    }
    at(now_ + kLook, [this, who] { look(who); });
  }

  void count_silences(member_address who) {
    for (const auto& silent : rosters_.at(who).silent(now_)) {
      const bool is_new = silences_.insert({who, silent.who}).second;
      if (is_new && !dead_.contains(silent.who)) ++false_silences_;
    }
  }

  double loss_;
  std::size_t regions_;
  time_point now_{std::chrono::seconds(100)};
  std::map<member_address, roster> rosters_;
  std::set<member_address> dead_;
  std::set<member_address> group_;
  std::set<member_address> others_;
  std::map<proximity, std::size_t> beats_;
  std::mt19937_64 random_{7};
  std::uint64_t next_ = 0;
  std::uint64_t lives_ = 0;
  std::size_t rows_ = 0;
  std::size_t messages_ = 0;
  std::set<std::pair<member_address, member_address>> silences_;
  std::size_t false_silences_ = 0;
  std::priority_queue<queued, std::vector<queued>, std::greater<>> queue_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_TEST_MEMBER_LISTS_H_
