// seamglade - the callers' HTTP listener
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_CALLER_SERVER_H_
#define SEAMGLADE_SRC_CONNECTION_CALLER_SERVER_H_

#include <unordered_map>

#include "connection/caller_protocol.h"
#include "connection/event_handles.h"
#include "seamglade/controller.h"

namespace seamglade::detail {

struct caller_observer {
  /** A request whose headers and body have arrived. */
  std::function<void(caller_id, raw_request)> on_request;
  /** The caller closed its connection before the answer was complete. */
  std::function<void(caller_id)> on_gone;
};

/** Takes callers' requests and gives them their answers. */
class caller_server {
 public:
  caller_server(event_base* base, caller_observer observer);
  ~caller_server();
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  /** Fails with cannot_listen or cannot_listen_yet. */
  result<endpoint> listen(const endpoint& at);
  /** Takes no new connections; open ones are told to close. */
  void stop_listening();

  void reply(caller_id caller, const answer_part& piece);
  void refuse(caller_id caller, const refusal& why,
              std::string_view detail = {});
  /** Breaks the connection off, so that no short answer looks complete. */
  void abort(caller_id caller);
  std::size_t open() const { return requests_.size(); }

 private:
  struct caller_request;

  void on_request(evhttp_request* request);
  void finish(caller_id caller);
  void watch_close(evhttp_connection* connection, caller_request* watched);
  evhttp_request* begin_reply(caller_request& caller,
                              const std::vector<http_header>& headers);

  caller_observer observer_;
  http_handle http_;
  evhttp_bound_socket* socket_ = nullptr;
  bool stopping_ = false;
  caller_id last_caller_ = 0;
  std::unordered_map<caller_id, std::unique_ptr<caller_request>> requests_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_CALLER_SERVER_H_
