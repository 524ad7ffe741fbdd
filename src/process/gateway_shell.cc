// seamglade - the shell of the direct path: sockets around the decisions
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/gateway_shell.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/algorithm/string/predicate.hpp>
#include <random>

#include "connection/peer_paths.h"
#include "connection/relay_headers.h"
#include "process/gateway_metrics.h"
#include "process/status_codes.h"
#include "seamglade/instance_config.h"

namespace seamglade::detail {
namespace {

namespace action = gateway::action;
namespace event = gateway::event;
using gateway::any_event;
using gateway::caller_message;
using gateway::gateway_options;
using gateway::kNotFound;
using gateway::kOk;
using gateway::kUnavailable;
using gateway::member_address;

/**
 * Copies for peers that are not yet sent, at most: one more waits. Peers on
 * slow links that all asked for a large configuration took 71 MB.
 */
constexpr std::size_t kMostUnsentCopies = 4U << 20U;

/** The first name of a caller on the peers' listener. */
constexpr caller_id kFirstPeerCaller = caller_id{1} << 62U;
/** What instances add to the headers of a request, at most. */
constexpr std::uint32_t kRelayHeaderBytes = 1024;

constexpr duration kFileLook = 1s;

gateway_options options_of(const gateway_config& from) {
  gateway_options out;
  out.id = from.id;
  out.failure_domain = from.failure_domain;
  out.regions = from.regions;
  if (const auto own = parse_endpoint(from.peer_address)) {
    if (const auto number = parse_member(own.value().host)) {
      out.self = number.value();
    }
  }
  out.incarnation = static_cast<std::uint64_t>(unix_now_ms());
  out.random_seed = std::random_device{}();
  for (const auto& seed : from.seeds) {
    const auto where = parse_endpoint(seed);
    if (!where) continue;
    if (const auto number = parse_member(where.value().host)) {
      out.seeds.push_back(number.value());
    }
  }
  out.lease = from.lease;
  out.fenced = from.fenced;
  out.retry_ratio = from.retry_ratio;
  out.retry_extra = from.retry_extra;
  out.retry_window = from.retry_window;
  out.key_bound = from.key_bound;
  out.admission = from.admission;
  out.quota.window = from.quota_window;
  out.quota.excess = from.quota_excess;
  out.quota.slack = from.quota_slack;
  out.cold.excess = from.cold_excess;
  out.cold.slack = from.cold_slack;
  out.answer_bytes = divide_memory(limits_of(from).memory).answers;
  return out;
}

/** Returns what an answer has to bear that ends before a request is read. */
std::vector<http_header> relay_name(const std::vector<http_header>& request) {
  for (const auto& header : request) {
    if (boost::algorithm::iequals(header.name, kRelayCall)) {
      return {{std::string(kRelayCall), header.value}};
    }
  }
  return {};
}

}  // namespace

gateway_server gateway_shell::make_server(
    std::function<void(caller_id, caller_message)> request,
    std::size_t connections) {
  gateway_server::handlers on;
  on.request = std::move(request);
  on.gone = [](caller_id) {};
  on.refused = [](int) {};
  return gateway_server(base_.get(), std::move(on), 1,
                        bounds_of(listener_use::fleet, connections));
}

listener_bounds gateway_shell::bounds_of(listener_use use,
                                         std::size_t connections) const {
  return {bytes_, use, connections};
}

gateway_shell::gateway_shell(gateway_config config, settings_file file,
                             std::string text)
    : config_(std::move(config)),
      config_file_(std::move(file)),
      config_text_(std::move(text)),
      limits_(limits_of(config_)),
      descriptors_(divide_descriptors(limits_.descriptors)),
      bytes_(std::make_shared<byte_budget>(divide_memory(limits_.memory).held)),
      opened_(std::make_shared<connection_budget>(descriptors_.calls)),
      base_(event_base_new()),
      platform_(gateway::make_platform_dialect()),
      log_(base_.get(), STDOUT_FILENO, config_.id),
      decisions_(options_of(config_), *platform_),
      callers_(base_.get(),
               {[this](caller_id caller, caller_message message) {
                  on_caller(caller, std::move(message));
                },
                [this](caller_id caller) { post(event::caller_gone{caller}); },
                [this](int status) { ++refused_unread_[status]; }},
               1, bounds_of(listener_use::callers, descriptors_.callers)),
      ready_(
          make_server([this](caller_id caller,
                             const caller_message&) { answer_ready(caller); },
                      descriptors_.ready)),
      metrics_(make_server(
          [this](caller_id caller, const caller_message& m) {
            answer_metrics(caller, m.target);
          },
          descriptors_.metrics)),
      peers_(base_.get(),
             {[this](caller_id caller, caller_message message) {
                answer_peer(caller, std::move(message));
              },
              [this](caller_id caller) {
                if (relayed_.erase(caller) == 0) return;
                post(event::caller_gone{caller});
              },
              [this](int status) { ++refused_unread_[status]; }, relay_name},
             kFirstPeerCaller,
             bounds_of(listener_use::fleet, descriptors_.peers)),
      datagrams_(base_.get(),
                 [this](member_address from, std::string_view bytes) {
                   auto message = gateway::decode_peer_message(bytes);
                   if (!message) return;
                   post(event::datagram{from, std::move(message.value())});
                 }),
      target_client_(base_.get(), std::string(platform_->request_id_header()),
                     opened_),
      fleet_client_(base_.get(), {}, opened_),
      relay_client_(base_.get(), std::string(kRelayCall), opened_),
      prober_(base_.get(), opened_),
      addresses_(base_.get(),
                 {[this](const address_wait& wait) { on_listen_wait(wait); },
                  [this] { on_bound(); },
                  [this](const failure& why) {
                    ended_by_ = why;
                    event_base_loopbreak(base_.get());
                  }}) {}

gateway_shell::~gateway_shell() = default;

result<void> gateway_shell::start() {
  take_signals();
  signals_.emplace(base_.get(),
                   [this](const signal_rule& rule) { on_signal(rule); });
  const auto tick = [](evutil_socket_t, short, void* self) {
    auto* shell = static_cast<gateway_shell*>(self);
    shell->post(event::tick{});
    shell->tick_drain();
    shell->log_room();
    if (boot_now() >= shell->next_file_look_) shell->reload();
    shell->arm_timer();
  };
  timer_.reset(event_new(base_.get(), -1, 0, tick, this));
  return addresses_.start(own_addresses());
}

std::vector<own_address> gateway_shell::own_addresses() {
  using enum listen_role;
  const auto listener = [](gateway_server& server) {
    return [&server](const endpoint& where) -> result<void> {
      if (auto bound = server.listen(where); !bound) return bound.error();
      return outcome::success();
    };
  };
  const auto datagram_port = [this](const endpoint& where) {
    peer_port_ = where.port;
    return datagrams_.bind(where);
  };
  return {{callers, config_.caller_address, listener(callers_)},
          {ready, config_.ready_address, listener(ready_)},
          {metrics, config_.metrics_address, listener(metrics_)},
          {peers, config_.peer_address, listener(peers_)},
          {datagrams, config_.peer_address, datagram_port}};
}

void gateway_shell::on_listen_wait(const address_wait& wait) {
  log_.write(boot_now(), {"listen_wait",
                          {{"role", std::string(to_string(wait.role))},
                           {"address", std::string(wait.address)},
                           {"type", std::string(to_string(wait.why.code))},
                           {"detail", wait.why.detail},
                           {"waited_ms", wait.waited / 1ms}},
                          true});
}

void gateway_shell::on_bound() {
  using enum listen_role;
  if (!has_joined_ && addresses_.is_bound(peers) &&
      addresses_.is_bound(datagrams)) {
    join();
  }
  if (!addresses_.all_bound() || std::exchange(said_listening_, true)) return;
  log_.write(boot_now(), {"listening",
                          {{"callers", config_.caller_address},
                           {"peers", config_.peer_address},
                           {"waited_ms", addresses_.waited() / 1ms}},
                          true});
}

void gateway_shell::join() {
  has_joined_ = true;
  post(event::tick{});
  arm_timer();
}

bool gateway_shell::has_needed_addresses() const {
  using enum listen_role;
  return has_joined_ && addresses_.is_bound(callers) &&
         addresses_.is_bound(ready);
}

gateway::gateway_status gateway_shell::status() const {
  auto out = decisions_.status(boot_now());
  out.ready = out.ready && has_needed_addresses();
  return out;
}

result<void> gateway_shell::run() {
  event_base_dispatch(base_.get());
  if (ended_by_) return *ended_by_;
  return outcome::success();
}

void gateway_shell::arm_timer() {
  const auto now = boot_now();
  auto next = decisions_.next_wakeup();
  if (stop_) {
    for (const auto due :
         {stop_->close_idle_from, stop_->answer_by, stop_->end}) {
      if (due > now) next = std::min(next, due);
    }
  }
  const auto wait = to_timeval(std::max<duration>(next - now, 1ms));
  event_add(timer_.get(), &wait);
}

void gateway_shell::post(any_event event) {
  events_.push_back(std::move(event));
  if (!pumping_) pump();
}

void gateway_shell::pump() {
  pumping_ = true;
  while (!events_.empty()) {
    auto event = std::move(events_.front());
    events_.pop_front();
    for (auto& action : decisions_.handle(boot_now(), std::move(event))) {
      std::visit([this](auto& a) { carry_out(std::move(a)); }, action);
    }
  }
  pumping_ = false;
}

void gateway_shell::on_signal(const signal_rule& rule) {
  if (rule.use == signal_use::stop) return begin_drain();
  if (rule.use == signal_use::reload) return reload();
  log_.write(boot_now(),
             {"signal_ignored", {{"signal", std::string(rule.name)}}, true});
}

void gateway_shell::reload() {
  next_file_look_ = boot_now() + kFileLook;
  const auto text = config_file_.read(boot_now());
  if (!text) {
    on_unfinished_settings(text.error());
    return;
  }
  said_unfinished_ = false;
  if (text.value() == config_text_) return;
  config_text_ = text.value();
  const auto checked = check_gateway_config(config_text_);
  if (!checked.failures.empty()) {
    // The settings before stay in force; the same text is not refused twice.
    const auto& why = checked.failures.front();
    log_.write(boot_now(), {"settings_refused",
                            {{"file", config_file_.path()},
                             {"line", why.line},
                             {"type", std::string(to_string(why.code))},
                             {"detail", why.detail}},
                            true});
    return;
  }
  config_ = checked.config;
  post(event::new_seeds{options_of(config_).seeds});
  change_drain();
}

void gateway_shell::on_unfinished_settings(const failure& why) {
  if (std::exchange(said_unfinished_, true)) return;
  log_.write(boot_now(), {"settings_wait",
                          {{"type", std::string(to_string(why.code))},
                           {"detail", why.detail}},
                          true});
}

gateway_server& gateway_shell::server_of(caller_id caller) {
  return caller < kFirstPeerCaller ? callers_ : peers_;
}

void gateway_shell::carry_out(action::reply_head&& a) {
  if (const auto found = relayed_.find(a.caller); found != relayed_.end()) {
    drop_relay_headers(a.headers);
    a.headers.push_back({std::string(kRelayCall), found->second});
    if (a.is_no_help) a.headers.push_back({std::string(kRelayNoHelp), "1"});
    if (a.origin) a.headers.push_back(origin_header(*a.origin));
  }
  server_of(a.caller).begin(a.caller, {a.status, std::move(a.reason),
                                       std::move(a.headers), a.length});
}

void gateway_shell::carry_out(action::reply_data&& a) {
  server_of(a.caller).write(a.caller, a.data);
}

void gateway_shell::carry_out(action::reply_end&& a) {
  server_of(a.caller).finish(a.caller);
  relayed_.erase(a.caller);
}

void gateway_shell::carry_out(action::reply_abort&& a) {
  server_of(a.caller).abort(a.caller);
  relayed_.erase(a.caller);
}

void gateway_shell::carry_out(action::send_datagram&& a) {
  const auto bytes = gateway::encode_peer_message(a.message);
  datagram_bytes_.add(decisions_.distance_to(a.to), bytes.size());
  datagrams_.send(a.to, bytes);
}

void gateway_shell::carry_out(action::set_limits&& a) {
  callers_.set_limits(a.limits);
  auto of_peers = a.limits;
  of_peers.header_bytes += kRelayHeaderBytes;
  of_peers.idle_timeout = gateway::caller_limits().idle_timeout;
  of_peers.header_timeout = gateway::caller_limits().header_timeout;
  peers_.set_limits(of_peers);
}

void gateway_shell::carry_out(action::log_line&& a) {
  log_.write(boot_now(), a);
}

void gateway_shell::on_caller(caller_id caller, caller_message message) {
  if (has_joined_) {
    post(event::request{caller, std::move(message)});
    return;
  }
  log_.write(boot_now(),
             {"refuse",
              {{"status", kUnavailable}, {"reason", std::string("no_peers")}},
              false});
  callers_.begin(caller,
                 {kUnavailable, "", {{"Retry-After", "1"}}, std::size_t{0}});
  callers_.finish(caller);
}

void gateway_shell::answer_peer(caller_id caller, caller_message message) {
  if (!has_joined_) {
    peers_.answer(caller, kUnavailable, "");
    return;
  }
  auto call = take_relay_call(message.headers, message.caller_address);
  if (!call) {
    answer_copy(caller, message.target);
    return;
  }
  relayed_.emplace(caller, std::move(call->name));
  post(event::request{caller, std::move(message), call->told});
}

void gateway_shell::answer_copy(caller_id caller, std::string_view target) {
  const auto known = read_changes_path(target);
  if (!known) {
    peers_.answer(caller, kNotFound, "");
    return;
  }
  if (peers_.unsent_bytes() > kMostUnsentCopies) {
    log_.write(boot_now(), {"copy_refused", {}, false});
    peers_.answer(caller, kUnavailable, "");
    return;
  }
  peers_.answer(
      caller, kOk,
      gateway::encode_store_changes(decisions_.changes_after(*known)));
}

}  // namespace seamglade::detail
