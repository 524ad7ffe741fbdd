// seamglade - the direct path: at which software version a stream goes on
//
// Targets of one service may run several versions of their software, and what
// two versions write does not fit together. The instance that passes a stream's
// first event on keeps the version that wrote it, and tells others before the
// event leaves, so that whoever a caller comes to next can learn it. A stream
// whose version nobody can tell is not joined to another.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/member_order.h"
#include "process/status_codes.h"
#include "request/request_fingerprint.h"
#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

/** Members that are asked: views of who comes first differ a little. */
constexpr std::size_t kAsked = kOriginKeepers + 2;
/** Who has not answered is asked once more after this time ... */
constexpr duration kAskAgain = 30ms;
/** ... and is done without after this. */
constexpr duration kAskPatience = 90ms;
/** Rows in one message: 1.2 KB. */
constexpr std::size_t kMostRows = 48;
/** Rows that an instance tells in a planned stop. */
constexpr std::size_t kMostHandedOver = 2048;
/** A caller may come back with what an earlier try left of its time. */
constexpr int kLivesOfStream = 2;

constexpr std::string_view kDoubted = "stream_version_doubted";

service_hash hash_of_service(const service_profile& service) {
  return stable_hash(service.name);
}

}  // namespace

duration gateway_view::longest_stream() const {
  duration longest{};
  if (!config_) return longest;
  for (const auto& way : config_->routes) {
    if (way.resumable) longest = std::max(longest, way.timeout);
  }
  return longest * kLivesOfStream;
}

bool gateway_view::is_life_certain(const target_state& target) const {
  return !target.doubt.is_open(now_, copy_confirmed_);
}

bool gateway_view::is_version_certain(const exchange& x,
                                      const target_state& target) const {
  return target.entry.started_ms == x.target_life &&
         target.entry.software == x.software && is_life_certain(target);
}

bool gateway_view::takes_up(const exchange& x) {
  return x.way->stream && x.way->resumable && x.facts.takes_up();
}

bool gateway_view::may_go_on_at(const exchange& x,
                                const target_state& target) const {
  if (!x.origin) return !takes_up(x);
  return x.origin->is_certain() &&
         hash_of_software(target.entry.software) == x.origin->software &&
         is_life_certain(target);
}

stream_key gateway_view::stream_key_of(const exchange& x, std::string_view id) {
  const auto workspace = x.owner == nullptr ? 0 : x.owner->hash;
  return stable_hash(id) ^ mix(workspace);
}

const service_profile* gateway_view::service_at(
    const exchange& x, const stream_origin& origin) const {
  for (const auto& share : x.way->shares) {
    if (stable_hash(share.service) != origin.service) continue;
    return x.config->find_service(share.service);
  }
  return nullptr;
}

std::string gateway_view::software_name(const stream_origin& origin) const {
  for (const auto* target : targets_.listed()) {
    const auto& name = target->entry.software;
    if (hash_of_software(name) == origin.software) return name;
  }
  return to_hex(origin.software);
}

void gateway_core::impl::follow_stream(exchange& x) {
  const auto& resumes = x.facts.resumes;
  x.prompt = prompt_key_of(x);
  if (!x.facts.takes_up()) {
    x.stream = stream_key_of(x, x.facts.id);
    return admit(x);
  }
  ++counts_.taken_up;
  if (!resumes.empty()) x.stream = stream_key_of(x, resumes);
  if (x.relayed && x.relayed->origin) {
    return go_on(x, *x.relayed->origin, "relay");
  }
  if (const auto known = origins_.find(x.stream)) {
    return go_on(x, *known, "own");
  }
  if (!ask_origin(x)) end_tracing(x);
}

bool gateway_core::impl::ask_origin(exchange& x) {
  const auto key = asked_key(x);
  // A prompt tells nothing where several versions serve.
  const bool is_of_use =
      x.stream != 0 || !history_.is_mixed(hash_of_service(*x.service));
  if (key == 0 || !is_of_use) return false;
  auto asked = staying_;
  std::erase(asked, options_.self);
  if (roster_.is_large()) asked = first_members(key, asked, kAsked);
  if (asked.empty()) return false;
  x.now = exchange::phase::tracing;
  x.tracing.request = next_origin_request_++;
  x.tracing.awaited = {asked.begin(), asked.end()};
  x.tracing.asked = asked.size();
  x.tracing.again_at = now_ + kAskAgain;
  x.tracing.until = now_ + kAskPatience;
  origin_asks_[x.tracing.request] = x.caller;
  send_origin_requests(x);
  return true;
}

void gateway_core::impl::send_origin_requests(const exchange& x) {
  const auto service = hash_of_service(*x.service);
  for (const auto who : x.tracing.awaited) {
    ++counts_.origin_questions;
    do_act(action::send_datagram{
        who, origin_request{x.tracing.request, asked_key(x), service}});
  }
}

void gateway_core::impl::end_tracing(exchange& x) {
  const auto& asked = x.tracing;
  const bool all_answered = asked.asked > 0 && asked.awaited.empty();
  const auto only = history_.only_version(hash_of_service(*x.service));
  const bool is_proved = only && !asked.has_several &&
                         (has_watched() || asked.watched == *only) &&
                         (all_answered || copy_age() < kFreshCopy);
  if (is_proved) {
    ++counts_.taken_up_unknown;
    return go_on(x, {hash_of_service(*x.service), *only}, "single_version");
  }
  if (const auto origin = origin_by_prompt(x)) {
    ++counts_.taken_up_prompt;
    return go_on(x, *origin, "prompt");
  }
  if (!ask_targets(x)) refuse_unknown(x, kVersionUnknown, {});
}

void gateway_core::impl::refuse_unknown(exchange& x, std::string_view reason,
                                        const stream_evidence& evidence) {
  ++counts_.origin_unknown;
  // Who is silent may know it.
  const bool may_learn = !x.tracing.awaited.empty() || !evidence.silent.empty();
  log("stream_unknown",
      {{"request", x.facts.id},
       {"reason", std::string(reason)},
       {"resumes", x.facts.resumes},
       {"asked", static_cast<std::int64_t>(x.tracing.asked)},
       {"silent", static_cast<std::int64_t>(x.tracing.awaited.size())},
       {"targets", static_cast<std::int64_t>(evidence.targets)},
       {"kept", static_cast<std::int64_t>(evidence.kept.size())},
       {"unlisted", static_cast<std::int64_t>(evidence.silent.size())},
       {"copy_age_ms", to_ms(copy_age())},
       {"watched_ms", to_ms(now_ - watching_since_)},
       {"watched_from", std::string(watching_since_reason_)},
       {"after_ms", to_ms(now_ - x.started)}},
      true);
  refuse(x, kUnavailable, may_learn ? kComeBackSoon : duration{}, reason);
}

void gateway_core::impl::go_on(exchange& x, const stream_origin& origin,
                               std::string_view source) {
  origin_asks_.erase(x.tracing.request);
  if (!origin.is_certain()) return refuse_unknown(x, kDoubted, {});
  log("stream_taken_up", {{"request", x.facts.id},
                          {"resumes", x.facts.resumes},
                          {"last_event", x.facts.last_event},
                          {"software", software_name(origin)},
                          {"source", std::string(source)},
                          {"watched_ms", to_ms(now_ - watching_since_)},
                          {"watched_from", std::string(watching_since_reason_)},
                          {"after_ms", to_ms(now_ - x.started)}});
  const auto* service = service_at(x, origin);
  if (service == nullptr) {
    ++counts_.origin_gone;
    refuse(x, kUnavailable, {}, "stream_service_gone");
    return;
  }
  x.service = service;
  x.origin = origin;
  x.now = exchange::phase::waiting;
  admit(x);
}

void gateway_core::impl::note_origin(exchange& x) {
  if (!x.way->resumable || x.origin) return;
  x.origin = stream_origin{hash_of_service(*x.service), 0};
  if (x.relay != 0) {
    x.origin = x.told_origin.value_or(*x.origin);
  } else if (const auto* target = target_of(x);
             target != nullptr && is_version_certain(x, *target)) {
    x.origin->software = hash_of_software(x.software);
  }
  ++counts_.begun_streams[x.software];
  if (x.stream != 0) keep_origin(x);
  if (x.prompt != 0) keep_prompt(x);
}

void gateway_core::impl::keep_origin(const exchange& x) {
  if (!origins_.note(now_, {x.stream, *x.origin})) return;
  // The instance that serves it tells.
  if (x.relay != 0) return;
  if (history_.is_mixed(x.origin->service)) {
    tell_origins({{x.stream, *origins_.find(x.stream)}});
  } else {
    origins_.keep_untold(x.stream);
  }
}

void gateway_core::impl::tell_origins(const std::vector<origin_row>& rows,
                                      std::size_t most) {
  counts_.origins_told += rows.size();
  std::map<member_address, origin_message> messages;
  const auto add = [&](member_address who, const origin_row& row) {
    auto& message = messages[who];
    message.rows.push_back(row);
    if (message.rows.size() < kMostRows) return;
    do_act(action::send_datagram{who, std::exchange(message, {})});
  };
  auto others = staying_;
  std::erase(others, options_.self);
  for (const auto& row : rows) {
    const auto keepers =
        roster_.is_large() ? first_members(row.stream, others, most) : others;
    for (const auto who : keepers) add(who, row);
  }
  for (auto& [who, message] : messages) {
    if (message.rows.empty()) continue;
    do_act(action::send_datagram{who, std::move(message)});
  }
}

void gateway_core::impl::hand_origins_over() {
  auto rows = origins_.newest(kMostHandedOver);
  std::erase_if(rows, [this](const origin_row& row) {
    return !history_.is_mixed(row.origin.service);
  });
  tell_origins(rows);
}

void gateway_core::impl::note_software(const target_entry& entry) {
  const auto service = stable_hash(entry.service);
  const bool was_mixed = history_.is_mixed(service);
  history_.seen(now_, service, hash_of_software(entry.software));
  if (was_mixed || !history_.is_mixed(service)) return;
  log("versions_mixed",
      {{"service", entry.service}, {"software", entry.software}}, true);
  tell_origins(origins_.take_untold(service));
}

void gateway_core::impl::doubt_streams_at(const target_id& target) {
  for (auto& [caller, x] : exchanges_) {
    const bool runs_there =
        x.now == exchange::phase::calling && x.target == target;
    if (!runs_there || !x.first_event || !x.origin) continue;
    x.origin->software = 0;
    if (x.stream != 0) keep_origin(x);
    if (x.prompt != 0) keep_prompt(x);
  }
}

void gateway_core::impl::expire_origins() {
  for (const auto* target : targets_.listed()) {
    history_.seen(now_, stable_hash(target->entry.service),
                  hash_of_software(target->entry.software));
  }
  const auto longest = longest_stream();
  memory_.expire(now_);
  history_.expire(now_, longest);
  origins_.expire(now_, longest);
}

void gateway_core::impl::tick_tracing() {
  std::vector<caller_id> over;
  for (auto& [caller, x] : exchanges_) {
    if (x.now != exchange::phase::tracing) continue;
    if (now_ >= x.tracing.until) {
      over.push_back(caller);
    } else if (x.tracing.again_at && now_ >= *x.tracing.again_at) {
      x.tracing.again_at.reset();
      send_origin_requests(x);
    }
  }
  for (const auto caller : over) {
    const auto found = exchanges_.find(caller);
    if (found == exchanges_.end()) continue;
    auto& x = found->second;
    if (x.tracing.lists_from) {
      weigh_evidence(x);
    } else {
      end_tracing(x);
    }
  }
}

void gateway_core::impl::take(member_address, const origin_message& message) {
  for (const auto& row : message.rows) origins_.note(now_, row);
}

void gateway_core::impl::take(member_address from,
                              const origin_request& message) {
  const auto only = history_.only_version(message.service);
  origin_answer answer;
  answer.request = message.request;
  answer.origin = origins_.find(message.stream);
  answer.is_single_version = !history_.is_mixed(message.service);
  if (has_watched()) answer.watched = only.value_or(0);
  do_act(action::send_datagram{from, answer});
}

void gateway_core::impl::take(member_address from,
                              const origin_answer& message) {
  const auto asked = origin_asks_.find(message.request);
  if (asked == origin_asks_.end()) return;
  const auto found = exchanges_.find(asked->second);
  if (found == exchanges_.end()) return;
  auto& x = found->second;
  if (x.now != exchange::phase::tracing) return;
  if (message.origin) origins_.note(now_, {asked_key(x), *message.origin});
  if (message.origin && x.stream != 0) {
    return go_on(x, *message.origin, "told");
  }
  x.tracing.has_several |= !message.is_single_version;
  auto& watched = x.tracing.watched;
  x.tracing.has_several |=
      watched != 0 && message.watched != 0 && watched != message.watched;
  if (message.watched != 0) watched = message.watched;
  x.tracing.awaited.erase(from);
  if (x.tracing.awaited.empty() && !x.tracing.lists_from) end_tracing(x);
}

}  // namespace seamglade::gateway
