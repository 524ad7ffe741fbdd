// seamglade - the operators' HTTP listener: health, status, metrics, drain
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_OPERATOR_SERVER_H_
#define SEAMGLADE_SRC_PROCESS_OPERATOR_SERVER_H_

#include <prometheus/registry.h>

#include "connection/event_handles.h"
#include "connection/peer_network.h"
#include "seamglade/controller.h"

namespace seamglade::detail {

struct operator_observer {
  std::function<controller_status()> status;
  std::function<peer_traffic()> traffic;
  std::function<void()> drain;
};

/** Answers operators; it has its own address, apart from the callers'. */
class operator_server {
 public:
  operator_server(event_base* base, instance_id instance,
                  operator_observer observer);

  /** Fails with cannot_listen or cannot_listen_yet. */
  result<endpoint> listen(const endpoint& at);

 private:
  void on_request(evhttp_request* request);
  std::string status_json() const;
  std::string metrics();

  instance_id instance_;
  operator_observer observer_;
  http_handle http_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_OPERATOR_SERVER_H_
