// seamglade - the direct path: who the members are, and who holds what
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

constexpr duration kBeatPeriod = 250ms;
constexpr duration kLargeBeatPeriod = 400ms;
/** Claims of others that a heartbeat carries on. */
constexpr std::size_t kHeardClaims = 24;
/**
 * A newcomer to a large fleet that knows so many members has met some who told
 * it all they know.
 */
constexpr std::size_t kGreeted = 30;
/** Claims of others told to a newcomer: 9.6 KB at most. */
constexpr std::size_t kGreetingClaims = 400;
/** Who stays is looked up anew after this time. */
constexpr duration kStayingLife = 50ms;
constexpr std::size_t kMaxLoads = 40;
/** Quarantined requests that a heartbeat names: 164 bytes, two ends each. */
constexpr std::size_t kQuarantinedTold = 2;
/** ... and that a greeting does. */
constexpr std::size_t kQuarantinedGreeted = 16;
constexpr std::size_t kMaxClaims = 40;
/** In a large fleet a changed claim is told to all so often. */
constexpr unsigned kAnnouncements = 2;
constexpr duration kAnnouncementPause = 250ms;
/** A copy from another failure domain is asked for when one's own is older. */
constexpr duration kFarCopyAge = 900ms;
/** ... and, where there are several regions, from the own one sooner. */
constexpr duration kRegionCopyAge = 500ms;
/** In a large fleet new processes read the store spread over this time. */
constexpr std::int64_t kRangeSpreadMs = 600;

}  // namespace

void gateway_core::impl::refresh_staying() {
  if (now_ < staying_until_) return;
  staying_until_ = now_ + kStayingLife;
  staying_ = roster_.staying(now_);
}

bool gateway_view::is_staying(member_address who) const {
  return std::binary_search(staying_.begin(), staying_.end(), who);
}

void gateway_core::impl::on(event::new_seeds&& e) {
  log("settings_reloaded",
      {{"seeds", static_cast<std::int64_t>(e.seeds.size())}}, true);
  roster_.set_seeds(std::move(e.seeds));
}

void gateway_core::impl::take(member_address from, const heartbeat& message) {
  merge_rows(from, message.rows, message.members);
  for (const auto& claimed : message.claims) take(from, claimed);
  take_blame(message.quarantined);
  take_limits(message.limits);
  if (roster_.is_large()) answer_heartbeat(from, message);
  if (roster_.is_large() && !std::exchange(range_spread_, true)) {
    range_not_before_ = std::max(
        range_not_before_,
        now_ + static_cast<std::int64_t>(random_() % kRangeSpreadMs) * 1ms);
  }
  auto& peer = peers_[from];
  told_configuration_ = std::max(told_configuration_, message.configuration);
  peer.position = {message.epoch, message.store_revision};
  peer.store_age = message.store_age;
  peer.watching = message.watching;
  peer.heard = now_;
  for (const auto& load : message.loads) {
    if (auto* target = targets_.find(load.target)) {
      take(from, *target, load.work);
    }
  }
  const bool is_same_epoch = message.epoch == mirror_.epoch();
  if (peer.position <= mirror_.position()) {
    // Word of a former history says nothing of this one's age.
    if (!is_same_epoch) return;
    confirm_copy(now_ - message.copy_age);
    const bool has_newer = message.configuration > configuration_in_force();
    if (has_newer && now_ >= next_fetch_) fetch_kept_from(from);
    return;
  }
  const bool near = !roster_.is_large() || roster_.is_in_my_domain(from);
  const bool worth_it =
      near || !is_same_epoch || copy_age() > far_copy_age(from);
  if (worth_it && now_ >= next_fetch_) {
    fetch_from(from, message.epoch, now_ - message.copy_age);
  }
}

duration gateway_view::far_copy_age(member_address from) const {
  const bool is_in_region = roster_.has_several_regions() &&
                            roster_.distance_to(from) == proximity::same_region;
  return is_in_region ? kRegionCopyAge : kFarCopyAge;
}

void gateway_core::impl::merge_rows(member_address from,
                                    const std::vector<member_row>& rows,
                                    std::size_t known_there) {
  for (const auto newcomer : roster_.merge(now_, from, rows)) {
    greet(newcomer, newcomer == from, known_there);
  }
  // What this instance has to deny is not to wait for the next heartbeat.
  if (roster_.take_denial()) next_beat_ = now_;
}

void gateway_core::impl::take(member_address from,
                              const probe_request& message) {
  if (message.subject == options_.self) {
    do_act(action::send_datagram{
        from,
        probe_answer{message.origin, roster_.sample(message.origin), {}}});
    return;
  }
  do_act(action::send_datagram{message.subject, message});
}

void gateway_core::impl::take(member_address from,
                              const probe_answer& message) {
  merge_rows(from, message.rows, message.rows.size());
  if (message.rows.empty()) return;
  if (message.origin == options_.self) {
    for (const auto& claimed : message.claims) take(from, claimed);
    roster_.answered(now_, message.rows.front().address);
    return;
  }
  do_act(action::send_datagram{message.origin, message});
}

void gateway_core::impl::check_probes() {
  const auto step = roster_.check_probes(now_);
  for (const auto& detour : step.ask_others) {
    do_act(action::send_datagram{detour.helper,
                                 probe_request{options_.self, detour.subject}});
  }
  for (const auto suspect : step.accuse) {
    log("member_suspected", {{"peer", static_cast<std::int64_t>(suspect)}},
        true);
    do_act(action::send_datagram{
        suspect, probe_answer{suspect, roster_.sample(suspect), {}}});
  }
  if (step.is_urgent || !step.accuse.empty()) next_beat_ = now_;
  note_silent_members();
}

void gateway_core::impl::note_silent_members() {
  std::set<member_address> silent;
  for (const auto& member : roster_.silent(now_)) {
    silent.insert(member.who);
    if (silent_members_.contains(member.who)) continue;
    log("peer_silent",
        {{"peer", static_cast<std::int64_t>(member.who)},
         {"for_ms", to_ms(now_ - member.since)}},
        true);
  }
  for (const auto who : silent_members_) {
    if (silent.contains(who) || !roster_.is_alive(now_, who)) continue;
    log("peer_regained", {{"peer", static_cast<std::int64_t>(who)}}, true);
  }
  silent_members_ = std::move(silent);
}

void gateway_core::impl::greet(member_address newcomer, bool first_hand,
                               std::size_t known_there) {
  // In a large fleet the first that a newcomer meets tell it all they know, and
  // holders tell it of themselves.
  if (roster_.is_large() && !first_hand && keepers_.empty()) return;
  // After a start of all at once everyone is new to everyone. Greetings and
  // heartbeats of the first second are 38 KB an instance in place of 47 at 200
  // instances, 14.6 in place of 15.1 at 50 (under virtual time).
  const bool is_told = roster_.is_large() && known_there >= kGreeted;
  const bool tells_all = first_hand && !is_told;
  auto message = own_heartbeat();
  if (tells_all) message.rows = roster_.all_rows();
  add_own_claims(message);
  message.quarantined = quarantine_.next_rows(now_, kQuarantinedGreeted);
  message.limits = next_limits();
  if (tells_all) add_heard_claims(message.claims, kGreetingClaims);
  do_act(action::send_datagram{newcomer, std::move(message)});
}

heartbeat gateway_view::own_heartbeat() const {
  heartbeat message;
  message.rows.push_back(roster_.own_row());
  message.members = static_cast<std::uint32_t>(roster_.present());
  message.store_revision = mirror_.revision();
  message.epoch = mirror_.epoch();
  message.configuration = configuration_in_force();
  message.store_age = store_age();
  message.copy_age = copy_age();
  message.watching = reading_ == reading::watch || now_ < next_read_;
  return message;
}

void gateway_core::impl::announce(target_hash target) {
  next_beat_ = now_;
  if (roster_.is_large()) announcements_[target] = kAnnouncements;
}

void gateway_core::impl::announce_claims() {
  if (announcements_.empty() || now_ < next_announcement_) return;
  next_announcement_ = now_ + kAnnouncementPause;
  auto message = own_heartbeat();
  for (auto at = announcements_.begin(); at != announcements_.end();) {
    const auto& known = claims_[at->first];
    message.claims.push_back({at->first, known.fence, known.holder});
    at = --at->second == 0 ? announcements_.erase(at) : std::next(at);
  }
  send_to_all(message);
}

void gateway_core::impl::take(member_address from,
                              const target_claim& claimed) {
  auto& known = claims_[claimed.target];
  const bool first_hand = claimed.holder == from;
  if (claimed.fence == known.fence) {
    if (known.holder == claimed.holder) {
      if (first_hand) known.heard = now_;
      return;
    }
    // Given up: the last order may be as late as this word.
    if (claimed.holder == 0) known = {0, claimed.fence, now_, true};
    return;
  }
  // Of two claims the higher counts, also when its holder is out of sight: the
  // other learns of it, steps back and comes again under a higher fence.
  if (claimed.fence < known.fence) return;
  if (claimed.holder == options_.self &&
      !keepers_.contains(target_id_of(claimed.target))) {
    // Word of this instance's former life.
    known = {0, claimed.fence, known.heard};
    return;
  }
  known = {claimed.holder, claimed.fence, now_};
  waiting_dirty_ = true;
}

target_id gateway_core::impl::target_id_of(target_hash target) {
  const auto* found = targets_.find(target);
  return found == nullptr ? target_id() : found->entry.id;
}

void gateway_view::add_own_claims(heartbeat& message) const {
  for (const auto& [id, keeper] : keepers_) {
    if (message.claims.size() >= kMaxClaims) break;
    message.claims.push_back({hash_of(id), keeper->fence(), options_.self});
  }
}

void gateway_core::impl::answer_heartbeat(member_address from,
                                          const heartbeat& message) {
  probe_answer answer;
  answer.origin = from;
  answer.rows = roster_.sample(from, message.members);
  const bool knows_others =
      message.claims_digest != 0 && message.claims_digest != claims_digest();
  if (knows_others) add_heard_claims(answer.claims, kHeardClaims);
  do_act(action::send_datagram{from, std::move(answer)});
}

std::uint64_t gateway_view::claims_digest() const {
  std::uint64_t sum = 0;
  for (const auto& [target, known] : claims_) {
    if (known.fence == 0) continue;
    sum ^= mix(target ^ mix(known.fence ^ mix(known.holder)));
  }
  // None means that there is nothing to compare.
  return std::max<std::uint64_t>(1, sum);
}

void gateway_core::impl::add_heard_claims(std::vector<target_claim>& claims,
                                          std::size_t most) {
  if (claims_.empty()) return;
  auto at = claims_.upper_bound(next_claim_told_);
  const auto count = std::min(most, claims_.size());
  for (std::size_t i = 0; i < count; ++i, ++at) {
    if (at == claims_.end()) at = claims_.begin();
    next_claim_told_ = at->first;
    const auto& known = at->second;
    if (known.fence == 0) continue;
    claims.push_back({at->first, known.fence, known.holder});
  }
}

void gateway_core::impl::send_heartbeats() {
  next_beat_ = now_ + (roster_.is_large() ? kLargeBeatPeriod : kBeatPeriod);
  roster_.beat(now_);
  auto message = own_heartbeat();
  add_own_claims(message);
  // In a large fleet a changed claim was told to all; who missed it is told as
  // soon as it shows that it knows others, so that calm costs 8 bytes.
  if (roster_.is_large()) {
    message.claims_digest = claims_digest();
  } else {
    add_heard_claims(message.claims, kHeardClaims);
  }
  for (const auto* target : targets_.staying(now_)) {
    if (message.loads.size() >= kMaxLoads) break;
    if (target->own.running == 0) continue;
    // Its holder knows, and is asked.
    if (roster_.is_large() && has_live_holder(target->hash)) continue;
    message.loads.push_back({target->hash, target->own});
  }
  // Who starts anew hears it before long: each peer's heartbeat tells some.
  message.quarantined = quarantine_.next_rows(now_, kQuarantinedTold);
  message.limits = next_limits();
  for (const auto to : roster_.heartbeat_targets(now_)) {
    message.rows = roster_.sample(to);
    do_act(action::send_datagram{to, message});
  }
}

}  // namespace seamglade::gateway
