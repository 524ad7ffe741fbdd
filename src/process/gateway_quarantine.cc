// seamglade - the direct path: requests that end the targets that run them
//
// Where a call breaks before its run has shown a second of life, its target is
// probed. If it ended, all that was there is blamed and all instances are told;
// what was there twice is refused (quarantine.h).
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <utility>

#include "process/gateway_impl.h"
#include "process/status_codes.h"
#include "request/request_fingerprint.h"

namespace seamglade::gateway {
namespace {

/**
 * A run that passed events on for so long did not end its target by beginning.
 * Of 149 calls that broke with eleven engines, 42 had passed none on; the one
 * to blame was among these at each end whose calls the logs tell whole.
 */
constexpr duration kProvenRun = 1s;
/** Where nothing is heard, so many show whether targets are within reach. */
constexpr std::size_t kOthersTried = 2;
/** A run that wrote for so long did not end its target by beginning to. */
constexpr duration kProvenPart = 400ms;
/**
 * A quarantine is told so often, with this pause: a datagram may be lost. Other
 * blame is told once, most of it of innocents: a loss costs one more target.
 */
constexpr unsigned kToldOfQuarantine = 2;
constexpr unsigned kToldOfBlame = 1;
constexpr duration kToldPause = 200ms;
/** What did not go into one message follows after this. */
constexpr duration kNextMessage = 30ms;
/** Rows in one message: 3.2 KB of those that were there at four ends. */
constexpr std::size_t kMostRows = 32;

constexpr std::string_view kRefuses = "refuses_connections";

}  // namespace

bool gateway_core::impl::may_have_ended_target(const exchange& x) {
  if (x.called_at < resumed_) return false;
  if (x.first_event && now_ - *x.first_event > kProvenRun) return false;
  const auto* target = target_of(x);
  if (target == nullptr || target->has_left(now_)) return false;
  // What is silent with its domain did not end by a request.
  return !is_suspect(*target);
}

void gateway_core::impl::suspect_request(exchange& x) {
  if (!may_have_ended_target(x)) return;
  if (std::exchange(x.is_suspected, true)) return;
  const auto& target = *target_of(x);
  const auto suspects = suspects_of(x);
  switch (ends_.call_broke(now_, target.hash, suspects)) {
    case end_watch::verdict::to_probe:
      do_act(action::probe_target{x.target, target.entry.address});
      break;
    case end_watch::verdict::ended:
      blame(suspects, x.target, "broken");
      break;
    case end_watch::verdict::awaited:
      break;
  }
}

void gateway_core::impl::on(event::target_probed&& e) {
  const auto hash = hash_of(e.target);
  note_tried(e);
  const auto requests =
      ends_.probed(now_, hash, e.outcome, reach_.last_heard());
  if (!requests.empty()) blame(requests, e.target, kRefuses);
  if (ends_.awaits_others(hash)) try_others(e.target);
  note_life(e);
}

void gateway_core::impl::try_others(const target_id& than) {
  auto known = targets_.staying(now_);
  std::erase_if(known, [&](const auto* target) {
    return target->entry.id == than || is_out_of_reach(*target);
  });
  try_some(std::move(known), kOthersTried);
}

void gateway_core::impl::blame_refusing_targets() {
  for (const auto& end : ends_.others_heard(now_)) {
    blame(end.requests, target_id_of(end.target), kRefuses);
  }
}

void gateway_core::impl::note_replaced(const target_id& target,
                                       std::string_view reason) {
  const auto requests = ends_.replaced(now_, hash_of(target));
  if (!requests.empty()) blame(requests, target, reason);
}

void gateway_core::impl::blame(const std::vector<request_fingerprint>& requests,
                               const target_id& target,
                               std::string_view reason) {
  ++counts_.target_ends;
  log("target_ended",
      {{"target", target},
       {"reason", std::string(reason)},
       {"requests", static_cast<std::int64_t>(requests.size())}},
      true);
  const auto hash = hash_of(target);
  const auto ended = ends_.broke_at(now_, hash);
  for (const auto& request : requests) {
    const bool was_refused = quarantine_.refused_for(now_, request).has_value();
    // Of parts that others share, what was found later is judged later.
    const auto at = request.is_part() ? now_ : ended;
    if (!quarantine_.note_end(now_, request, hash, at)) continue;
    const bool is_refused = quarantine_.refused_for(now_, request).has_value();
    untold_blame_[request] = is_refused ? kToldOfQuarantine : kToldOfBlame;
    note_quarantine(request, was_refused, "seen");
  }
  next_blame_ = now_;
}

void gateway_core::impl::clear_blame(const exchange& x) {
  clear_blame(x, x.fingerprint, now_);
}

void gateway_core::impl::clear_parts(exchange& x, time_point at) {
  if (std::exchange(x.is_proven, true)) return;
  for (const auto& part : x.parts) clear_blame(x, part, at);
}

void gateway_core::impl::clear_blame(const exchange& x,
                                     const request_fingerprint& what,
                                     time_point at) {
  if (!quarantine_.note_answer(at, what)) return;
  untold_blame_[what] = kToldOfBlame;
  next_blame_ = now_;
  log("blame_cleared",
      {{"request", x.facts.id}, {"content", to_hex(what.content)}});
}

void gateway_core::impl::clear_proven_parts() {
  for (auto& [caller, x] : exchanges_) {
    if (x.is_proven || x.parts.empty() || !x.first_event) continue;
    if (x.now != exchange::phase::calling || x.relay != 0) continue;
    if (now_ - *x.first_event >= kProvenPart) clear_parts(x, *x.first_event);
  }
}

std::vector<request_fingerprint> gateway_core::impl::suspects_of(
    const exchange& x) {
  auto out = x.parts;
  out.push_back(x.fingerprint);
  return out;
}

bool gateway_core::impl::is_near_verdict(const exchange& x) const {
  const auto suspects = suspects_of(x);
  return std::any_of(
      suspects.begin(), suspects.end(),
      [&](const auto& suspect) { return quarantine_.is_blamed(suspect); });
}

void gateway_core::impl::note_quarantine(const request_fingerprint& request,
                                         bool was_refused,
                                         std::string_view source) {
  const auto left = quarantine_.refused_for(now_, request);
  if (!left || was_refused) return;
  ++counts_.quarantines;
  std::string targets;
  const auto row = quarantine_.row_of(now_, request);
  for (const auto& end : row.ends) {
    if (!targets.empty()) targets += ',';
    targets += target_id_of(end.target);
  }
  log("request_quarantined",
      {{"content", to_hex(request.content)},
       {"part", request.part},
       {"source", std::string(source)},
       {"ends", static_cast<std::int64_t>(row.ends.size())},
       {"targets", std::move(targets)},
       {"for_ms", to_ms(*left)}},
      true);
  newly_refused_.push_back(request);
}

void gateway_core::impl::note_new_verdicts() {
  for (const auto& part : quarantine_.newly_refused_parts(now_)) {
    untold_blame_[part] = kToldOfQuarantine;
    note_quarantine(part, false, "seen");
  }
}

void gateway_core::impl::stop_refused_runs() {
  for (const auto& request : std::exchange(newly_refused_, {})) {
    if (quarantine_.refused_for(now_, request)) stop_runs_of(request);
  }
}

void gateway_core::impl::stop_runs_of(const request_fingerprint& request) {
  std::vector<caller_id> running;
  for (const auto& [caller, x] : exchanges_) {
    const bool runs = x.now == exchange::phase::calling && !x.head_sent;
    if (runs && !x.is_trial && is_about(x, request)) running.push_back(caller);
  }
  for (const auto caller : running) {
    auto& x = exchanges_.at(caller);
    // It may not have begun there: its target is spared if it is quick.
    do_act(action::cancel_call{x.call});
    end_call(x, true, false);
    refuse_quarantined(x);
  }
  waiting_dirty_ = true;
}

bool gateway_core::impl::is_about(const exchange& x,
                                  const request_fingerprint& what) {
  return x.fingerprint == what ||
         std::find(x.parts.begin(), x.parts.end(), what) != x.parts.end();
}

bool gateway_core::impl::may_try(exchange& x, const request_fingerprint& what) {
  // One instance tries, so that all together try once.
  const bool is_mine = std::none_of(
      staying_.begin(), staying_.end(),
      [&](member_address member) { return precedes_me(member, what.content); });
  if (!is_mine || x.relayed || !quarantine_.take_trial(now_, what))
    return false;
  x.is_trial = true;
  log("verdict_tried",
      {{"request", x.facts.id},
       {"content", to_hex(what.content)},
       {"part", what.part}},
      true);
  return true;
}

std::optional<request_fingerprint> gateway_core::impl::refused_content(
    const exchange& x) const {
  if (x.is_trial) return std::nullopt;
  for (const auto& suspect : suspects_of(x)) {
    if (quarantine_.refused_for(now_, suspect)) return suspect;
  }
  return std::nullopt;
}

bool gateway_core::impl::refuse_quarantined(exchange& x) {
  const auto refused = refused_content(x);
  if (!refused) return false;
  if (may_try(x, *refused)) return false;
  const auto left = quarantine_.refused_for(now_, *refused);
  ++counts_.quarantine_refusals;
  log("quarantine_refusal",
      {{"request", x.facts.id},
       {"content", to_hex(refused->content)},
       {"part", refused->part},
       {"ends", static_cast<std::int64_t>(quarantine_.ends_of(*refused))},
       {"for_ms", to_ms(*left)}});
  constexpr std::string_view kReason = "quarantined";
  if (x.head_sent) {
    give_up(x);
  } else if (x.runs > 0) {
    // Where it was sent before, it may have run: nothing is promised.
    refuse(x, kBadGateway, {}, kReason);
  } else {
    refuse(x, kUnavailable, *left, kReason);
  }
  return true;
}

std::vector<request_fingerprint> gateway_core::impl::untold_by_ends() const {
  std::vector<request_fingerprint> out;
  for (const auto& [what, times] : untold_blame_) out.push_back(what);
  std::stable_sort(out.begin(), out.end(), [&](const auto& a, const auto& b) {
    return quarantine_.ends_of(a) > quarantine_.ends_of(b);
  });
  return out;
}

void gateway_core::impl::tell_blame() {
  if (untold_blame_.empty() || now_ < next_blame_) return;
  blame_message message;
  const auto untold = untold_by_ends();
  for (const auto& what : untold) {
    if (message.rows.size() >= kMostRows) break;
    message.rows.push_back(quarantine_.row_of(now_, what));
    const auto at = untold_blame_.find(what);
    if (--at->second == 0) untold_blame_.erase(at);
  }
  const bool is_all = message.rows.size() == untold.size();
  next_blame_ = now_ + (is_all ? kToldPause : kNextMessage);
  send_to_all(message);
}

void gateway_core::impl::note_told_end(const target_end& end) {
  auto* target = targets_.find(end.target);
  const auto ended = now_ - end.age;
  if (target == nullptr || ended <= target->entry_heard) return;
  target->doubt.refused(ended, copy_confirmed_);
}

void gateway_core::impl::tell_proof(const request_fingerprint& request) {
  untold_blame_[request] = kToldOfBlame;
  next_blame_ = now_;
  log("proof_told", {{"content", to_hex(request.content)}});
}

void gateway_core::impl::take(member_address, const blame_message& message) {
  take_blame(message.rows);
}

void gateway_core::impl::take_blame(const std::vector<blame_row>& rows) {
  for (const auto& row : rows) {
    for (const auto& end : row.ends) note_told_end(end);
    const bool was_refused =
        quarantine_.refused_for(now_, row.request).has_value();
    const bool is_news = quarantine_.take(now_, row);
    if (quarantine_.knows_proof_against(row)) tell_proof(row.request);
    if (is_news) note_quarantine(row.request, was_refused, "told");
  }
}

}  // namespace seamglade::gateway
