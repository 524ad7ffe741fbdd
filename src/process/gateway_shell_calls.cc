// seamglade - the shell of the direct path: calls for orders, store and peers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include "connection/peer_paths.h"
#include "process/gateway_shell.h"
#include "process/status_codes.h"

namespace seamglade::detail {
namespace {

namespace action = gateway::action;
namespace event = gateway::event;
using gateway::engine_order_status;
using gateway::kGone;
using gateway::kOk;

constexpr duration kOrderTimeout = 900ms;
constexpr duration kReportTimeout = 600ms;
constexpr duration kStoreTimeout = 1500ms;
constexpr duration kPeerTimeout = 1000ms;

}  // namespace

namespace {

/** Collects one answer; ends its call when the time is up. */
struct pending_answer {
  call_client* client = nullptr;
  call_client::token token = 0;
  event_handle timer;
  collected_answer answer;
  std::function<void(collected_answer)> done;
};

}  // namespace

void gateway_shell::ask(call_client& client, outgoing_call call,
                        duration timeout,
                        std::function<void(collected_answer)> done) {
  auto pending = std::make_shared<pending_answer>();
  pending->client = &client;
  pending->done = std::move(done);
  call_client::handlers on;
  on.head = [pending](const answer_head& head, const answer_carrier& carrier) {
    pending->answer.status = head.status;
    pending->answer.headers = head.headers;
    pending->answer.carrier = carrier;
  };
  on.data = [pending](const std::shared_ptr<const std::string>& data) {
    pending->answer.body += *data;
  };
  on.end = [pending](call_end end) {
    pending->timer.reset();
    const auto finished = std::exchange(pending->done, {});
    const bool is_whole = end == call_end::complete;
    finished(is_whole ? std::move(pending->answer) : collected_answer());
  };
  const auto late = [](evutil_socket_t, short, void* arg) {
    auto* self = static_cast<pending_answer*>(arg);
    const auto finished = std::exchange(self->done, {});
    self->client->cancel(self->token);  // frees self
    finished({});
  };
  pending->timer.reset(event_new(base_.get(), -1, 0, late, pending.get()));
  const auto wait = to_timeval(timeout);
  event_add(pending->timer.get(), &wait);
  pending->token = client.start(std::move(call), std::move(on));
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
  ask(target_client_, std::move(call), kOrderTimeout,
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
  outgoing_call call;
  call.address = std::move(a.address);
  call.method = "GET";
  call.target = platform_->report_path();
  call.headers = platform_->report_headers(a.target);
  call.connect_timeout = kTargetConnect;
  ask(target_client_, std::move(call), kReportTimeout,
      [this, id = a.call](const collected_answer& got) {
        event::report_answer answer{id, std::nullopt};
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

void gateway_shell::carry_out(action::probe_target&& a) {
  prober_.probe(a.address, [this, target = a.target](connect_outcome outcome) {
    using how = event::target_probed::how;
    const auto told = outcome == connect_outcome::refused     ? how::refused
                      : outcome == connect_outcome::connected ? how::connected
                                                              : how::silent;
    post(event::target_probed{target, told});
  });
}

void gateway_shell::read_store(gateway::store_call_id id,
                               gateway::store_scope scope, std::string path,
                               duration timeout) {
  outgoing_call call;
  call.address = config_.store_address;
  call.method = "GET";
  call.target = std::move(path);
  ask(fleet_client_, std::move(call), timeout,
      [this, id, scope](const collected_answer& got) {
        using outcome = event::store_read::outcome;
        event::store_read read;
        read.call = id;
        read.scope = scope;
        read.status = got.status.value_or(0);
        read.epoch = platform_->read_store_epoch(got.headers);
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
             a.wait + kStoreTimeout);
}

void gateway_shell::carry_out(action::range_store&& a) {
  read_store(a.call, gateway::store_scope::everything,
             platform_->range_path(a.after_key), kStoreTimeout);
}

void gateway_shell::carry_out(action::fetch_changes&& a) {
  outgoing_call call;
  call.address = fmt::format("{}:{}", to_text(a.from), peer_port_);
  call.method = "GET";
  call.target = changes_path(a.known);
  ask(fleet_client_, std::move(call), kPeerTimeout,
      [this, from = a.from](const collected_answer& got) {
        event::peer_changes answer{from, std::nullopt};
        if (got.status == kOk) {
          if (auto changes = gateway::decode_store_changes(got.body)) {
            answer.changes = std::move(changes.value());
          }
        }
        post(std::move(answer));
      });
}

}  // namespace seamglade::detail
