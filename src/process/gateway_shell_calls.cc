// seamglade - the shell of the direct path: calls to targets, store and peers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include "connection/peer_paths.h"
#include "connection/relay_headers.h"
#include "process/gateway_shell.h"
#include "process/status_codes.h"

namespace seamglade::detail {
namespace {

namespace action = gateway::action;
namespace event = gateway::event;
using gateway::engine_order_status;
using gateway::kGone;
using gateway::kOk;

/** A connection to another instance is given up that has not come up by then.
 */
constexpr duration kPeerConnect = 250ms;
constexpr answer_bounds kOrderBounds{900ms, 64UL << 10U};
constexpr answer_bounds kReportBounds{600ms, 1UL << 20U};
constexpr answer_bounds kContentsBounds{600ms, 4UL << 20U};
constexpr duration kStoreTimeout = 1500ms;
/** Pages of the store hold 1 MB or one item of that size, in base64. */
constexpr std::size_t kMostStoreBytes = 16UL << 20U;
/** A copy of the store may hold many such pages. */
constexpr answer_bounds kCopyBounds{1000ms, 32UL << 20U};

/** Returns a question to a target, without headers. */
outgoing_call question(std::string address, std::string path) {
  outgoing_call call;
  call.address = std::move(address);
  call.method = "GET";
  call.target = std::move(path);
  call.connect_timeout = kTargetConnect;
  return call;
}

}  // namespace

void gateway_shell::carry_out(action::call_target&& a) {
  outgoing_call call;
  call.address = std::move(a.address);
  call.method = std::move(a.method);
  call.target = std::move(a.target);
  call.host = std::move(a.host);
  call.headers = std::move(a.headers);
  call.body = std::move(a.body);
  call.connect_timeout = kTargetConnect;
  call.name = std::move(a.request_id);
  call.use = connection_use::requests;
  if (a.most_idle > 0) call.most_idle = a.most_idle;
  pass_on_answer(target_client_, a.call, std::move(call));
}

void gateway_shell::carry_out(action::call_peer&& a) {
  outgoing_call call;
  call.address = fmt::format("{}:{}", to_text(a.to), peer_port_);
  call.method = std::move(a.method);
  call.target = std::move(a.target);
  call.host = std::move(a.host);
  call.headers = std::move(a.headers);
  drop_relay_headers(call.headers);
  call.name = fmt::format("{:x}", a.call);
  call.headers.push_back({std::string(kRelayCall), call.name});
  call.headers.push_back({std::string(kRelayRuns), std::to_string(a.runs)});
  if (a.origin) call.headers.push_back(origin_header(*a.origin));
  call.body = std::move(a.body);
  call.connect_timeout = kPeerConnect;
  call.use = connection_use::requests;
  pass_on_answer(relay_client_, a.call, std::move(call));
}

void gateway_shell::pass_on_answer(call_client& client, call_id id,
                                   outgoing_call call) {
  call_client::handlers on;
  on.head = [this, id](const answer_head& head, const answer_carrier& carrier) {
    event::answer_head answer{id,           head.status,  head.reason,
                              head.headers, head.framing, carrier};
    answer.is_no_help = has_header(answer.headers, kRelayNoHelp);
    answer.origin = read_origin(answer.headers);
    drop_relay_headers(answer.headers);
    post(std::move(answer));
  };
  on.data = [this, id](std::shared_ptr<const std::string> data) {
    post(event::answer_data{id, std::move(data)});
  };
  on.skipped = [this, address = call.address, name = call.name](
                   const answer_head& head, const answer_carrier& carrier) {
    log_.write(boot_now(),
               {"answer_skipped",
                {{"request", name},
                 {"address", address},
                 {"status", head.status},
                 {"connection", static_cast<std::int64_t>(carrier.connection)},
                 {"calls_before", carrier.calls_before}},
                false});
  };
  auto defect = std::make_shared<answer_defect>();
  on.defect = [defect](const answer_defect& why) { *defect = why; };
  on.end = [this, id, defect](call_end end) {
    open_calls_.erase(id);
    post(event::answer_end{id, end, *defect});
  };
  open_calls_[id] = {&client, client.start(std::move(call), std::move(on))};
}

void gateway_shell::carry_out(action::cancel_call&& a) {
  const auto found = open_calls_.find(a.call);
  if (found == open_calls_.end()) return;
  found->second.client->cancel(found->second.token);
  open_calls_.erase(found);
}

void gateway_shell::ask(call_client& client, outgoing_call call,
                        const answer_bounds& bounds,
                        std::function<void(collected_answer)> done) {
  const auto collected = [this, address = call.address, path = call.target,
                          done = std::move(done)](collected_answer got) {
    if (got.defect.fault != gateway::answer_fault::none) {
      log_.write(boot_now(),
                 {"answer_malformed",
                  {{"address", address},
                   {"path", path.substr(0, path.find('?'))},
                   {"fault", std::string(to_string(got.defect.fault))},
                   {"excerpt", got.defect.excerpt}},
                  true});
    }
    done(std::move(got));
  };
  collect_answer(base_.get(), client, std::move(call), bounds, collected);
}

void gateway_shell::carry_out(action::send_order&& a) {
  outgoing_call call;
  call.address = std::move(a.address);
  call.method = "POST";
  call.target = platform_->order_path();
  call.headers = platform_->order_headers(a.target);
  call.body =
      std::make_shared<const std::string>(platform_->order_body(a.order));
  call.series = a.series;
  call.connect_timeout = kTargetConnect;
  ask(target_client_, std::move(call), kOrderBounds,
      [this, id = a.call](const collected_answer& got) {
        event::order_answer answer{id};
        if (got.status) {
          answer.status = platform_->order_status(*got.status);
          answer.carrier = got.carrier;
          answer.word = platform_->read_word(*got.status, got.headers);
        }
        post(answer);
      });
}

void gateway_shell::carry_out(action::read_report&& a) {
  auto call = question(std::move(a.address), platform_->report_path());
  call.headers = platform_->question_headers(a.target);
  ask(target_client_, std::move(call), kReportBounds,
      [this, id = a.call](const collected_answer& got) {
        event::report_answer answer{id, std::nullopt};
        answer.is_answered = got.status.has_value();
        if (got.status) {
          answer.word = platform_->read_word(*got.status, got.headers);
        }
        if (got.status == kOk) {
          if (auto report = platform_->read_report(got.body)) {
            answer.report = std::move(report.value());
          }
        }
        post(std::move(answer));
      });
}

void gateway_shell::carry_out(action::list_contents&& a) {
  auto call = question(std::move(a.address), platform_->contents_path());
  call.headers = platform_->question_headers(a.target);
  ask(target_client_, std::move(call), kContentsBounds,
      [this, id = a.call](const collected_answer& got) {
        event::contents_answer answer{id, std::nullopt};
        if (got.status == kOk) {
          if (auto parts = platform_->read_contents(got.body)) {
            answer.parts = std::move(parts.value());
          }
        }
        post(std::move(answer));
      });
}

void gateway_shell::carry_out(action::probe_target&& a) {
  prober_.probe(a.address, [this, target = a.target,
                            begun = boot_now()](connect_outcome outcome) {
    using how = event::target_probed::how;
    const auto told = outcome == connect_outcome::refused     ? how::refused
                      : outcome == connect_outcome::connected ? how::connected
                                                              : how::silent;
    post(event::target_probed{target, told, begun});
  });
}

void gateway_shell::read_store(gateway::store_call_id id,
                               gateway::store_scope scope, std::string path,
                               duration timeout, bool on_new_connection) {
  outgoing_call call;
  call.address = config_.store_address;
  call.method = "GET";
  call.target = std::move(path);
  call.on_new_connection = on_new_connection;
  ask(fleet_client_, std::move(call), {timeout, kMostStoreBytes},
      [this, id, scope](const collected_answer& got) {
        using outcome = event::store_read::outcome;
        event::store_read read;
        read.call = id;
        read.scope = scope;
        read.status = got.status.value_or(0);
        read.epoch = platform_->read_store_epoch(got.headers);
        if (got.is_beyond_bounds) read.how = outcome::too_large;
        if (got.status == kGone) read.how = outcome::history_gone;
        if (got.status == kOk) {
          if (auto answer = platform_->read_store(got.body)) {
            read.how = outcome::answered;
            read.answer = std::move(answer.value());
          }
        }
        post(std::move(read));
      });
}

void gateway_shell::carry_out(action::watch_store&& a) {
  read_store(a.call, a.scope, platform_->watch_path(a.scope, a.after, a.wait),
             a.wait + kStoreTimeout, a.on_new_connection);
}

void gateway_shell::carry_out(action::range_store&& a) {
  read_store(a.call, gateway::store_scope::everything,
             platform_->range_path(a.scope, a.after_key), kStoreTimeout,
             a.on_new_connection);
}

void gateway_shell::carry_out(action::fetch_changes&& a) {
  outgoing_call call;
  call.address = fmt::format("{}:{}", to_text(a.from), peer_port_);
  call.method = "GET";
  call.target = changes_path(a.known);
  call.on_new_connection = a.on_new_connection;
  ask(fleet_client_, std::move(call), kCopyBounds,
      [this, id = a.call, from = a.from](const collected_answer& got) {
        event::peer_changes answer{id, from, std::nullopt};
        if (got.status == kOk) {
          if (auto changes = gateway::decode_store_changes(got.body)) {
            answer.changes = std::move(changes.value());
          }
        }
        post(std::move(answer));
      });
}

}  // namespace seamglade::detail
