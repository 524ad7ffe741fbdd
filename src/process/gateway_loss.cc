// seamglade - the direct path: what is silent, a member or a whole domain
//
// Each call, question and answer is evidence for or against a failure domain;
// domain_watch weighs it. What is believed lost is passed over by choices: it
// is given no claim, no account and no order that it would not have otherwise.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/status_codes.h"

namespace seamglade::gateway {
namespace {

/** Members that are probed in one round. */
constexpr std::size_t kProbed = 2;
/** Which failure domains there are is looked up anew after this time. */
constexpr duration kDomainsLife = 1s;
/** A suspicion is told so often, with this pause: a datagram may be lost. */
constexpr unsigned kAlarms = 2;
constexpr duration kAlarmPause = 200ms;
/** Silence is looked at so far apart, at least. */
constexpr duration kLookPause = 20ms;
/** Longer than two ticks, so that it holds from one look to the next. */
constexpr duration kSuspicionStep = 150ms;
/** A call that is younger may yet be answered. */
constexpr duration kHungAtLeast = 100ms;
/** A call that shows whether targets answer again is given up after this. */
constexpr duration kTrialPatience = 300ms;

}  // namespace

void gateway_core::impl::watch_call(const exchange& x,
                                    const target_state& target) {
  const auto bound = waits_[x.service->name].bound();
  reach_.called(now_, target.hash, x.call, bound);
  const auto& domain = target.entry.failure_domain;
  if (domain == options_.failure_domain) return;
  const auto key = domain_hash(domain);
  domain_names_.try_emplace(key, domain);
  watch_.called(now_, key, target.hash, x.call, bound);
}

void gateway_core::impl::note_answer(const exchange& x) {
  const auto took = watch_.answered(now_, x.call);
  // What a target turns away takes it no time.
  if (took && !x.answer.not_run) waits_[x.service->name].learn(*took);
  reach_.ended(x.call);
  note_life_of(x.target);
  if (auto* target = target_of(x)) target->doubt.heard(now_, x.called_at);
}

void gateway_core::impl::doubt_life(const exchange& x, call_end how) {
  auto* target = target_of(x);
  if (target == nullptr) return;
  // It may have broken long before it was read, and be back since.
  const bool is_read_late = x.called_at < resumed_;
  if (how == call_end::not_sent || is_read_late) {
    target->doubt.refused(now_, copy_confirmed_);
  } else {
    target->doubt.broke(now_, copy_confirmed_);
    // Something else may take connections where no byte came.
    if (x.status != 0) lives_.connection_ended(now_, target->hash);
  }
}

void gateway_core::impl::note_end(const exchange& x, bool is_whole) {
  if (is_whole) {
    note_answer(x);
  } else {
    watch_.failed(now_, x.call);
    reach_.ended(x.call);
  }
}

void gateway_core::impl::note_life_of(const target_id& target) {
  const auto* found = targets_.find(target);
  if (found == nullptr) return;
  note_reached(target);
  note_life_in(domain_hash(found->entry.failure_domain), false);
}

void gateway_core::impl::note_life_in(domain_key domain, bool is_member) {
  const auto lasted = watch_.lived(now_, domain, is_member);
  if (lasted) end_suspicion(domain, "lives", *lasted);
}

void gateway_core::impl::heard_from(member_address who) {
  doubts_.heard(now_, who);
  const auto domain = roster_.domain_of(who);
  if (domain) note_life_in(*domain, true);
}

void gateway_core::impl::take(member_address from,
                              const domain_alarm& message) {
  if (message.domain == domain_hash(options_.failure_domain)) {
    do_act(action::send_datagram{from,
                                 probe_answer{from, roster_.sample(from), {}}});
    return;
  }
  watch_.silent(now_, message.domain, {silent_source::kind::word, 0});
}

void gateway_core::impl::watch_domains() {
  if (now_ < next_look_) return;
  next_look_ = now_ + kLookPause;
  refresh_domains();
  check_doubts();
  const auto found = watch_.look(now_, known_domains_);
  for (const auto& lapse : found.lapsed) {
    end_suspicion(lapse.domain, "lapsed", lapse.lasted);
  }
  for (const auto& suspicion : found.suspected) begin_suspicion(suspicion);
  for (const auto domain : found.probe) probe_domain(domain);
  for (const auto domain : found.probe_again) {
    send_probes(watch_.round_members(domain));
  }
  if (watch_.suspects() == 0) return;
  for (const auto& [key, name] : domain_names_) {
    if (watch_.is_suspect(key)) domains_.suspect(now_, name, kSuspicionStep);
  }
  send_alarms();
  leave_hung_calls();
}

void gateway_core::impl::refresh_domains() {
  if (now_ < domains_until_) return;
  domains_until_ = now_ + kDomainsLife;
  auto known = roster_.domains();
  for (const auto* target : targets_.staying(now_)) {
    const auto& name = target->entry.failure_domain;
    const auto key = domain_hash(name);
    known.insert(key);
    domain_names_.try_emplace(key, name);
  }
  known_domains_ = known.size();
}

void gateway_core::impl::check_doubts() {
  const auto mine = domain_hash(options_.failure_domain);
  for (const auto who : doubts_.newly_doubtful(now_)) {
    // One that lives is heard at once, and doubtful no longer.
    do_act(action::send_datagram{who, probe_request{options_.self, who}});
    const auto domain = roster_.domain_of(who);
    if (!domain || *domain == mine) continue;
    watch_.silent(now_, *domain, {silent_source::kind::member, who});
  }
}

void gateway_core::impl::probe_domain(domain_key domain) {
  auto there = roster_.members_in(now_, domain);
  std::shuffle(there.begin(), there.end(), random_);
  there.resize(std::min(kProbed, there.size()));
  std::vector<std::uint64_t> members(there.begin(), there.end());
  std::vector<std::uint64_t> elsewhere;
  for (const auto who : staying_) {
    if (who == options_.self || roster_.domain_of(who) == domain) continue;
    elsewhere.push_back(who);
  }
  std::shuffle(elsewhere.begin(), elsewhere.end(), random_);
  elsewhere.resize(std::min(kProbed, elsewhere.size()));
  send_probes(members);
  send_probes(elsewhere);
  watch_.probed(now_, domain, std::move(members), !elsewhere.empty());
}

void gateway_core::impl::send_probes(
    const std::vector<std::uint64_t>& members) {
  for (const auto member : members) {
    const auto who = static_cast<member_address>(member);
    do_act(action::send_datagram{who, probe_request{options_.self, who}});
  }
}

void gateway_core::impl::begin_suspicion(
    const domain_watch::findings::suspicion& found) {
  const auto name = domain_names_.find(found.domain);
  if (name == domain_names_.end()) return;
  ++counts_.domain_suspicions;
  log("domain_suspected",
      {{"domain", name->second},
       {"evidence", static_cast<std::int64_t>(found.evidence)},
       {"first_hand", static_cast<std::int64_t>(found.is_first_hand)},
       {"since_ms", to_ms(found.silent_for)}},
      true);
  if (found.is_first_hand) alarms_[found.domain] = kAlarms;
  waiting_dirty_ = true;
}

void gateway_core::impl::end_suspicion(domain_key domain,
                                       std::string_view reason,
                                       duration lasted) {
  alarms_.erase(domain);
  const auto name = domain_names_.find(domain);
  if (name == domain_names_.end()) return;
  domains_.clear(name->second);
  log("domain_cleared",
      {{"domain", name->second},
       {"reason", std::string(reason)},
       {"since_ms", to_ms(lasted)}},
      true);
  // What failed there failed with the domain.
  for (auto* target : targets_.staying(now_)) {
    if (target->entry.failure_domain != name->second) continue;
    targets_.succeeded(*target);
  }
  waiting_dirty_ = true;
}

void gateway_core::impl::send_alarms() {
  if (alarms_.empty() || now_ < next_alarm_) return;
  next_alarm_ = now_ + kAlarmPause;
  for (auto at = alarms_.begin(); at != alarms_.end();) {
    send_to_all(domain_alarm{at->first});
    at = --at->second == 0 ? alarms_.erase(at) : std::next(at);
  }
}

void gateway_core::impl::leave_hung_calls() {
  std::vector<caller_id> hung;
  for (const auto& [caller, x] : exchanges_) {
    if (x.now != exchange::phase::calling) continue;
    if (now_ - x.called_at < kHungAtLeast) continue;
    const auto* target = target_of(x);
    if (target == nullptr) continue;
    if (is_suspect(*target) || reach_.is_all_silent()) hung.push_back(caller);
  }
  for (const auto caller : hung) {
    const auto found = exchanges_.find(caller);
    if (found != exchanges_.end()) leave_hung_call(found->second);
  }
}

void gateway_core::impl::leave_way_trials() {
  if (!reach_.is_all_silent()) return;
  std::vector<caller_id> hung;
  for (const auto& [caller, x] : exchanges_) {
    const bool is_trial = x.is_way_trial && x.relay == 0;
    if (!is_trial || x.now != exchange::phase::calling) continue;
    if (now_ - x.called_at >= kTrialPatience) hung.push_back(caller);
  }
  for (const auto caller : hung) {
    const auto found = exchanges_.find(caller);
    if (found != exchanges_.end()) leave_hung_call(found->second);
  }
}

void gateway_core::impl::leave_hung_call(exchange& x) {
  const bool resumes = x.way->resumable && !x.events.last_id().empty();
  if (x.head_sent && !resumes) return;
  const auto targets = targets_for(x);
  const bool has_other = std::any_of(
      targets.begin(), targets.end(), [&](const target_state* target) {
        return !is_suspect(*target) && !is_out_of_reach(*target) &&
               !x.tried.contains(target->entry.id);
      });
  const bool has_way = has_other || (reach_.is_all_silent() && !x.relayed);
  if (!has_way || !may_retry(x, true)) return;
  ++counts_.left_calls;
  watch_.failed(now_, x.call);
  do_act(action::cancel_call{x.call});
  // Its target is not to blame by itself, and nothing is learned of it.
  x.status = 0;
  end_call(x, true, false);
  x.events.restart();
  retry(x, x.head_sent ? "resume" : "domain_suspected");
}

bool gateway_view::is_suspect(const target_state& target) const {
  if (watch_.suspects() == 0) return false;
  const auto& domain = target.entry.failure_domain;
  return domains_.state(now_, domain) == domain_state::suspect;
}

bool gateway_view::is_trial(const exchange& x,
                            const target_state& target) const {
  const bool may_fail = x.way->repeatable && x.way->attempts > 1 && x.runs == 0;
  return may_fail &&
         watch_.is_trial_due(now_, domain_hash(target.entry.failure_domain));
}

bool gateway_view::is_passed_over(member_address who) const {
  if (who == options_.self) return false;
  if (doubts_.is_doubtful(now_, who)) return true;
  if (watch_.suspects() == 0) return false;
  const auto domain = roster_.domain_of(who);
  return domain && watch_.is_suspect(*domain);
}

bool gateway_view::has_reachable_holder(target_hash target) const {
  if (!has_live_holder(target)) return false;
  return !is_passed_over(claims_.at(target).holder);
}

}  // namespace seamglade::gateway
