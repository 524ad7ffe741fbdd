// seamglade - the shell: drives the decisions with libevent
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_SHELL_H_
#define SEAMGLADE_SRC_PROCESS_SHELL_H_

#include <deque>
#include <optional>

#include "connection/caller_server.h"
#include "connection/http_client.h"
#include "connection/peer_network.h"
#include "process/address_binder.h"
#include "process/log.h"
#include "process/operator_server.h"
#include "process/process_signals.h"
#include "seamglade/controller.h"
#include "seamglade/instance_config.h"

namespace seamglade::detail {

/**
 * One instance: moves bytes between its sockets and the decisions.
 *
 * Everything runs on the one loop of run(); events that arise while actions
 * are carried out are handled after them, in order.
 */
class shell {
 public:
  explicit shell(instance_config config);
  ~shell();
  shell(const shell&) = delete;
  shell& operator=(const shell&) = delete;

  /**
   * Binds the listeners; run() goes on trying those that can't be bound yet.
   * Fails with cannot_listen or bad_address.
   */
  result<void> start();
  /** Runs until a drain is finished; fails with cannot_listen. */
  result<void> run();

 private:
  void post(any_event event);
  void pump();
  void arm_timer();
  void drain();
  void on_signal(const signal_rule& rule);
  std::vector<own_address> own_addresses();
  void on_bound();
  void begin();
  controller_status status() const;

  void carry_out(action::reply_part&& a);
  void carry_out(action::reply_refusal&& a);
  void carry_out(action::reply_abort&& a);
  void carry_out(action::send_peer&& a);
  void carry_out(action::link_peers&& a);
  void carry_out(action::call_target&& a);
  void carry_out(action::cancel_call&& a);
  void carry_out(action::send_order&& a);
  void carry_out(action::read_service&& a);
  void carry_out(action::log_decision&& a);
  void carry_out(action::finished&& a);

  void on_caller_request(caller_id caller, const raw_request& raw);
  /** What a caller sent is no request, and was answered with this status. */
  void on_unreadable(int status);
  void on_target_piece(call_id call, int status,
                       std::vector<http_header> headers,
                       std::shared_ptr<const std::string> data, bool last);

  struct call_record {
    http_client::call_token token = 0;
    std::uint32_t next_sequence = 0;
  };

  instance_config config_;
  std::uint64_t incarnation_;
  json_log log_;
  base_handle base_;
  event_handle timer_;
  event_handle wall_timer_;
  std::optional<signal_reader> signals_;
  controller decisions_;
  caller_server callers_;
  peer_network peers_;
  operator_server operators_;
  http_client targets_;
  http_client service_;
  address_binder addresses_;
  /** Addresses that it was given, by what they are for. */
  std::map<listen_role, endpoint> bound_;
  bool has_begun_ = false;
  bool said_listening_ = false;
  std::optional<failure> ended_by_;
  std::map<call_id, call_record> calls_;
  std::deque<any_event> events_;
  bool pumping_ = false;
  time_point armed_for_ = time_point::max();
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_SHELL_H_
