// seamglade - the shell of the direct path: readiness, metrics, room
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/gateway_metrics.h"
#include "process/gateway_shell.h"
#include "process/status_codes.h"

namespace seamglade::detail {
namespace {

using gateway::kNotFound;
using gateway::kOk;
using gateway::kUnavailable;

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatusPath = "/status";

}  // namespace

void gateway_shell::answer_ready(caller_id caller) {
  const bool ready = status().ready;
  ready_.answer(caller, ready ? kOk : kUnavailable, "");
}

void gateway_shell::answer_metrics(caller_id caller, std::string_view path) {
  const auto now = status();
  if (path == kMetricsPath) {
    metrics_.answer(
        caller, kOk,
        metrics_page(now,
                     {target_client_.counts(), fleet_client_.counts(),
                      relay_client_.counts()},
                     log_.dropped(), datagram_bytes_, resources(),
                     {addresses_.counts(), config_file_.counts()}));
  } else if (path == kStatusPath) {
    metrics_.answer(caller, kOk, status_page(now));
  } else {
    metrics_.answer(caller, kNotFound, "");
  }
}

resource_status gateway_shell::resources() const {
  resource_status out;
  out.reserved_bytes = bytes_->reserved();
  out.unsent_bytes = bytes_->unsent();
  out.held_bound = bytes_->bound();
  out.descriptor_limit = limits_.descriptors;
  out.connections = {
      {"callers", callers_.connection_count(), descriptors_.callers},
      {"ready", ready_.connection_count(), descriptors_.ready},
      {"metrics", metrics_.connection_count(), descriptors_.metrics},
      {"peers", peers_.connection_count(), descriptors_.peers},
      {"calls", opened_->open(), opened_->bound()}};
  out.idle_connections = opened_->idle();
  out.opened = opened_->counts();
  for (const auto* server : {&callers_, &ready_, &metrics_, &peers_}) {
    out.counts += server->counts();
  }
  return out;
}

void gateway_shell::log_room() {
  const auto now = boot_now();
  auto counts = callers_.counts();
  counts += peers_.counts();
  const auto unopened = opened_->counts().refused;
  const auto turned_away = counts.room_refusals + counts.broken_off +
                           counts.closed_unread + counts.accept_rests +
                           unopened;
  const auto told = room_watch_.look(now, turned_away);
  if (!told) return;
  log_.write(
      now, {told->has_ended ? "room_back" : "no_room",
            {{"turned_away", static_cast<std::int64_t>(told->turned_away)},
             {"for_ms", told->lasted / 1ms},
             {"room_refusals", static_cast<std::int64_t>(counts.room_refusals)},
             {"broken_off", static_cast<std::int64_t>(counts.broken_off)},
             {"closed_unread", static_cast<std::int64_t>(counts.closed_unread)},
             {"accept_rests", static_cast<std::int64_t>(counts.accept_rests)},
             {"unopened", static_cast<std::int64_t>(unopened)},
             {"opened", static_cast<std::int64_t>(opened_->open())},
             {"idle", static_cast<std::int64_t>(opened_->idle())},
             {"reserved", static_cast<std::int64_t>(bytes_->reserved())},
             {"unsent", static_cast<std::int64_t>(bytes_->unsent())},
             {"connections",
              static_cast<std::int64_t>(callers_.connection_count())}},
            true});
}

}  // namespace seamglade::detail
