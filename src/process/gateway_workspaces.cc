// seamglade - the direct path: keys and quotas of workspaces
//
// A key that operators took away must not work for long, at no instance. So an
// instance that cannot tell that its configuration was still the store's a
// while ago takes no request with a key. It learns that from the store or from
// a peer, and counts from when it asked: no delay makes the word younger.
//
// A quota binds all instances together. A few accountants, the first in the
// workspace's rendezvous order, hold its account in parts; each request asks
// one of them.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"
#include "process/member_order.h"
#include "process/status_codes.h"

namespace seamglade::gateway {
namespace {

/** Word of the configuration is refreshed when it is older than this ... */
constexpr duration kRefreshKeys = 900ms;
/** ... by questions that are so far apart. */
constexpr duration kConfirmationPause = 250ms;
/** The first in the order of those that watch the store are asked, in turn. */
constexpr std::size_t kConfirmers = 4;
/** An instance reads the store itself when the word is half its bound old ...
 */
constexpr int kOwnWordPart = 2;
/** ... and this later for each place in the order of watchers, at most ... */
constexpr duration kOwnWordStep = 25ms;
/** ... a quarter of the bound. */
constexpr int kOwnWordSpread = 4;
/** Kept of the bound: clocks do not run at quite the same rate. */
constexpr int kKeyMarginPart = 50;
/** An unknown key may be new where the word is older than this. */
constexpr duration kKeyMayBeNew = 2500ms;
/** A process that has just started waits this long for its first word. */
constexpr duration kAwaitKeys = 800ms;

/** Accounts are opened and closed as the fleet changes, so far apart. */
constexpr duration kAccountsPeriod = 250ms;
/** Members that are asked beside the accountants, where the views differ. */
constexpr std::size_t kFurtherAccountants = 2;
/** An accountant that has not answered in this time is passed over. */
constexpr duration kAccountantPatience = 40ms;
/**
 * Where nobody keeps the account, as after a start of all at once, all are
 * asked again so long, with pauses. A start of 72 instances refused 889
 * requests with 160 ms here and accounts 0.7 s after a start, 65 with these.
 */
constexpr duration kMeteringWait = 350ms;
constexpr duration kMeteringPause = 80ms;
/** Others are heard before accounts are opened, after a start or a pause. */
constexpr duration kHearMembers = 400ms;

/** An empty account is asked again this soon at the earliest. */
constexpr duration kLeastEmpty = 20ms;
/** Limits of when a workspace that has used its quota up is asked back. */
constexpr duration kLeastComeBack = 500ms;
constexpr duration kMostComeBack = 5s;

}  // namespace

duration gateway_view::key_age() const {
  if (!keys_confirmed_) return now_ - started_ + 1h;
  return now_ - *keys_confirmed_;
}

bool gateway_view::are_keys_confirmed() const {
  const auto bound = options_.key_bound;
  if (bound <= duration{}) return true;
  return key_age() < bound - bound / kKeyMarginPart;
}

bool gateway_view::awaits_keys() const {
  return config_->is_keyed() && !are_keys_confirmed() &&
         now_ - started_ < kAwaitKeys;
}

bool gateway_core::impl::is_key_word_old() {
  const auto bound = options_.key_bound;
  if (bound <= duration{} || !config_ || !config_->is_keyed()) return false;
  if (key_age() < bound / kOwnWordPart) return false;
  const auto place = static_cast<std::int64_t>(watch_rank());
  const auto wait = std::min(bound / kOwnWordSpread, place * kOwnWordStep);
  return key_age() >= bound / kOwnWordPart + wait;
}

void gateway_core::impl::confirm_keys(time_point at) {
  keys_confirmed_ = keys_confirmed_ ? std::max(*keys_confirmed_, at) : at;
}

void gateway_core::impl::confirm_keys_by_store(time_point at) {
  const auto in_force = configuration_in_force();
  // A newer configuration may revoke a key that is let in here.
  if (store_configuration_ < in_force || told_configuration_ > in_force) return;
  if (at < keys_doubted_until_) return;
  confirm_keys(at);
}

bool gateway_core::impl::admit_key(exchange& x) {
  if (x.way->is_public || !config_->is_keyed()) return true;
  if (!are_keys_confirmed()) {
    ++counts_.unconfirmed_keys;
    refuse(x, kUnavailable, kComeBackSoon, "keys_unconfirmed");
    return false;
  }
  x.owner = config_->find_workspace(x.facts.key);
  if (x.owner != nullptr) return true;
  ++counts_.unknown_keys;
  if (key_age() > kKeyMayBeNew && !x.facts.key.empty()) {
    refuse(x, kUnavailable, kComeBackSoon, "key_may_be_new");
  } else {
    refuse(x, kUnauthorized, {}, "key_unknown");
  }
  return false;
}

double gateway_view::quota_amount(const exchange& x) const {
  const auto& quota = x.owner->quota;
  if (quota.unit == quota_unit::requests) return 1;
  if (!x.facts.tells_tokens) return quota.tokens_if_untold;
  return static_cast<double>(x.facts.prompt_tokens) +
         static_cast<double>(x.facts.answer_tokens);
}

void gateway_core::impl::meter(exchange& x) {
  const bool is_limited = x.owner != nullptr && x.owner->quota.rate > 0;
  if (!is_limited) {
    place(x);
    return;
  }
  x.now = exchange::phase::metered;
  x.quota.request = next_quota_request_++;
  quota_requests_[x.quota.request] = x.caller;
  ask_accountant(x);
}

std::vector<member_address> gateway_view::accountants_to_ask(
    const exchange& x) const {
  auto order = first_members(x.owner->hash, staying_,
                             kAccountants + kFurtherAccountants);
  const auto first = std::min(kAccountants, order.size());
  if (first > 0) {
    // Each takes its turn, so that all parts of the account are used.
    const auto turn = static_cast<std::ptrdiff_t>(x.quota.request % first);
    std::rotate(order.begin(), order.begin() + turn,
                order.begin() + static_cast<std::ptrdiff_t>(first));
  }
  std::stable_partition(order.begin(), order.end(), [&](member_address who) {
    return !is_passed_over(who);
  });
  return order;
}

void gateway_core::impl::ask_accountant(exchange& x) {
  const auto workspace = x.owner->hash;
  for (const auto who : accountants_to_ask(x)) {
    auto& asked = x.quota.asked;
    if (std::find(asked.begin(), asked.end(), who) != asked.end()) continue;
    asked.push_back(who);
    if (const auto empty = empty_until_.find({workspace, who});
        empty != empty_until_.end() && now_ < empty->second) {
      x.quota.empty_for = empty->second - now_;
      continue;
    }
    const quota_request request{x.quota.request, workspace, quota_amount(x)};
    if (who == options_.self) {
      take_verdict(x, who, accounts_.take(now_, request));
      return;
    }
    x.quota.answer_until = now_ + kAccountantPatience;
    doubts_.asked(now_, who, kAccountantPatience);
    do_act(action::send_datagram{who, request});
    return;
  }
  end_metering(x);
}

void gateway_core::impl::end_metering(exchange& x) {
  if (x.quota.empty_for) {
    ++counts_.over_quota;
    refuse(x, kTooMany,
           std::clamp(*x.quota.empty_for, kLeastComeBack, kMostComeBack),
           "over_quota");
    return;
  }
  if (now_ - x.started < kMeteringWait) {
    x.quota.asked.clear();
    x.quota.answer_until = now_ + kMeteringPause;
    return;
  }
  ++counts_.unmetered;
  refuse(x, kUnavailable, kComeBackSoon, "quota_unconfirmed");
}

void gateway_core::impl::take_verdict(exchange& x, member_address from,
                                      const quota_answer& answer) {
  if (answer.verdict == quota_verdict::granted) {
    x.now = exchange::phase::waiting;
    place(x);
    return;
  }
  if (answer.verdict == quota_verdict::empty) {
    const auto wait = std::max(kLeastEmpty, answer.empty_for);
    empty_until_[{x.owner->hash, from}] = now_ + wait;
    x.quota.empty_for = wait;
  }
  ask_accountant(x);
}

void gateway_core::impl::take(member_address from,
                              const quota_answer& message) {
  const auto found = quota_requests_.find(message.request);
  if (found == quota_requests_.end()) return;
  const auto x = exchanges_.find(found->second);
  const bool waits = x != exchanges_.end() &&
                     x->second.now == exchange::phase::metered &&
                     x->second.owner->hash == message.workspace;
  if (waits) take_verdict(x->second, from, message);
}

void gateway_core::impl::take(member_address from,
                              const quota_request& message) {
  do_act(action::send_datagram{from, accounts_.take(now_, message)});
}

void gateway_core::impl::tick_workspaces() {
  if (!config_ || !config_->is_keyed()) return;
  if (now_ >= next_accounts_) open_accounts();
  ask_confirmations();
  std::vector<caller_id> unanswered;
  for (const auto& [caller, x] : exchanges_) {
    const bool waits = x.now == exchange::phase::metered && x.way != nullptr;
    if (waits && now_ >= x.quota.answer_until) unanswered.push_back(caller);
  }
  for (const auto caller : unanswered) {
    const auto found = exchanges_.find(caller);
    if (found == exchanges_.end()) continue;
    auto& x = found->second;
    ask_accountant(x);
  }
}

void gateway_core::impl::close_accounts() {
  accounts_.close();
  next_accounts_ = now_ + kHearMembers;
}

void gateway_core::impl::open_accounts() {
  next_accounts_ = now_ + kAccountsPeriod;
  std::erase_if(empty_until_,
                [&](const auto& pair) { return now_ >= pair.second; });
  if (stop_.has_begun()) return;
  accounts_.update(now_, *config_, view_of_fleet());
}

fleet_view gateway_view::view_of_fleet() const {
  fleet_view view;
  view.staying = staying_;
  for (const auto& member : roster_.silent(now_)) {
    view.silent.push_back(member.who);
  }
  if (view.staying.size() == 1) {
    // Nobody was met yet: the seeds may be serving on the other side of a cut.
    for (const auto seed : options_.seeds) {
      if (seed != options_.self) view.silent.push_back(seed);
    }
  }
  return view;
}

void gateway_core::impl::ask_confirmations() {
  if (options_.key_bound <= duration{} || now_ < next_confirmation_) return;
  if (key_age() < kRefreshKeys) return;
  next_confirmation_ = now_ + kConfirmationPause;
  auto others = watch_order();
  std::erase(others, options_.self);
  if (others.empty()) return;
  std::vector<member_address> heard;
  std::copy_if(others.begin(), others.end(), std::back_inserter(heard),
               [&](member_address who) { return !is_passed_over(who); });
  if (!heard.empty()) others = std::move(heard);
  const auto anyone = others[random_() % others.size()];
  const auto count = std::min(kConfirmers, others.size());
  const auto watcher = others[next_confirmer_++ % count];
  const confirmation_request request{now_.time_since_epoch()};
  do_act(action::send_datagram{watcher, request});
  if (anyone != watcher) do_act(action::send_datagram{anyone, request});
}

void gateway_core::impl::take(member_address from,
                              const confirmation_request& message) {
  if (!config_ || !keys_confirmed_) return;
  do_act(action::send_datagram{
      from, confirmation_answer{message.asked, key_age(), config_->version}});
}

void gateway_core::impl::take(member_address,
                              const confirmation_answer& message) {
  // A newer configuration than this instance's may lack keys that it has.
  if (!config_ || message.configuration > config_->version) return;
  const time_point asked(message.asked);
  if (asked > now_ || message.age < duration{}) return;
  confirm_keys(asked - message.age);
}

}  // namespace seamglade::gateway
