// seamglade - the direct path's world: what targets say of themselves in
// answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

/** After a target's word that it leaves, it may get requests so long. */
constexpr duration kLeavingBound = 2s;
/** After a target has asked for rest, requests may still be under way. */
constexpr duration kRestGrace = 500ms;
/** So many requests within one rest break no rule. */
constexpr std::size_t kAllowedInRest = 2;

}  // namespace

void gateway_world::say_leaving(const std::string& id, bool leaving) {
  targets_.at(id)->says_leaving = leaving;
}

void gateway_world::turn_away(const std::string& id, const fake_rest& rest) {
  auto& t = *targets_.at(id);
  t.turns_away_until = now_ + rest.lasts;
  t.rest = rest;
}

std::optional<std::vector<http_header>> gateway_world::turned_away(
    const target& at) const {
  if (now_ >= at.turns_away_until) return std::nullopt;
  std::vector<http_header> headers = {{"X-Not-Executed", "1"}};
  if (!at.rest.text.empty()) headers.push_back({"Retry-After", at.rest.text});
  return headers;
}

void gateway_world::note_told(target& at, member_address who,
                              const std::vector<http_header>& headers) {
  const auto& i = *instances_.at(who);
  auto& told = at.told[who];
  if (told.life != i.life) {
    told = {};
    told.life = i.life;
  }
  for (const auto& header : headers) {
    if (header.name == "Server-Leaving") {
      told.leaving_since = std::min(told.leaving_since, now_);
    }
    if (header.name == "Server-Limit") {
      told.limit_since = std::min(told.limit_since, now_);
    }
    if (header.name != "Retry-After" || at.rest.asked <= duration{}) continue;
    // What is asked for within a rest makes it longer.
    if (now_ >= told.rest_until) {
      told.in_rest = 0;
      told.rest_from = now_ + kRestGrace;
    }
    told.rest_until = std::max(told.rest_until, now_ + at.rest.asked);
  }
}

void gateway_world::judge_words(const instance& from, target& at,
                                const gateway_call& call) {
  const auto found = at.told.find(from.address);
  if (found == at.told.end() || found->second.life != from.life) return;
  auto& told = found->second;
  // A freeze or a restart since then excuses an instance, a cut only for rests.
  if (told.leaving_since < now_ && from.halted <= told.leaving_since &&
      call.sent > told.leaving_since + kLeavingBound) {
    ++unheeded_.late;
    violation(fmt::format(
        "{} got a request {} ms after it had told {} that "
        "it leaves",
        at.id, (now_ - told.leaving_since) / 1ms, from.address & 0xff));
  }
  const bool in_rest = now_ >= told.rest_from && now_ < told.rest_until;
  if (!in_rest || from.cut || from.disturbed > told.rest_from - kRestGrace) {
    return;
  }
  ++unheeded_.in_rest;
  if (++told.in_rest == kAllowedInRest + 1) {
    violation(fmt::format("{} had asked {} for rest and got {} requests", at.id,
                          from.address & 0xff, told.in_rest));
  }
}

}  // namespace seamglade::fakes
