// seamglade - the direct path: what targets say of themselves in answers
//
// Any answer may say that its target leaves, and a refusal that it wants no
// requests for a while. The instance that hears it is bound at once, whatever
// the platform's store says; the others are told, since a target says so only
// to those that ask it.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/member_order.h"
#include "process/status_codes.h"

namespace seamglade::gateway {
namespace {

/** Word of leaving is told twice, 200 ms apart: a datagram may be lost. */
constexpr unsigned kLeavingTold = 2;
constexpr unsigned kRestTold = 1;
constexpr duration kToldPause = 200ms;
/** After a message, what comes within this time goes in one. */
constexpr duration kGather = 30ms;
/**
 * Words take so many bytes a second of an instance at most, 4 % of a link of 10
 * Mbit/s, where all targets turn requests away at once. The first word waits
 * for nothing.
 */
constexpr std::size_t kBytesPerSecond = 50000;
/** Of a message with the heads of its datagram, and of each row in it. */
constexpr std::size_t kMessageBytes = 100;
constexpr std::size_t kRowBytes = 32;
constexpr std::size_t kMostRows = 48;
/** After a rest so many instances of a failure domain try at once ... */
constexpr std::int64_t kTrialsAtOnce = 2;
/** ... the next ones when these may have an answer, and all in the end. */
constexpr duration kTrialTurn = 50ms;
constexpr duration kLongestTurn = 1s;
constexpr std::string_view kAtRest = "targets_at_rest";

}  // namespace

void gateway_core::impl::hear_answer(exchange& x) {
  auto* target = target_of(x);
  if (target == nullptr) return;
  const auto& word = x.answer.word;
  // A target that turns a request away may do so before it names anything.
  hear_word(*target,
            {x.target_life, word, x.called_at, "answer", x.answer.is_signed});
  if (x.answer.not_run || x.status == kUnavailable) {
    if (x.status == kUnavailable && word.rest == duration{}) {
      note_turned_away(x, *target);
    }
    return;
  }
  if (!target->own_word.answered(now_, x.called_at)) return;
  log("target_rested", {{"target", x.target}, {"request", x.facts.id}});
  to_tell(*target, target->entry.started_ms, true);
}

void gateway_core::impl::note_turned_away(const exchange& x,
                                          target_state& target) {
  // Plain targets have admitters for this, and a full engine says no more than
  // that it is full.
  if (!x.service->engine || !x.answer.not_run) return;
  if (target.work(now_).running >= x.service->engine->slots) return;
  auto& word = target.own_word;
  if (!word.turned_away(now_, x.target_life, x.called_at)) return;
  ++counts_.assumed_rests;
  log("target_doubted",
      {{"target", x.target},
       {"request", x.facts.id},
       {"load", target.work(now_).running},
       {"for_ms", to_ms(word.rest_left(now_, x.target_life))}},
      true);
  to_tell(target, x.target_life);
}

void gateway_core::impl::hear_word(target_state& target,
                                   const heard_answer& heard) {
  hear_limit(target, heard);
  const auto& word = heard.word;
  bool is_news = false;
  if (word.is_leaving && target.own_word.leaves(heard.life)) {
    ++counts_.leaving_words;
    is_news = true;
  }
  if (word.rest > duration{}) {
    ++counts_.rest_words;
    is_news |= target.own_word.asks_for_rest(now_, heard.life, word.rest);
  }
  // What waits for it is placed anew, what runs there goes on.
  if (word.is_leaving || word.rest > duration{}) waiting_dirty_ = true;
  if (!is_news) return;
  log_word(target, word, heard.source);
  to_tell(target, heard.life);
}

void gateway_core::impl::log_word(const target_state& target,
                                  const target_word& word,
                                  std::string_view source) {
  log("target_word",
      {{"target", target.entry.id},
       {"source", std::string(source)},
       {"leaving", word.is_leaving ? 1 : 0},
       {"rest_ms", to_ms(word.rest)},
       {"draining", target.entry.draining ? 1 : 0},
       {"entry_age_ms", to_ms(now_ - target.entry_heard)}},
      true);
}

void gateway_core::impl::to_tell(const target_state& target, target_life life,
                                 bool is_over) {
  const bool leaves = target.own_word.is_leaving(life);
  untold_words_[target.entry.id] = {life, now_,
                                    leaves ? kLeavingTold : kRestTold, is_over};
}

word_row gateway_view::word_of(const target_state& target,
                               target_life life) const {
  word_row row;
  row.target = target.hash;
  row.life = life;
  row.is_leaving = target.own_word.is_leaving(life);
  row.rest = target.own_word.rest_left(now_, life);
  return row;
}

bool gateway_core::impl::tells_leaving(const store_item& item) {
  const auto id = platform_.target_of_key(item.key);
  auto* target = id ? targets_.find(*id) : nullptr;
  if (target == nullptr || target->gone || !target->entry.draining) {
    return false;
  }
  // A row in place of a whole entry: word of many that leave at once, told as
  // entries, overflows a link, and who is not told sends on.
  const auto life = target->entry.started_ms;
  target->own_word.leaves(life);
  to_tell(*target, life);
  return true;
}

void gateway_core::impl::tell_words() {
  const bool is_calm = untold_words_.empty() && untold_limits_.empty();
  if (is_calm || now_ < next_words_) return;
  word_message message;
  message.limits = due_limits();
  add_due_words(message, true);
  add_due_words(message, false);
  const auto rows = message.rows.size() + message.limits.size();
  if (rows == 0) return;
  send_to_all(message);
  const auto bytes =
      (kMessageBytes + kRowBytes * rows) * roster_.alive(now_).size();
  const auto pause = bytes * std::size_t{1000} / kBytesPerSecond;
  next_words_ =
      now_ + std::max(kGather, duration(std::chrono::milliseconds(pause)));
}

void gateway_core::impl::add_due_words(word_message& message, bool of_leaving) {
  for (auto at = untold_words_.begin(); at != untold_words_.end();) {
    auto& [id, untold] = *at;
    const auto* target = targets_.find(id);
    const auto row =
        target == nullptr ? word_row{} : word_of(*target, untold.life);
    // A rest that is over by now need not be told.
    const bool is_void =
        !row.is_leaving && !untold.is_over && row.rest <= duration{};
    const bool is_due = now_ >= untold.due && row.is_leaving == of_leaving &&
                        message.rows.size() < kMostRows;
    if (!is_void && !is_due) {
      ++at;
      continue;
    }
    if (!is_void) {
      message.rows.push_back(row);
      untold.due = now_ + kToldPause;
      --untold.times;
    }
    at = is_void || untold.times == 0 ? untold_words_.erase(at) : std::next(at);
  }
}

void gateway_core::impl::take(member_address from,
                              const word_message& message) {
  for (const auto& row : message.rows) {
    auto* target = targets_.find(row.target);
    if (target != nullptr) take_word(from, *target, row);
  }
  take_limits(message.limits);
  waiting_dirty_ = true;
}

void gateway_core::impl::take_word(member_address from, target_state& target,
                                   const word_row& row) {
  // No load is ordered where the holder is to rest: that concerns all.
  const auto claim = claims_.find(target.hash);
  const bool is_holder = claim != claims_.end() && claim->second.holder == from;
  const auto domain = roster_.domain_of(from).value_or(0);
  const bool is_near =
      is_holder || domain == domain_hash(options_.failure_domain);
  auto& known = target.own_word;
  bool is_news = false;
  if (row.is_leaving) is_news = known.leaves(row.life);
  if (row.rest > duration{}) {
    const target_availability::hearsay word{domain, is_near, row.rest};
    is_news |= known.asks_another_for_rest(now_, row.life, word);
  } else if (!row.is_leaving) {
    known.answered_another(now_, row.life, is_near);
  }
  if (!is_news) return;
  log_word(target, {row.is_leaving, row.rest}, "told");
}

duration gateway_view::trial_turn(const target_state& target) const {
  const auto own = domain_hash(options_.failure_domain);
  const auto before =
      std::count_if(staying_.begin(), staying_.end(), [&](auto member) {
        return roster_.domain_of(member) == own &&
               precedes_me(member, target.hash);
      });
  return std::min<duration>(kLongestTurn, before / kTrialsAtOnce * kTrialTurn);
}

availability gateway_view::availability_of(const target_state& target) const {
  const auto& word = target.own_word;
  const auto life = target.entry.started_ms;
  const auto now = word.state(now_, life, {});
  const bool is_trial_due = now == availability::open && word.needs_trial(life);
  return is_trial_due ? word.state(now_, life, trial_turn(target)) : now;
}

bool gateway_view::may_be_sent_to(const exchange& x,
                                  const target_state& target) const {
  return may_run_at(x, target) &&
         availability_of(target) != availability::resting;
}

bool gateway_core::impl::wait_for_rest(exchange& x) {
  target_state* first = nullptr;
  for (auto* target : targets_.staying(now_)) {
    const bool is_meant = target->entry.service == x.service->name;
    if (!is_meant || !may_run_at(x, *target)) continue;
    if (availability_of(*target) != availability::resting) return false;
    if (first == nullptr ||
        target->own_word.rests_until() < first->own_word.rests_until()) {
      first = target;
    }
  }
  if (first == nullptr) return false;
  const auto left = first->own_word.rests_until() - now_;
  if (x.head_sent || now_ + left < x.refuse_at) {
    wait_for(x, x.head_sent ? first : nullptr, kAtRest);
    return true;
  }
  ++counts_.all_at_rest;
  if (x.runs > 0) {
    // It may have run where it was first sent: nothing is promised.
    refuse(x, kBadGateway, {}, kAtRest);
    return true;
  }
  refuse(x, kUnavailable, left + return_spread(x, {}), kAtRest);
  return true;
}

}  // namespace seamglade::gateway
