// seamglade - answers that the owner of a target keeps for entry instances
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "request/served_table.h"

namespace seamglade::detail {
namespace {

/** How long the id of a request is known after its acknowledgement. */
constexpr duration kAcknowledgedMemory = 2min;
/** How long it is known without one. */
constexpr duration kIdMemory = 1h;
/** How long an answer is kept without an acknowledgement. */
constexpr duration kAnswerMemory = 1min;

}  // namespace

bool served_table::begin(const request_id& id) {
  const bool fresh = records_.try_emplace(id).second;
  if (fresh) ++open_;
  return fresh;
}

void served_table::finish(const request_id& id, record& r, time_point now) {
  if (r.finished) return;
  r.finished = true;
  --open_;
  expiry_.emplace(now + kAnswerMemory, id);
}

void served_table::on_answer(const request_id& id, const answer_part& piece,
                             time_point now) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  it->second.parts.push_back(piece);
  if (piece.last) finish(id, it->second, now);
}

void served_table::on_refusal(const request_id& id, const refusal& why,
                              time_point now) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  it->second.refused = why;
  finish(id, it->second, now);
}

void served_table::drop_parts(record& r) {
  if (!r.parts.empty()) r.dropped = true;
  r.parts.clear();
  r.parts.shrink_to_fit();
}

void served_table::on_acknowledge(const request_id& id) {
  const auto it = records_.find(id);
  if (it == records_.end() || !it->second.finished) return;
  it->second.acknowledged = true;
  drop_parts(it->second);
}

std::vector<message> served_table::on_query(const query& asked,
                                            std::uint64_t incarnation,
                                            time_point now) {
  std::vector<message> missing;
  const auto it = records_.find(asked.id);
  if (it == records_.end()) {
    // Only a request that is young enough to be remembered can be denied.
    const bool remembers =
        asked.incarnation == incarnation && asked.age < kIdMemory / 2;
    if (!remembers) {
      missing.push_back(refuse{
          asked.id, {outcome_kind::unknown, refusal_reason::link_lost, {}}});
      return missing;
    }
    const refusal never{
        outcome_kind::not_run, refusal_reason::never_received, {}};
    begin(asked.id);
    on_refusal(asked.id, never, now);
    missing.push_back(refuse{asked.id, never});
    return missing;
  }
  if (it->second.dropped) {
    missing.push_back(refuse{
        asked.id, {outcome_kind::unknown, refusal_reason::link_lost, {}}});
    return missing;
  }
  for (const auto& piece : it->second.parts) {
    if (piece.sequence >= asked.next_sequence) {
      missing.push_back(part{asked.id, piece});
    }
  }
  if (it->second.refused) {
    missing.push_back(refuse{asked.id, *it->second.refused});
  }
  return missing;
}

void served_table::expire(time_point now) {
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    const auto id = expiry_.begin()->second;
    expiry_.erase(expiry_.begin());
    const auto it = records_.find(id);
    if (it == records_.end()) continue;
    auto& r = it->second;
    if (r.old) {
      records_.erase(it);
      continue;
    }
    drop_parts(r);
    r.old = true;
    expiry_.emplace(now + (r.acknowledged ? kAcknowledgedMemory : kIdMemory),
                    id);
  }
}

time_point served_table::wakeup() const {
  return expiry_.empty() ? time_point::max() : expiry_.begin()->first;
}

}  // namespace seamglade::detail
