// seamglade - the direct path: what is read from the platform's store
//
// A few instances watch the whole store (gateway_watchers.cc); the others take
// what these learned from them. In a large fleet some more watch what the
// operators write (gateway_operators.cc), and all are told of targets that come
// and leave as soon as a watcher knows.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/status_codes.h"
#include "version/copy_bounds.h"

namespace seamglade::gateway {
namespace {

/** A watch is held this long; shows how fresh the watcher's contact is. */
constexpr duration kWatchWait = 1000ms;
/** Pause after an answer with changes: more of them come in one answer. */
constexpr duration kGather = 180ms;
constexpr duration kLargeGather = 350ms;
constexpr duration kAfterFailure = 400ms;
constexpr duration kLongestAfterFailure = 1s;
/**
 * ... and in a large fleet this for each member: the fleet asks a store that is
 * down 50 times a second at any size. With a second for each of 195 members, a
 * day with 14 seconds of a store that reset calls took 6,433 of them, others
 * 3,100 to 3,650.
 */
constexpr duration kAfterFailurePart = 20ms;
/** Entries lapse after three heartbeats without the store, not sooner. */
constexpr duration kStoreAway = 3s;
constexpr duration kFetchPause = 40ms;
constexpr duration kFetchAgain = 300ms;
/** Who has read the whole store within this time tells others of its news. */
constexpr duration kTellerContact = 2s;
/** Bytes of a key that the log tells. */
constexpr std::size_t kLoggedKey = 64;
constexpr duration kMissingToldAgain = 1s;
/** A second read by pages within this time waits first. */
constexpr duration kPagesAgain = 2s;

}  // namespace

duration gateway_view::next_pause(duration last) const {
  if (last == duration{}) return kAfterFailure;
  const auto members = static_cast<std::int64_t>(roster_.present());
  const auto longest =
      roster_.is_large()
          ? std::max(kLongestAfterFailure, kAfterFailurePart * members)
          : kLongestAfterFailure;
  return std::min(longest, last * 2);
}

void gateway_core::impl::note_store_back() {
  if (was_store_away()) {
    is_store_back_ = false;
    return;
  }
  if (copy_age() > kStoreBack || std::exchange(is_store_back_, true)) return;
  // Somebody was answered again: those that pause come back, spread out.
  if (reading_ == reading::idle) {
    next_read_ = std::min(next_read_, now_ + spread(kAfterFailure));
  }
  auto& watch = operator_watch_;
  watch.next = std::min(watch.next, now_ + spread(kAfterFailure));
}

duration gateway_core::impl::spread(duration pause) {
  // A store that falls silent does so for all at once; they are not to come
  // back all at once, so that some come soon after it does.
  const auto part = static_cast<double>(random_() % 1000) / 1000.0;
  return duration(static_cast<std::int64_t>(static_cast<double>(pause.count()) *
                                            (0.5 + part)));
}

time_point gateway_view::known_at(time_point sent, duration wait,
                                  bool changed) const {
  // One that the store held to its end without a change tells of that end; any
  // other may have been made at once and been long under way.
  const bool was_held = !changed && now_ - sent >= wait;
  return was_held ? sent + wait : sent;
}

duration gateway_view::store_age() const {
  if (!ever_answered_) return now_ - started_ + 1h;
  return now_ - last_answer_;
}

duration gateway_view::copy_age() const {
  return copy_confirmed_ ? now_ - *copy_confirmed_ : now_ - started_ + 1h;
}

void gateway_core::impl::confirm_copy(time_point at) {
  // What came and went meanwhile was not seen.
  if (was_store_away()) {
    begin_watching(copy_confirmed_ ? "store_away" : watching_since_reason_);
  }
  copy_confirmed_ = copy_confirmed_ ? std::max(*copy_confirmed_, at) : at;
}

void gateway_core::impl::begin_watching(std::string_view reason) {
  const bool is_first = !copy_confirmed_ && watching_since_ == time_point{};
  watching_since_reason_ = is_first ? "start" : reason;
  watching_since_ = now_;
}

bool gateway_view::was_store_away() const { return copy_age() > kStoreAway; }

void gateway_core::impl::tick_store() {
  if (roster_.is_large()) note_store_back();
  repeat_overdue();
  watch_operators();
  if (reading_ != reading::idle || now_ < next_read_) return;
  if (needs_range_ ? now_ >= range_not_before_ : should_watch()) read_store();
}

void gateway_core::impl::read_store() {
  if (needs_range_) {
    reading_ = reading::range;
    if (!range_.may_go_on(now_)) range_.begin(now_);
    read_wait_ = {};
  } else {
    reading_ = reading::watch;
    // Where the keys are in doubt, the answer is not to be waited for.
    const bool is_urgent = store_failing_ || is_key_word_old();
    read_wait_ = is_urgent ? kProbeWait : kWatchWait;
  }
  send_read(store_failing_);
}

void gateway_core::impl::send_read(bool on_new_connection) {
  ++counts_.store_calls;
  read_call_ = next_store_call_++;
  read_sent_ = now_;
  if (reading_ == reading::range) {
    do_act(action::range_store{read_call_, range_.scope(), range_.after_key(),
                               on_new_connection});
    return;
  }
  do_act(action::watch_store{read_call_, store_scope::everything,
                             mirror_.revision(), read_wait_,
                             on_new_connection});
}

void gateway_core::impl::on(event::store_read&& e) {
  using outcome = event::store_read::outcome;
  if (e.call != 0 && e.call == operator_watch_.call) {
    take_operator_watch(std::move(e));
    return;
  }
  const bool is_repeat = overdue_read_.id != 0 && e.call == read_call_;
  if (!take_read_call(e)) return;
  const auto was = std::exchange(reading_, reading::idle);
  const bool is_of_copy = is_of_epoch(e);
  if (!is_of_copy && was == reading::watch) return;
  if (e.how == outcome::history_gone) {
    read_by_pages("store_history_gone");
    return;
  }
  if (e.how == outcome::too_large && was == reading::watch) {
    // The next watch would bear the same and more; pages are bounded.
    read_by_pages("store_answer_too_large");
    return;
  }
  if (e.how == outcome::failed && e.status == kOk && was == reading::watch) {
    read_by_pages("store_answer_unreadable");
    return;
  }
  if (e.how != outcome::answered) {
    if (!needs_range_) range_.end();
    note_store_failure(was, e.status);
    return;
  }
  note_store_answer();
  if (was == reading::watch) {
    if (is_repeat) tell_operators_items(e.answer);
    take_watch(std::move(e.answer));
    return;
  }
  const auto epoch = e.epoch == 0 ? mirror_.epoch() : e.epoch;
  if (epoch >= mirror_.epoch()) take_range(std::move(e.answer), epoch);
}

void gateway_core::impl::read_by_pages(std::string_view reason) {
  log(reason, {{"revision", static_cast<std::int64_t>(mirror_.revision())}},
      true);
  needs_range_ = true;
  range_.end();
  // A store that keeps no history, or is written to a lot, asks for it again.
  const bool is_soon = now_ - pages_since_ < kPagesAgain;
  pages_since_ = now_;
  next_read_ = is_soon ? now_ + kAfterFailure : now_;
}

std::vector<log_field> gateway_view::range_progress() const {
  const bool is_of_targets = range_.scope() == store_scope::targets;
  return {{"part", std::string(is_of_targets ? "targets" : "operators")},
          {"page", static_cast<std::int64_t>(range_.pages()) + 1},
          {"after", range_.after_key().substr(0, kLoggedKey)},
          {"items", static_cast<std::int64_t>(range_.items())}};
}

void gateway_core::impl::note_store_failure(reading call, int status) {
  if (!store_failing_) {
    std::vector<log_field> fields{{"status", status}};
    if (call == reading::range) {
      fields.push_back({"call", std::string("range")});
      const auto progress = range_progress();
      fields.insert(fields.end(), progress.begin(), progress.end());
    } else {
      fields.push_back({"call", std::string("watch")});
      fields.push_back(
          {"revision", static_cast<std::int64_t>(mirror_.revision())});
    }
    log("store_lost", std::move(fields), true);
  }
  store_failing_ = true;
  store_status_ = status;
  after_failure_ =
      roster_.is_large() ? next_pause(after_failure_) : kAfterFailure;
  next_read_ = now_ + spread(after_failure_);
}

void gateway_core::impl::note_stuck_range(const std::string& last_key) {
  auto fields = range_progress();
  fields.push_back({"last_key", last_key.substr(0, kLoggedKey)});
  log("store_read_stuck", std::move(fields), true);
  // Answers that lead nowhere come as fast as they are asked for.
  range_stuck_pause_ = next_pause(range_stuck_pause_);
  next_read_ = now_ + spread(range_stuck_pause_);
}

std::string_view gateway_view::why_no_configuration() const {
  if (config_) return "keys_unconfirmed";
  if (store_failing_) return "store_failed";
  if (reading_ == reading::range) return "store_read";
  return needs_range_ ? "awaits_copy" : "not_in_copy";
}

void gateway_core::impl::note_missing_configuration() {
  if (now_ - missing_told_ < kMissingToldAgain) return;
  missing_told_ = now_;
  std::vector<log_field> fields{
      {"reason", std::string(why_no_configuration())},
      {"since_ms", to_ms(now_ - started_)},
      {"status", store_status_},
      {"revision", static_cast<std::int64_t>(mirror_.revision())}};
  const auto progress = range_progress();
  fields.insert(fields.end(), progress.begin(), progress.end());
  log("configuration_missing", std::move(fields), true);
}

void gateway_core::impl::note_store_answer() {
  if (store_failing_) log("store_regained", {}, true);
  store_failing_ = false;
  after_failure_ = {};
  ever_answered_ = true;
  last_answer_ = now_;
}

void gateway_core::impl::take_watch(store_answer&& answer) {
  const bool changed = !answer.is_quiet();
  store_changes changes;
  changes.epoch = mirror_.epoch();
  changes.revision = answer.revision;
  changes.items = std::move(answer.items);
  apply(std::move(changes), kFromStore);
  confirm_copy(now_);
  confirm_keys_by_store(known_at(read_sent_, read_wait_, changed));
  const auto gather = roster_.is_large() ? kLargeGather : kGather;
  // One that was not held would be answered at once again.
  const bool was_held = now_ - read_sent_ >= read_wait_ / 2;
  next_read_ = changed || !was_held ? now_ + gather : now_;
  if (changed) next_beat_ = now_;
}

void gateway_core::impl::take_range(store_answer&& answer, store_epoch epoch) {
  const auto last_key = answer.last_key.substr(0, kLoggedKey);
  const auto got = range_.take(std::move(answer), epoch, now_);
  if (got == store_range::step::stuck) {
    note_stuck_range(last_key);
    return;
  }
  range_stuck_pause_ = {};
  switch (got) {
    case store_range::step::whole:
      take_whole_range();
      break;
    case store_range::step::goes_on:
      // A peer's copy may have come meanwhile.
      if (!needs_range_) {
        range_.end();
        next_read_ = now_;
        break;
      }
      reading_ = reading::range;
      send_read(false);
      break;
    default:
      range_.end();
      next_read_ = now_ + kOtherEpochPause;
      break;
  }
}

void gateway_core::impl::take_whole_range() {
  needs_range_ = false;
  const auto begun = range_.begun();
  if (range_.left_out() > 0) {
    log("store_values_left_out",
        {{"items", static_cast<std::int64_t>(range_.left_out())},
         {"bound", static_cast<std::int64_t>(kMostCopyBytes)}},
        true);
  }
  auto copy = range_.finish();
  if (store_position{copy.epoch, copy.revision} < mirror_.position()) {
    log("store_behind",
        {{"epoch", static_cast<std::int64_t>(copy.epoch)},
         {"at", static_cast<std::int64_t>(copy.revision)},
         {"revision", static_cast<std::int64_t>(mirror_.revision())},
         {"outdated", static_cast<std::int64_t>(mirror_.outdated(copy))}},
        true);
  }
  apply(std::move(copy), kFromStore);
  begin_watching("whole_copy");
  confirm_copy(begun);
  confirm_keys_by_store(begun);
  next_read_ = now_;
}

void gateway_core::impl::on(event::peer_changes&& e) {
  if (!take_fetch_call(e)) return;
  if (!e.changes) {
    next_fetch_ = now_ + kFetchAgain;
    return;
  }
  next_fetch_ = now_ + kFetchPause;
  // A peer with a revision has the whole copy up to it.
  if (e.changes->revision == 0) return;
  if (e.changes->epoch < mirror_.epoch()) return;
  // Else it was asked for less, before its own copy or this one was replaced.
  const bool is_usable =
      e.changes->whole ||
      (e.changes->epoch == mirror_.epoch() && fetch_.epoch == mirror_.epoch());
  if (!is_usable) return;
  if (e.changes->whole) begin_watching("peer_copy");
  const auto kept = std::move(e.changes->kept);
  const auto operators = e.changes->operators;
  const store_position position{e.changes->epoch, e.changes->revision};
  // One that is no further than this copy leaves it as far behind the store.
  const bool is_ahead = position > mirror_.position();
  apply(std::move(*e.changes), "peer");
  take_kept(kept);
  if (is_ahead) end_range_by(position.epoch);
  take_operators_word(operators);
  confirm_copy(fetch_confirms_);
}

void gateway_core::impl::end_range_by(store_epoch epoch) {
  // A peer may not have heard yet that the store was restored.
  if (range_.epoch() > epoch) return;
  needs_range_ = false;
  if (reading_ != reading::range) range_.end();
}

store_changes gateway_core::impl::changes_after(copy_extent known) const {
  // A large configuration that each of a fleet had from the store, and then
  // again from a peer, made an instance of 3 MB peak at 71 MB.
  const auto is_known = [&](std::string_view key, std::uint64_t revision) {
    return revision <= known.operators && !platform_.target_of_key(key);
  };
  auto out = mirror_.changes_after(known.revision, is_known);
  out.operators = operators_known();
  if (known.revision == 0) {
    for (const auto& [key, item] : kept_) out.kept.push_back(item);
  }
  return out;
}

void gateway_core::impl::apply(store_changes changes, std::string_view source) {
  // A peer of another build may keep what nobody here reads.
  std::erase_if(changes.items, [this](const store_item& item) {
    return !platform_.is_read(item.key);
  });
  const auto before = mirror_.position();
  const bool had_copy = before.revision > 0;
  const bool is_replaced = changes.epoch != before.epoch;
  store_mirror::replacement taken;
  if (is_replaced) {
    taken = mirror_.replace(changes);
  } else {
    taken.news = mirror_.apply(changes);
  }
  const auto& news = taken.news;
  change_origin origin{source};
  origin.is_restored = is_replaced && had_copy;
  origin.is_lapse = origin.is_restored || lapsed_with_store(news);
  if (origin.is_restored) begin_epoch(before, source, std::move(taken.lost));
  if (news.empty()) return;
  std::vector<store_item> urgent;
  for (const auto& item : news) {
    if (take_item(item, origin)) urgent.push_back(item);
  }
  const bool is_first_copy = changes.whole && !had_copy;
  if (!is_first_copy) tell_urgent(std::move(urgent), source);
  log("store_changes",
      {{"source", std::string(source)},
       {"items", static_cast<std::int64_t>(news.size())},
       {"revision", static_cast<std::int64_t>(mirror_.revision())}});
  waiting_dirty_ = true;
}

void gateway_core::impl::tell_urgent(std::vector<store_item> news,
                                     std::string_view source) {
  // What operators write reaches most at the same moment: of these the few
  // tell all that watch the whole store.
  const bool first_hand = source == kFromStore && store_age() < kTellerContact;
  if (!first_hand) {
    pass_on_evacuations(news);
    return;
  }
  if (news.empty()) return;
  // A message holds few items: what concerns a whole domain goes first.
  std::stable_partition(news.begin(), news.end(), [this](const auto& item) {
    return !platform_.target_of_key(item.key);
  });
  spread_news(news);
}

}  // namespace seamglade::gateway
