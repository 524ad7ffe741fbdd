// seamglade - the part of workspaces' quotas that one instance hands out
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/quota_accounts.h"

#include <algorithm>
#include <set>

#include "process/member_order.h"

namespace seamglade::gateway {
namespace {

/** Of the excess that operators allow, parts go to: both sides of a cut ... */
constexpr double kCutPart = 0.2;
/**
 * ... and new accounts: with an excess of 0.25 and a window of 8 s they start
 * with what comes in a second.
 */
constexpr double kStartPart = 0.5;
/** Of the slack, this part is how far all accounts together may overdraw. */
constexpr double kOverdraftPart = 0.6;
/** Units that an account can hold: one request, where requests count. */
constexpr double kLeastCapacity = 1;

double seconds(duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

}  // namespace

double quota_accounts::seen() const {
  return std::min(1.0, sight_.part() * (1 + kCutPart * bounds_.excess));
}

void quota_accounts::adjust(time_point now, const workspace& which,
                            double share) {
  const auto& quota = which.quota;
  const auto rate = quota.rate * share;
  const auto seen_part = seen();
  const auto span = seconds(bounds_.window) * bounds_.excess * kStartPart;
  auto& account =
      accounts_.try_emplace(which.hash, now, rate * seen_part * span)
          .first->second;
  const auto overdraft = bounds_.slack * kOverdraftPart * share;
  // A request is granted by one account alone.
  const auto capacity =
      std::max(kLeastCapacity, quota.burst * share * seen_part);
  account.configure(now, rate * seen_part, capacity, overdraft);
}

void quota_accounts::update(time_point now, const configuration& config,
                            const fleet_view& view) {
  sight_.look(now, view);
  const auto accountants = std::min(kAccountants, view.staying.size());
  if (accountants == 0) return close();
  const auto share = 1.0 / static_cast<double>(accountants);
  std::set<std::uint64_t> mine;
  for (const auto& which : config.workspaces) {
    if (which.quota.rate <= 0) continue;
    const auto order = first_members(which.hash, view.staying, kAccountants);
    if (std::find(order.begin(), order.end(), self_) == order.end()) continue;
    mine.insert(which.hash);
    adjust(now, which, share);
  }
  std::erase_if(accounts_,
                [&](const auto& pair) { return !mine.contains(pair.first); });
}

quota_answer quota_accounts::take(time_point now,
                                  const quota_request& request) {
  quota_answer answer{request.request, request.workspace};
  const auto found = accounts_.find(request.workspace);
  if (found == accounts_.end()) return answer;
  if (found->second.take(now, request.amount)) {
    answer.verdict = quota_verdict::granted;
    return answer;
  }
  answer.verdict = quota_verdict::empty;
  answer.empty_for = found->second.until(request.amount);
  return answer;
}

}  // namespace seamglade::gateway
