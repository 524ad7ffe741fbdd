// seamglade - the direct path: limits that targets name in their answers
//
// A target in need names how many requests a second it takes of all instances
// together. Who hears it tells all others, and each request there needs a grant
// of the target's grantor from then on, as at a cold target
// (gateway_grants.cc): a limit that each instance kept for itself would be
// passed as many times as there are instances.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** A change is told twice, some time apart: a datagram may be lost. */
constexpr unsigned kTimesTold = 2;
constexpr duration kToldPause = 200ms;
constexpr std::size_t kMostRows = 48;
/** Heartbeats name so many in turn, for those that start anew. */
constexpr std::size_t kRowsInHeartbeat = 6;

}  // namespace

std::optional<double> gateway_view::limit_of(const target_state& target) const {
  return target.limit.rate(target.entry.started_ms);
}

void gateway_core::impl::hear_limit(target_state& target,
                                    const heard_answer& heard) {
  auto& known = target.limit;
  if (heard.word.limit) {
    ++counts_.limit_words;
    const bool is_news =
        known.named(now_, heard.life, *heard.word.limit, heard.sent);
    if (is_news) note_limit(target, heard.source, true);
  } else if (heard.tells_all && known.unnamed(now_, heard.life, heard.sent)) {
    note_limit(target, heard.source, true);
  }
}

void gateway_core::impl::note_limit(target_state& target,
                                    std::string_view source, bool is_first) {
  const auto word = target.limit.to_tell();
  log("target_limit",
      {{"target", target.entry.id},
       {"source", std::string(source)},
       {"limit_milli", to_milli(word->rate)},
       {"age_ms", to_ms(now_ - word->at)}},
      true);
  // What was refused by the limit before may be granted now.
  target.grants_refused_until = {};
  waiting_dirty_ = true;
  if (is_first) untold_limits_[target.entry.id] = {now_, kTimesTold};
}

limit_row gateway_view::limit_row_of(const target_state& target) const {
  const auto word = target.limit.to_tell();
  if (!word) return {target.hash};
  return {target.hash, word->life, word->rate, now_ - word->at};
}

std::vector<limit_row> gateway_core::impl::due_limits() {
  std::vector<limit_row> rows;
  for (auto at = untold_limits_.begin(); at != untold_limits_.end();) {
    auto& [id, untold] = *at;
    if (now_ < untold.due || rows.size() >= kMostRows) {
      ++at;
      continue;
    }
    const auto* target = targets_.find(id);
    if (target != nullptr) rows.push_back(limit_row_of(*target));
    untold.due = now_ + kToldPause;
    --untold.times;
    const bool is_done = target == nullptr || untold.times == 0;
    at = is_done ? untold_limits_.erase(at) : std::next(at);
  }
  return rows;
}

std::vector<limit_row> gateway_core::impl::next_limits() {
  std::vector<const target_state*> limited;
  for (const auto* target : targets_.staying(now_)) {
    if (limit_of(*target)) limited.push_back(target);
  }
  std::vector<limit_row> rows;
  const auto count = std::min(limited.size(), kRowsInHeartbeat);
  for (std::size_t i = 0; i < count; ++i) {
    rows.push_back(limit_row_of(*limited[next_limit_++ % limited.size()]));
  }
  return rows;
}

void gateway_core::impl::take_limits(const std::vector<limit_row>& rows) {
  for (const auto& row : rows) {
    if (auto* target = targets_.find(row.target)) take_limit(*target, row);
  }
}

void gateway_core::impl::take_limit(target_state& target,
                                    const limit_row& row) {
  const target_limit::notice word{row.life, row.rate, now_ - row.age};
  if (target.limit.told(now_, word)) note_limit(target, "told", false);
}

}  // namespace seamglade::gateway
