// seamglade - the part of workspaces' quotas that one instance hands out
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_QUOTA_ACCOUNTS_H_
#define SEAMGLADE_SRC_PROCESS_QUOTA_ACCOUNTS_H_

#include <map>
#include <vector>

#include "process/sight.h"
#include "process/token_bucket.h"
#include "seamglade/gateway.h"

namespace seamglade::gateway {

/** So many instances share a workspace: the first in its rendezvous order. */
inline constexpr std::size_t kAccountants = 3;

/**
 * The accounts that this instance keeps.
 *
 * A workspace's rate and burst are divided equally among its accountants, so
 * that none is lost with one of them. An accountant gives no more than the part
 * of the known members that it sees: two halves of a cut fleet never give more
 * than the whole. A new account starts nearly empty, since its forerunner may
 * have given all there was.
 */
class quota_accounts {
 public:
  quota_accounts(member_address self, quota_bounds bounds)
      : self_(self), bounds_(bounds) {}

  /** Opens, adjusts and closes accounts; to be called some times a second. */
  void update(time_point now, const configuration& config,
              const fleet_view& view);
  /** Closes all accounts: what this instance knows is old. */
  void close() { accounts_.clear(); }

  quota_answer take(time_point now, const quota_request& request);

  std::size_t size() const { return accounts_.size(); }
  /** Returns the part of the known fleet that is seen, with its allowance. */
  double seen() const;

 private:
  void adjust(time_point now, const workspace& which, double share);

  member_address self_;
  quota_bounds bounds_;
  std::map<std::uint64_t, token_bucket> accounts_;
  sight sight_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_QUOTA_ACCOUNTS_H_
