// seamglade - whether any process listens at an address
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_CONNECT_PROBE_H_
#define SEAMGLADE_SRC_CONNECTION_CONNECT_PROBE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "connection/connection_budget.h"
#include "connection/event_handles.h"
#include "seamglade/types.h"

namespace seamglade::detail {

/** How an attempt to connect ended. */
enum class connect_outcome : std::uint8_t {
  refused,    // no process listens there
  connected,  // one does
  silent      // nothing was heard, or the way there failed
};

/**
 * Opens connections, sends nothing and closes them at once. Probes that find no
 * room in the budget wait for it.
 */
class connect_prober {
 public:
  using handler = std::function<void(connect_outcome)>;

  /** `budget`: shared with clients; none: there is no bound. */
  explicit connect_prober(event_base* base,
                          std::shared_ptr<connection_budget> budget = nullptr);
  ~connect_prober();
  connect_prober(const connect_prober&) = delete;
  connect_prober& operator=(const connect_prober&) = delete;

  /** Tries an address (IP:port); `done` runs once, later. */
  void probe(const std::string& address, handler done);

 private:
  struct waiting_probe {
    std::string address;
    handler done;
  };

  struct attempt {
    connect_prober* owner = nullptr;
    std::uint64_t number = 0;
    bufferevent_handle io;
    event_handle timer;
    std::optional<connection_budget::place> place;
    handler done;
  };

  /** Begins those that wait, as far as there is room. */
  void begin_waiting();
  void begin(waiting_probe probe);
  void finish(std::uint64_t number, connect_outcome outcome);

  event_base* base_;
  std::shared_ptr<connection_budget> budget_;
  std::uint64_t next_number_ = 1;
  std::deque<waiting_probe> waiting_;
  event_handle room_timer_;
  std::map<std::uint64_t, std::unique_ptr<attempt>> attempts_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_CONNECT_PROBE_H_
