// seamglade - the requests of this instance's callers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "request/entry_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "seamglade/rendezvous.h"

namespace seamglade::detail {
namespace {

/** Wait before a request that no target could take is tried again. */
constexpr duration kParkWait = 50ms;
constexpr duration kParkWaitMax = 400ms;
/** Times a request may follow an ownership that moves. */
constexpr std::uint32_t kMaxMoves = 64;
/** Silence after which the owner is asked for what is missing. */
constexpr duration kQuietCheck = 5s;
/** Wait for a link to come back before the outcome counts as unknown. */
constexpr duration kResumeWait = 5s;
/** Allowance for answers on their way. */
constexpr duration kAnswerMargin = 10s;
constexpr double kRetryTokensMax = 10;

/**
 * Hashes the whole text: a seed is mixed too weakly into short names, so that
 * two instances could be given the same origin.
 */
std::uint64_t origin_of(const controller_options& options) {
  return stable_hash(fmt::format("{}#{:x}", options.self, options.incarnation));
}

enum class refusal_class : std::uint8_t { final, moved, elsewhere };

refusal_class classify(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::not_owner:
    case refusal_reason::draining:
    case refusal_reason::never_received:
    case refusal_reason::not_ready:
    case refusal_reason::target_leaving:
      return refusal_class::moved;
    case refusal_reason::queue_full:
    case refusal_reason::target_ejected:
    case refusal_reason::target_lost:
    case refusal_reason::load_failed:
    case refusal_reason::no_target:
      return refusal_class::elsewhere;
    default:
      return refusal_class::final;
  }
}

}  // namespace

entry_table::entry_table(core& shared, request_router& router)
    : shared_(shared), router_(router), origin_(origin_of(shared.options)) {}

const service_settings& entry_table::settings(const request_spec& spec) const {
  if (!spec.adapter) return shared_.tree->at(spec.service);
  return shared_.tree->at(spec.service + "/" + spec.adapter->base);
}

std::optional<refusal> entry_table::admission(const request_spec& spec) const {
  const auto not_run = [](refusal_reason reason, duration retry_after = {}) {
    return refusal{outcome_kind::not_run, reason, retry_after};
  };
  if (spec.service.empty() || !shared_.tree->has(spec.service)) {
    return not_run(refusal_reason::unknown_service);
  }
  const auto& s = settings(spec);
  if (s.plain == spec.adapter.has_value()) {
    return not_run(refusal_reason::bad_request);
  }
  if (spec.adapter && !shared_.tree->declares(spec.service, *spec.adapter)) {
    return not_run(refusal_reason::unknown_adapter);
  }
  if (spec.body && spec.body->size() > s.max_body) {
    return not_run(refusal_reason::body_too_large);
  }
  const auto running = per_service_.find(spec.service);
  const auto share =
      std::max<std::size_t>(1, s.service_concurrency / shared_.live_instances);
  if (running != per_service_.end() && running->second >= share) {
    return not_run(refusal_reason::service_limit, 1s);
  }
  const auto callers = per_caller_.find(spec.caller);
  if (callers != per_caller_.end() && callers->second >= s.caller_concurrency) {
    return not_run(refusal_reason::caller_limit, 1s);
  }
  return std::nullopt;
}

void entry_table::accept(caller_id caller, request_spec spec) {
  if (const auto refused = admission(spec)) {
    ++shared_.counters.refused_not_run;
    shared_.log(action::decision_kind::refuse, {},
                spec.adapter ? spec.adapter->str() : std::string(),
                std::string(to_string(refused->reason)));
    shared_.act(action::reply_refusal{caller, *refused});
    return;
  }
  const auto& s = settings(spec);
  auto& tokens = retry_tokens_[spec.service];
  tokens = std::min(kRetryTokensMax, tokens + s.retry_budget / 100.0);
  ++per_service_[spec.service];
  ++per_caller_[spec.caller];
  entry_request request;
  request.caller = caller;
  const auto wait = spec.deadline.value_or(spec.priority == urgency::urgent
                                               ? s.urgent_deadline
                                               : s.deferred_deadline);
  request.start_by = shared_.now + wait;
  request.give_up = request.start_by + s.request_limit + kAnswerMargin;
  request.spec = std::move(spec);
  send(std::move(request));
}

void entry_table::insert(entry_request request) {
  const auto id = request.id;
  checks_.emplace(request.next_check, id);
  by_caller_[request.caller] = id;
  requests_.emplace(id, std::move(request));
}

void entry_table::send(entry_request request) {
  request.id = {origin_, ++last_sequence_};
  std::vector<std::string> weighed;
  const auto where = router_.choose(request.spec, request.tried, weighed);
  if (!where) return park(std::move(request));
  request.parked = false;
  request.where = *where;
  request.sent = shared_.now;
  request.next_check = shared_.now + kQuietCheck;
  shared_.log(
      action::decision_kind::route, where->target,
      request.spec.adapter ? request.spec.adapter->str() : std::string(),
      "owner " + where->owner, request.id, std::move(weighed));
  submit message{request.id, where->target, request.spec,
                 request.start_by - shared_.now};
  insert(std::move(request));
  router_.deliver(*where, std::move(message));
}

void entry_table::park(entry_request request) {
  if (shared_.now >= request.start_by || request.moves >= kMaxMoves) {
    return end_refused(std::move(request),
                       {outcome_kind::not_run, refusal_reason::no_target, 1s});
  }
  ++request.moves;
  const auto wait =
      std::min(kParkWaitMax, kParkWait * std::min(request.moves, 8U));
  request.parked = true;
  request.tried.clear();
  request.next_check =
      std::min(request.start_by, shared_.now + wait + shared_.jitter(wait / 4));
  request.id = {origin_, ++last_sequence_};
  insert(std::move(request));
}

void entry_table::finish(request_map::iterator at) {
  const auto& request = at->second;
  const auto release = [](auto& counts, const std::string& name) {
    const auto count = counts.find(name);
    if (count != counts.end() && --count->second == 0) counts.erase(count);
  };
  release(per_service_, request.spec.service);
  release(per_caller_, request.spec.caller);
  by_caller_.erase(request.caller);
  requests_.erase(at);
}

void entry_table::relay(entry_request& request, answer_part piece) {
  const bool last = piece.last;
  request.next_sequence = piece.sequence + 1;
  shared_.act(action::reply_part{request.caller, std::move(piece)});
  if (last) ++shared_.counters.answered;
}

void entry_table::on_part(const request_id& id, answer_part piece) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.parked) return;
  auto& request = at->second;
  request.next_check = std::max(request.next_check, shared_.now + kQuietCheck);
  const bool ordered = shared_.options.switches.order_parts;
  if (ordered && piece.sequence < request.next_sequence) return;
  if (ordered && piece.sequence > request.next_sequence) {
    request.early.emplace(piece.sequence, std::move(piece));
    return;
  }
  bool last = piece.last;
  relay(request, std::move(piece));
  while (!last && !request.early.empty() &&
         request.early.begin()->first <= request.next_sequence) {
    auto next =
        std::move(request.early.extract(request.early.begin()).mapped());
    if (next.sequence < request.next_sequence) continue;
    last = next.last;
    relay(request, std::move(next));
  }
  if (!last) return;
  if (request.where.owner != shared_.options.self) {
    router_.tell(request.where.owner, acknowledge{id});
  }
  finish(at);
}

void entry_table::end_refused(entry_request request, const refusal& why) {
  // The record may not be in the table: put it there, so that one function
  // ends every request.
  if (request.id == request_id{}) request.id = {origin_, ++last_sequence_};
  auto& counter = why.outcome == outcome_kind::not_run
                      ? shared_.counters.refused_not_run
                      : shared_.counters.ended_unknown;
  ++counter;
  shared_.log(
      action::decision_kind::refuse, request.where.target,
      request.spec.adapter ? request.spec.adapter->str() : std::string(),
      std::string(to_string(why.reason)), request.id);
  if (request.next_sequence > 0) {
    shared_.act(action::reply_abort{request.caller});
  } else {
    shared_.act(action::reply_refusal{request.caller, why});
  }
  const auto id = request.id;
  finish(requests_.insert_or_assign(id, std::move(request)).first);
}

void entry_table::end_unknown(request_map::iterator at, refusal_reason reason) {
  auto request = std::move(at->second);
  requests_.erase(at);
  const auto kind = shared_.options.switches.tell_unknown
                        ? outcome_kind::unknown
                        : outcome_kind::not_run;
  end_refused(std::move(request), {kind, reason, {}});
}

bool entry_table::take_retry(const std::string& service) {
  auto& tokens = retry_tokens_[service];
  if (tokens < 1) return false;
  tokens -= 1;
  ++shared_.counters.retries;
  return true;
}

void entry_table::on_refusal(const request_id& id, const refusal& why) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.parked) return;
  auto request = std::move(at->second);
  requests_.erase(at);
  if (request.where.owner != shared_.options.self) {
    router_.tell(request.where.owner, acknowledge{id});
  }
  if (why.outcome != outcome_kind::not_run || request.next_sequence > 0) {
    return end_refused(std::move(request), why);
  }
  switch (classify(why.reason)) {
    case refusal_class::final:
      return end_refused(std::move(request), why);
    case refusal_class::moved:
      return park(std::move(request));
    case refusal_class::elsewhere:
      return try_elsewhere(std::move(request), why);
  }
}

void entry_table::try_elsewhere(entry_request request, const refusal& why) {
  // A key belongs to one target: another one could not know of it.
  if (!request.spec.idempotency_key.empty() ||
      shared_.now >= request.start_by) {
    return end_refused(std::move(request), why);
  }
  request.tried.insert(request.where.target);
  std::vector<std::string> weighed;
  const auto other = router_.choose(request.spec, request.tried, weighed);
  if (!other || request.tried.contains(other->target) ||
      !take_retry(request.spec.service)) {
    return end_refused(std::move(request), why);
  }
  send(std::move(request));
}

void entry_table::on_caller_gone(caller_id caller) {
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) return;
  const auto at = requests_.find(found->second);
  if (at == requests_.end()) return;
  const auto owner = at->second.where.owner;
  const auto id = at->second.id;
  const bool sent = !at->second.parked;
  finish(at);
  if (sent) router_.tell(owner, cancel{id});
}

void entry_table::on_peer_down(const instance_id& peer) {
  std::vector<request_id> lost;
  for (auto& [id, request] : requests_) {
    if (request.parked || request.where.owner != peer) continue;
    request.link_lost = std::min(request.link_lost, shared_.now);
    request.next_check = shared_.now + kResumeWait;
    checks_.emplace(request.next_check, id);
    if (!shared_.options.switches.retry_only_not_run) lost.push_back(id);
  }
  for (const auto& id : lost) {
    auto request = std::move(requests_.at(id));
    requests_.erase(id);
    request.link_lost = time_point::max();
    send(std::move(request));
  }
}

void entry_table::on_peer_up(const instance_id& peer,
                             std::uint64_t incarnation) {
  std::vector<request_id> gone;
  for (auto& [id, request] : requests_) {
    if (request.parked || request.where.owner != peer) continue;
    if (request.where.owner_incarnation != incarnation) {
      gone.push_back(id);
      continue;
    }
    request.link_lost = time_point::max();
    router_.tell(peer, query_for(request));
  }
  for (const auto& id : gone) {
    const auto at = requests_.find(id);
    if (at != requests_.end()) end_unknown(at, refusal_reason::link_lost);
  }
}

query entry_table::query_for(const entry_request& request) const {
  return {request.id, request.where.owner_incarnation, request.next_sequence,
          shared_.now - request.sent};
}

void entry_table::check(request_map::iterator at) {
  auto& request = at->second;
  if (request.parked) {
    auto again = std::move(request);
    requests_.erase(at);
    return send(std::move(again));
  }
  if (shared_.now >= request.give_up) {
    router_.tell(request.where.owner, cancel{request.id});
    return end_unknown(at, refusal_reason::deadline);
  }
  if (request.link_lost != time_point::max() &&
      shared_.now >= request.link_lost + kResumeWait) {
    return end_unknown(at, refusal_reason::link_lost);
  }
  request.next_check = std::min(request.give_up, shared_.now + kQuietCheck);
  checks_.emplace(request.next_check, request.id);
  if (request.where.owner == shared_.options.self) return;
  router_.tell(request.where.owner, query_for(request));
}

void entry_table::on_time() {
  while (!checks_.empty() && checks_.begin()->first <= shared_.now) {
    const auto id = checks_.begin()->second;
    checks_.erase(checks_.begin());
    const auto at = requests_.find(id);
    if (at == requests_.end()) continue;
    if (at->second.next_check > shared_.now) {
      // The check was put off since; one entry for the new time is enough.
      checks_.emplace(at->second.next_check, id);
      continue;
    }
    check(at);
  }
}

time_point entry_table::wakeup() const {
  return checks_.empty() ? time_point::max() : checks_.begin()->first;
}

}  // namespace seamglade::detail
