// seamglade - the direct path: what operators write, in force everywhere soon
//
// In a large fleet a dozen instances hold a watch of what the operators write
// and tell all the others at once; each call of a watch is priced, and with a
// watch of its own at every instance a configuration cost as many calls as
// there are instances. An instance that was told of more than it can get, or
// whose copy of the store is old, watches by itself.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** So many watch for the fleet: a third of them may be cut off or stopped. */
constexpr std::size_t kOperatorWatchers = 12;
/** A copy older than this may lack what operators wrote. */
constexpr duration kOldCopy = 2200ms;
/** What was told of is to be here after this; else it is read. */
constexpr duration kFetchPatience = 250ms;
/** A watch of what the operators write is held this long. */
constexpr duration kOperatorWait = 25s;
/** Pause after an answer with changes: a storm of them costs few calls. */
constexpr duration kOperatorGather = 1s;
/** Larger items do not fit a datagram beside others. */
constexpr std::size_t kLargestTold = 1000;
constexpr std::size_t kMostTold = 12;

}  // namespace

std::uint64_t gateway_view::operators_known() const {
  return std::max(operator_watch_.after, mirror_.revision());
}

bool gateway_core::impl::should_watch_operators() {
  if (watch_rank() < kOperatorWatchers) return true;
  if (copy_age() > kOldCopy) return true;
  const auto& told = operators_told_;
  const bool lacks = told.revision > operators_known();
  return lacks && now_ - told.since > kFetchPatience;
}

void gateway_core::impl::take_operators_word(std::uint64_t known) {
  operator_watch_.after = std::max(operator_watch_.after, known);
}

void gateway_core::impl::tell_operators_items(const store_answer& answer) {
  if (!roster_.is_large()) return;
  const auto known_before = operators_known();
  std::vector<store_item> items;
  for (const auto& item : answer.items) {
    const bool is_news = item.revision > known_before;
    if (is_news && !platform_.target_of_key(item.key)) items.push_back(item);
  }
  if (items.empty()) return;
  take_operators_word(answer.revision);
  tell_operators_word(items, known_before);
}

void gateway_core::impl::doubt_operator_watch() {
  auto& watch = operator_watch_;
  if (watch.call != 0 && !watch.overdue_since) watch.overdue_since = now_;
}

void gateway_core::impl::tell_operators_word(
    const std::vector<store_item>& items, std::uint64_t known_before) {
  news_message message;
  message.epoch = mirror_.epoch();
  message.operators_from = known_before;
  message.operators_to = operators_known();
  for (const auto& item : items) {
    const bool fits = !item.value || item.value->size() <= kLargestTold;
    if (fits && message.items.size() < kMostTold) {
      message.items.push_back(item);
    } else {
      // Nobody has it all with these items: a copy is to be asked for.
      message.operators_from = message.operators_to;
    }
  }
  send_to_all(message);
}

void gateway_core::impl::hear_operators_word(member_address from,
                                             const news_message& message) {
  const auto known = operators_known();
  if (message.operators_to <= known) return;
  doubt_operator_watch();
  if (message.operators_from <= known) {
    take_operators_word(message.operators_to);
    return;
  }
  auto& told = operators_told_;
  if (told.revision <= known) told.since = now_;
  told.revision = std::max(told.revision, message.operators_to);
  // Nothing is known of how old the sender's copy of the whole is.
  fetch_from(from, message.epoch, {});
}

void gateway_core::impl::watch_operators() {
  auto& watch = operator_watch_;
  if (was_store_away()) watch.doubted = now_;
  // A store that went silent has forgotten the watch that it was to answer.
  const bool is_lost =
      watch.call != 0 && watch.sent <= watch.doubted && copy_age() < kStoreBack;
  const bool is_overdue =
      watch.overdue_since && now_ - *watch.overdue_since > kReadPatience;
  if (is_lost || is_overdue) watch.call = 0;
  const bool due = roster_.is_large() && !needs_range_ && now_ >= watch.next;
  if (!due || watch.call != 0 || stop_.has_begun()) return;
  if (!should_watch_operators()) return;
  const bool on_new_connection = is_overdue || watch.after_failure > duration{};
  watch.overdue_since.reset();
  watch.call = next_store_call_++;
  watch.sent = now_;
  watch.wait = watch.after_failure > duration{} ? kProbeWait : kOperatorWait;
  watch.after = operators_known();
  ++counts_.store_calls;
  do_act(action::watch_store{watch.call, store_scope::operators, watch.after,
                             watch.wait, on_new_connection});
}

void gateway_core::impl::take_operator_watch(event::store_read&& e) {
  using outcome = event::store_read::outcome;
  auto& watch = operator_watch_;
  if (e.call != watch.call) return;
  watch.call = 0;
  watch.overdue_since.reset();
  if (!is_of_epoch(e)) return;
  if (e.how == outcome::answered) {
    const auto known_before = operators_known();
    watch.after = std::max(watch.after, e.answer.revision);
    watch.after_failure = {};
    const bool is_quiet = e.answer.is_quiet();
    const bool was_held = now_ - watch.sent >= watch.wait / 2;
    watch.next = is_quiet && was_held ? now_ : now_ + kOperatorGather;
    store_changes changes;
    changes.epoch = mirror_.epoch();
    changes.items = std::move(e.answer.items);
    apply(changes, kFromStore);
    if (!is_quiet) tell_operators_word(changes.items, known_before);
    confirm_keys_by_store(known_at(watch.sent, watch.wait, !is_quiet));
    return;
  }
  // What is missed meanwhile comes with the copy of the whole.
  const bool is_behind =
      e.how == outcome::history_gone || e.how == outcome::too_large;
  if (is_behind) watch.after = mirror_.revision();
  watch.after_failure = next_pause(watch.after_failure);
  watch.next = now_ + spread(watch.after_failure);
}

}  // namespace seamglade::gateway
