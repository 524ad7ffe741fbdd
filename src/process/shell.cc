// seamglade - the shell: drives the decisions with libevent
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/shell.h"

#include <fmt/format.h>

#include <boost/outcome/try.hpp>
#include <random>

#include "connection/target_protocol.h"

namespace seamglade::detail {
namespace {

/** The decisions end calls; this only bounds a connection that hangs. */
constexpr duration kCallTimeout = 1h;
constexpr duration kWallInterval = 1s;

std::uint64_t draw_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

controller_options options_for(const instance_config& config,
                               std::uint64_t incarnation) {
  controller_options options;
  options.self = config.id;
  options.zone = config.zone;
  options.incarnation = incarnation;
  options.seed = draw_seed();
  return options;
}

}  // namespace

shell::shell(instance_config config)
    : config_(std::move(config)),
      incarnation_(draw_seed()),
      log_(config_.id),
      base_(event_base_new()),
      decisions_(options_for(config_, incarnation_)),
      callers_(base_.get(),
               {[this](caller_id caller, const raw_request& raw) {
                  on_caller_request(caller, raw);
                },
                [this](caller_id caller) { post(event::caller_gone{caller}); },
                [this](int status) { on_unreadable(status); }}),
      peers_(base_.get(), {kProtocolVersion, config_.id, incarnation_},
             {[this](const instance_id& peer, std::uint64_t incarnation) {
                post(event::peer_up{peer, incarnation});
              },
              [this](const instance_id& peer) { post(event::peer_down{peer}); },
              [this](const instance_id& from, message body) {
                post(event::peer_message{from, std::move(body)});
              },
              [this](const failure& why) { log_.failed("bad_peer", why); }}),
      operators_(base_.get(), config_.id,
                 {[this] { return status(); },
                  [this] { return peers_.traffic(); }, [this] { drain(); }}),
      targets_(base_.get(), repeated_answers::possible),
      service_(base_.get(), repeated_answers::never),
      addresses_(base_.get(),
                 {[this](const address_wait& wait) {
                    log_.process(
                        log_level::warning, "listen_wait",
                        fmt::format("{} {}, waited {} ms", to_string(wait.role),
                                    wait.why.detail, wait.waited / 1ms));
                  },
                  [this] { on_bound(); },
                  [this](const failure& why) {
                    ended_by_ = why;
                    event_base_loopbreak(base_.get());
                  }}) {
  timer_.reset(event_new(
      base_.get(), -1, 0,
      [](evutil_socket_t, short, void* arg) {
        auto& self = *static_cast<shell*>(arg);
        self.armed_for_ = time_point::max();
        self.post(event::tick{});
      },
      this));
  wall_timer_.reset(event_new(
      base_.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void* arg) {
        static_cast<shell*>(arg)->post(event::wall_time{unix_now_ms()});
      },
      this));
}

shell::~shell() = default;

result<void> shell::start() {
  take_signals();
  signals_.emplace(base_.get(),
                   [this](const signal_rule& rule) { on_signal(rule); });
  return addresses_.start(own_addresses());
}

std::vector<own_address> shell::own_addresses() {
  const auto with = [this](listen_role role, auto& server) {
    return [this, role, &server](const endpoint& where) -> result<void> {
      BOOST_OUTCOME_TRY(given, server.listen(where));
      bound_[role] = std::move(given);
      return outcome::success();
    };
  };
  using enum listen_role;
  return {{callers, config_.caller_address, with(callers, callers_)},
          {peers, config_.peer_address, with(peers, peers_)},
          {operators, config_.operator_address, with(operators, operators_)}};
}

void shell::on_bound() {
  using enum listen_role;
  if (!has_begun_ && addresses_.is_bound(peers)) begin();
  if (!addresses_.all_bound() || std::exchange(said_listening_, true)) return;
  log_.process(
      log_level::info, "listening",
      fmt::format("callers={} peers={} operators={}", bound_[callers].str(),
                  bound_[peers].str(), bound_[operators].str()));
}

void shell::begin() {
  has_begun_ = true;
  const auto interval = to_timeval(kWallInterval);
  event_add(wall_timer_.get(), &interval);
  post(event::wall_time{unix_now_ms()});
}

controller_status shell::status() const {
  auto out = decisions_.status();
  out.ready =
      out.ready && has_begun_ && addresses_.is_bound(listen_role::callers);
  return out;
}

void shell::on_signal(const signal_rule& rule) {
  if (rule.use == signal_use::stop) return drain();
  log_.process(log_level::info, "signal_ignored", rule.name);
}

result<void> shell::run() {
  event_base_dispatch(base_.get());
  if (ended_by_) return *ended_by_;
  return outcome::success();
}

void shell::drain() {
  log_.process(log_level::info, "drain", {});
  addresses_.stop();
  if (!has_begun_) {
    log_.process(log_level::info, "finished", {});
    event_base_loopbreak(base_.get());
    return;
  }
  post(event::drain{});
}

void shell::post(any_event event) {
  events_.push_back(std::move(event));
  if (!pumping_) pump();
}

void shell::pump() {
  pumping_ = true;
  while (!events_.empty()) {
    auto event = std::move(events_.front());
    events_.pop_front();
    auto actions = decisions_.handle(boot_now(), std::move(event));
    for (auto& next : actions) {
      std::visit([this]<typename Action>(
                     Action&& a) { carry_out(std::forward<Action>(a)); },
                 std::move(next));
    }
  }
  pumping_ = false;
  arm_timer();
}

void shell::arm_timer() {
  const auto next = decisions_.next_wakeup();
  if (next == armed_for_) return;
  armed_for_ = next;
  if (next == time_point::max()) {
    event_del(timer_.get());
    return;
  }
  const auto wait = to_timeval(next - boot_now());
  event_add(timer_.get(), &wait);
}

void shell::on_caller_request(caller_id caller, const raw_request& raw) {
  auto parsed = parse_request(raw, *decisions_.tree());
  if (!parsed.spec) {
    log_.decision({action::decision_kind::refuse,
                   {},
                   {},
                   {},
                   std::string(seamglade::to_string(parsed.reason)),
                   {}});
    callers_.refuse(caller, {outcome_kind::not_run, parsed.reason, {}},
                    parsed.detail);
    return;
  }
  post(event::caller_request{caller, std::move(*parsed.spec)});
}

void shell::on_unreadable(int status) {
  log_.decision({action::decision_kind::refuse,
                 {},
                 {},
                 {},
                 fmt::format("unreadable_{}", status),
                 {}});
}

void shell::carry_out(action::reply_part&& a) {
  callers_.reply(a.caller, a.piece);
}

void shell::carry_out(action::reply_refusal&& a) {
  callers_.refuse(a.caller, a.why);
}

void shell::carry_out(action::reply_abort&& a) { callers_.abort(a.caller); }

void shell::carry_out(action::send_peer&& a) { peers_.send(a.to, a.body); }

void shell::carry_out(action::link_peers&& a) {
  peers_.set_peers(std::move(a.peers));
}

void shell::on_target_piece(call_id call, int status,
                            std::vector<http_header> headers,
                            std::shared_ptr<const std::string> data,
                            bool last) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  const auto sequence = it->second.next_sequence++;
  if (last) calls_.erase(it);
  if (sequence == 0 && last && data && says_not_loaded(status, *data)) {
    post(event::target_failed{call, true, true});
    return;
  }
  post(event::target_part{
      call, {sequence, status, std::move(headers), std::move(data), last}});
}

void shell::carry_out(action::call_target&& a) {
  http_call call;
  call.address = std::move(a.address);
  call.method = std::move(a.spec.method);
  call.path = std::move(a.spec.path);
  call.headers = std::move(a.spec.headers);
  call.body = std::move(a.spec.body);
  call.timeout = kCallTimeout;
  call.not_after = a.not_after;
  const auto id = a.call;
  http_observer observer;
  observer.on_piece = [this, id](int status, std::vector<http_header> headers,
                                 std::shared_ptr<const std::string> data,
                                 bool last) {
    on_target_piece(id, status, std::move(headers), std::move(data), last);
  };
  observer.on_failure = [this, id](http_end end) {
    calls_.erase(id);
    post(event::target_failed{id, end.written, false});
  };
  calls_[id].token = targets_.start(std::move(call), std::move(observer));
}

void shell::carry_out(action::cancel_call&& a) {
  const auto it = calls_.find(a.call);
  if (it != calls_.end()) targets_.cancel(it->second.token);
}

void shell::carry_out(action::send_order&& a) {
  const auto id = a.order;
  auto answer = std::make_shared<event::order_reply>();
  answer->order = id;
  auto body = std::make_shared<std::string>();
  http_observer observer;
  observer.on_piece = [this, answer, body](
                          int status, const std::vector<http_header>&,
                          const std::shared_ptr<const std::string>& data,
                          bool last) {
    if (status != 0) answer->status = order_status_of(status);
    if (data) *body += *data;
    if (!last) return;
    answer->report = parse_report(*body);
    post(std::move(*answer));
  };
  observer.on_failure = [this, id](http_end) {
    post(event::order_reply{id, order_status::unreachable, std::nullopt});
  };
  targets_.start(order_call(a.address, a.what, a.timeout), std::move(observer));
}

void shell::carry_out(action::read_service&& a) {
  const auto prefix = config_.config_prefix + "/";
  auto all_headers = std::make_shared<std::vector<http_header>>();
  auto body = std::make_shared<std::string>();
  auto status_seen = std::make_shared<int>(0);
  http_observer observer;
  observer.on_piece = [this, prefix, all_headers, body, status_seen](
                          int status, std::vector<http_header> headers,
                          const std::shared_ptr<const std::string>& data,
                          bool last) {
    if (status != 0) {
      *status_seen = status;
      *all_headers = std::move(headers);
    }
    if (data) *body += *data;
    if (!last) return;
    auto read = *status_seen == 200
                    ? parse_documents(*body, *all_headers, prefix)
                    : std::nullopt;
    if (read) {
      post(std::move(*read));
    } else {
      post(event::service_failed{});
    }
    log_.set_level(decisions_.tree()->value("/", "log_level").value);
  };
  observer.on_failure = [this](http_end) { post(event::service_failed{}); };
  service_.start(documents_call(config_.config_service, prefix, a),
                 std::move(observer));
}

void shell::carry_out(action::log_decision&& a) { log_.decision(a); }

void shell::carry_out(action::finished&&) {
  log_.process(log_level::info, "finished", {});
  callers_.stop_listening();
  // What was said to callers and peers leaves before the loop ends.
  const auto grace = to_timeval(200ms);
  event_base_loopexit(base_.get(), &grace);
}

}  // namespace seamglade::detail
