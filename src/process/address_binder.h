// seamglade - an instance's own addresses: bound side by side, tried again
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_ADDRESS_BINDER_H_
#define SEAMGLADE_SRC_PROCESS_ADDRESS_BINDER_H_

#include <functional>
#include <string>
#include <vector>

#include "connection/event_handles.h"
#include "process/wait_notice.h"

namespace seamglade::detail {

/** What an instance has an address for. */
enum class listen_role : std::uint8_t {
  callers,
  ready,
  peers,
  datagrams,
  metrics,
  operators
};

std::string_view to_string(listen_role role);

/** An address, and how it is bound. */
struct own_address {
  listen_role role;
  /** IP:port. */
  std::string address;
  /** Fails with cannot_listen_yet where it is worth another try. */
  std::function<result<void>(const endpoint&)> bind;
};

/** An address that could not be bound yet. */
struct address_wait {
  listen_role role;
  std::string_view address;
  const failure& why;
  duration waited;
};

/**
 * Binds addresses, each as soon as it can be. One that fails with
 * cannot_listen_yet is tried again from the loop, every 100 ms.
 */
class address_binder {
 public:
  struct handlers {
    /** An address is waited for: said at once, and every 10 s. */
    std::function<void(const address_wait&)> waiting;
    /** At least one more is bound. */
    std::function<void()> bound;
    /** A later try failed for good; no more are made. */
    std::function<void(const failure&)> failed;
  };
  struct counters {
    /** Addresses that were not bound at the first try. */
    std::uint64_t waits = 0;
    /** Tries after the first one. */
    std::uint64_t retries = 0;
  };

  address_binder(event_base* base, handlers on);
  address_binder(const address_binder&) = delete;
  address_binder& operator=(const address_binder&) = delete;

  /**
   * Tries all addresses once, and goes on from the loop. Fails with
   * bad_address or cannot_listen.
   */
  result<void> start(std::vector<own_address> addresses);
  /** Makes no more tries. */
  void stop() { timer_.reset(); }
  bool is_bound(listen_role role) const;
  bool all_bound() const;
  /** Returns the time from the first try to the last success so far. */
  duration waited() const { return last_bound_ - started_; }
  const counters& counts() const { return counts_; }

 private:
  struct item {
    own_address what;
    endpoint where;
    bool is_bound = false;
    failure why;
    wait_notice notice;
  };

  /** Tries what is not bound; fails where that is for good. */
  result<void> try_all();
  void try_again();
  void tell();
  void arm();

  event_base* base_;
  handlers on_;
  std::vector<item> items_;
  event_handle timer_;
  time_point started_{};
  time_point last_bound_{};
  counters counts_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_ADDRESS_BINDER_H_
