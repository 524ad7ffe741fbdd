// seamglade - the direct path: connections that fall silent without a reset
//
// A call whose answer is overdue is made again on a new connection, and the
// answer that comes first counts. The call before goes on: the store may just
// be slow, and its answer then saves the next call. One call at a time is
// repeated, once, so a store in trouble is asked at most twice as often; while
// it fails on new connections too, none is.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {
namespace {

/** A page of the store may hold 1 MB. */
constexpr duration kPagePatience = 600ms;
constexpr duration kLongestReadPatience = 1200ms;
/** A copy that is this late is asked for again on a new connection. */
constexpr duration kCopyPatience = 250ms;
constexpr duration kWholeCopyPatience = 600ms;

}  // namespace

void gateway_core::impl::repeat_overdue() {
  repeat_read();
  repeat_fetch();
}

void gateway_core::impl::repeat_read() {
  const bool may_repeat =
      reading_ != reading::idle && !store_failing_ && overdue_read_.id == 0;
  if (!may_repeat) return;
  const auto usual = reading_ == reading::range ? kPagePatience : kReadPatience;
  const auto waited = now_ - read_sent_;
  if (waited < read_wait_ + std::max(usual, read_patience_)) return;
  log("store_answer_overdue",
      {{"waited_ms", to_ms(waited)}, {"copy_age_ms", to_ms(copy_age())}});
  overdue_read_ = {read_call_, read_sent_, read_wait_};
  if (reading_ == reading::watch) read_wait_ = kProbeWait;
  send_read(true);
}

bool gateway_core::impl::take_read_call(const event::store_read& e) {
  const bool is_overdue = e.call == overdue_read_.id;
  if (!is_overdue && e.call != read_call_) return false;
  const bool has_failed = e.how == event::store_read::outcome::failed;
  const bool is_repeat_due = now_ - read_sent_ >= read_wait_ + kReadPatience;
  if (is_overdue && has_failed && !is_repeat_due) {
    // The repeated call may be answered yet.
    overdue_read_ = {};
    return false;
  }
  if (is_overdue) {
    read_sent_ = overdue_read_.sent;
    read_wait_ = overdue_read_.wait;
    // It was slow, not silent.
    read_patience_ = std::min(kLongestReadPatience,
                              std::max(read_patience_, kReadPatience) * 2);
  } else if (overdue_read_.id != 0 && !has_failed) {
    log("store_connection_silent",
        {{"since_ms", to_ms(now_ - overdue_read_.sent)}}, true);
    operator_watch_.doubted = now_;
  } else {
    const auto late = now_ - read_sent_ - read_wait_;
    if (late >= duration{} && late <= kReadPatience) read_patience_ = {};
  }
  forget_read_call();
  return true;
}

void gateway_core::impl::forget_read_call() {
  read_call_ = 0;
  overdue_read_ = {};
}

void gateway_core::impl::repeat_fetch() {
  if (!fetching_ || fetch_.is_repeated) return;
  const auto patience =
      fetch_.known.revision == 0 ? kWholeCopyPatience : kCopyPatience;
  if (now_ - fetch_.sent < patience) return;
  log("copy_overdue", {{"peer", static_cast<std::int64_t>(fetch_.from)},
                       {"waited_ms", to_ms(now_ - fetch_.sent)}});
  fetch_.is_repeated = true;
  fetch_.earlier = std::exchange(fetch_.call, next_fetch_call_++);
  do_act(action::fetch_changes{fetch_.call, fetch_.from, fetch_.known, true});
}

bool gateway_core::impl::take_fetch_call(const event::peer_changes& e) {
  const bool is_earlier = e.call == fetch_.earlier;
  if (e.call == 0 || (!is_earlier && e.call != fetch_.call)) return false;
  if (!e.changes) {
    // The other one may be answered yet.
    (is_earlier ? fetch_.earlier : fetch_.call) = 0;
    if (fetch_.call != 0 || fetch_.earlier != 0) return false;
  }
  fetch_.call = 0;
  fetch_.earlier = 0;
  fetching_ = false;
  return true;
}

}  // namespace seamglade::gateway
