// seamglade - the direct path: whether a target lives on when a connection ends
//
// An answer without a length or chunks ends with its connection. A target that
// is killed closes its connections as one that has sent the whole answer, so
// such an answer counts as whole only once its target is seen to live on.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/gateway_impl.h"
#include "process/status_codes.h"

namespace seamglade::gateway {

bool gateway_core::impl::is_end_in_doubt(const exchange& x, call_end end) {
  if (end != call_end::complete || !is_success(x.status)) return false;
  if (x.framing != body_framing::close_delimited || x.relay != 0) return false;
  const auto* target = target_of(x);
  // One that leaves may well end behind its last answer.
  return target != nullptr && !target->has_left(now_);
}

void gateway_core::impl::doubt_end(exchange& x) {
  x.closed_at = now_;
  ++counts_.ends_in_doubt;
  lives_.connection_ended(now_, hash_of(x.target));
}

void gateway_core::impl::check_lives() {
  for (const auto hash : lives_.take_due(now_)) {
    const auto* target = targets_.find(hash);
    if (target == nullptr || target->has_left(now_)) {
      settle_ends(hash, now_, call_end::complete);
    } else {
      try_connection(target);
    }
  }
}

void gateway_core::impl::note_life(const event::target_probed& e) {
  settle_ends(e);
  const auto lived_until = lives_.tried(hash_of(e.target), e.begun);
  if (!lived_until || e.outcome != event::target_probed::how::connected) return;
  auto* target = targets_.find(e.target);
  if (target != nullptr) target->doubt.lives(now_, *lived_until);
}

void gateway_core::impl::settle_ends(const event::target_probed& e) {
  // An instance that lost its way to targets is refused by all.
  const bool has_ended =
      e.outcome == event::target_probed::how::refused && !reach_.is_cut_off();
  settle_ends(hash_of(e.target), has_ended ? now_ : e.begun,
              has_ended ? call_end::closed : call_end::complete);
}

void gateway_core::impl::settle_ends(target_hash target, time_point tried,
                                     call_end end) {
  std::vector<caller_id> settled;
  for (const auto& [caller, x] : exchanges_) {
    if (!x.closed_at || hash_of(x.target) != target) continue;
    const bool proves_end = end != call_end::complete;
    const bool is_later = tried >= *x.closed_at + kAllSocketsClosed;
    if (proves_end || is_later) settled.push_back(caller);
  }
  for (const auto caller : settled) {
    const auto found = exchanges_.find(caller);
    if (found == exchanges_.end()) continue;
    auto& x = found->second;
    log("answer_end_settled", {{"request", x.facts.id},
                               {"target", x.target},
                               {"end", std::string(to_string(end))},
                               {"after_ms", to_ms(now_ - *x.closed_at)}});
    x.closed_at.reset();
    settle_call(x, end);
  }
}

}  // namespace seamglade::gateway
