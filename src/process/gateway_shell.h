// seamglade - the shell of the direct path: sockets around the decisions
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_GATEWAY_SHELL_H_
#define SEAMGLADE_SRC_PROCESS_GATEWAY_SHELL_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "connection/answer_collector.h"
#include "connection/call_client.h"
#include "connection/connect_probe.h"
#include "connection/datagram_socket.h"
#include "connection/gateway_server.h"
#include "process/address_binder.h"
#include "process/event_log.h"
#include "process/gateway_metrics.h"
#include "process/process_limits.h"
#include "process/process_signals.h"
#include "process/room_watch.h"
#include "process/settings_file.h"
#include "seamglade/gateway.h"
#include "seamglade/gateway_config.h"
#include "seamglade/stop_schedule.h"

namespace seamglade::detail {

/** A connection to a target is given up that has not come up by then. */
inline constexpr duration kTargetConnect = 450ms;

/** One instance of the direct path, on one loop. */
class gateway_shell {
 public:
  /**
   * `config` comes of `text`; `file` is read again on SIGHUP and when it
   * changes.
   */
  gateway_shell(gateway_config config, settings_file file, std::string text);
  ~gateway_shell();
  gateway_shell(const gateway_shell&) = delete;
  gateway_shell& operator=(const gateway_shell&) = delete;

  /**
   * Binds the listeners; run() goes on trying those that can't be bound yet.
   * Fails with cannot_listen or bad_address.
   */
  result<void> start();
  /** Runs until a stop is finished; fails with cannot_listen. */
  result<void> run();

 private:
  void post(gateway::any_event event);
  void pump();
  void arm_timer();
  std::vector<own_address> own_addresses();
  void on_bound();
  void join();
  bool has_needed_addresses() const;
  void on_listen_wait(const address_wait& wait);
  void on_caller(caller_id caller, gateway::caller_message message);
  gateway::gateway_status status() const;
  void on_signal(const signal_rule& rule);
  void begin_drain();
  void tick_drain();
  /** A new grace counts in a stop that is under way, too. */
  void change_drain();
  void say_stopped();
  void reload();
  void on_unfinished_settings(const failure& why);

  void carry_out(gateway::action::reply_head&& a);
  void carry_out(gateway::action::reply_data&& a);
  void carry_out(gateway::action::reply_end&& a);
  void carry_out(gateway::action::reply_abort&& a);
  void carry_out(gateway::action::call_target&& a);
  void carry_out(gateway::action::call_peer&& a);
  void carry_out(gateway::action::cancel_call&& a);
  void carry_out(gateway::action::send_order&& a);
  void carry_out(gateway::action::read_report&& a);
  void carry_out(gateway::action::list_contents&& a);
  void carry_out(gateway::action::probe_target&& a);
  void carry_out(gateway::action::watch_store&& a);
  void carry_out(gateway::action::range_store&& a);
  void carry_out(gateway::action::fetch_changes&& a);
  void carry_out(gateway::action::send_datagram&& a);
  void carry_out(gateway::action::set_limits&& a);
  void carry_out(gateway::action::log_line&& a);

  /** Makes a call whose answer is wanted whole. */
  void ask(call_client& client, outgoing_call call, const answer_bounds& bounds,
           std::function<void(collected_answer)> done);
  void read_store(gateway::store_call_id id, gateway::store_scope scope,
                  std::string path, duration timeout, bool on_new_connection);
  void answer_ready(caller_id caller);
  void answer_metrics(caller_id caller, std::string_view path);
  void answer_peer(caller_id caller, gateway::caller_message message);
  void answer_copy(caller_id caller, std::string_view target);
  /** Makes a call whose answer is passed to the decisions as it comes. */
  void pass_on_answer(call_client& client, call_id id, outgoing_call call);
  /** Returns the server that a caller's connection belongs to. */
  gateway_server& server_of(caller_id caller);
  gateway_server make_server(
      std::function<void(caller_id, gateway::caller_message)> request,
      std::size_t connections);
  listener_bounds bounds_of(listener_use use, std::size_t connections) const;
  resource_status resources() const;
  void log_room();

  gateway_config config_;
  settings_file config_file_;
  std::string config_text_;
  process_limits limits_;
  descriptor_shares descriptors_;
  std::shared_ptr<byte_budget> bytes_;
  /** Of all that the clients and the prober open. */
  std::shared_ptr<connection_budget> opened_;
  base_handle base_;
  std::unique_ptr<gateway::dialect> platform_;
  event_log log_;
  gateway::gateway_core decisions_;
  gateway_server callers_;
  gateway_server ready_;
  gateway_server metrics_;
  gateway_server peers_;
  datagram_socket datagrams_;
  datagram_bytes datagram_bytes_;
  call_client target_client_;
  /** For the platform's store and other instances: they answer in order. */
  call_client fleet_client_;
  /** For requests that are handed on to other instances. */
  call_client relay_client_;
  connect_prober prober_;
  address_binder addresses_;
  event_handle timer_;
  std::optional<signal_reader> signals_;
  struct open_call {
    call_client* client = nullptr;
    call_client::token token = 0;
  };
  std::map<call_id, open_call> open_calls_;
  /** Requests that other instances handed on, by the names of their calls. */
  std::map<caller_id, std::string> relayed_;
  std::deque<gateway::any_event> events_;
  bool pumping_ = false;
  /** Its peers can reach it, so the decisions are at work. */
  bool has_joined_ = false;
  bool said_listening_ = false;
  bool said_unfinished_ = false;
  std::optional<failure> ended_by_;
  /** None: nobody has told it to stop. */
  std::optional<stop_schedule> stop_;
  time_point next_file_look_{};
  std::uint16_t peer_port_ = 0;
  std::map<int, std::uint64_t> refused_unread_;
  room_watch room_watch_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_GATEWAY_SHELL_H_
