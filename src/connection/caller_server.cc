// seamglade - the callers' HTTP listener
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/caller_server.h"

#include <algorithm>
#include <array>

#include "connection/datagram_socket.h"

namespace seamglade::detail {
namespace {

constexpr int kNotImplemented = 501;
/**
 * Hard limits, refused without a body. Lower ones are checked where a refusal
 * can tell its type.
 */
constexpr std::uint64_t kMaxBodyBytes = 68 << 20;
constexpr std::uint32_t kMaxHeaderBytes = 1 << 20;
/** A caller that sends nothing for so long is cut off. */
constexpr duration kIdle = 60s;

bool is_known_method(std::string_view name) {
  static constexpr std::array<std::string_view, 7> known{
      "GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"};
  return std::find(known.begin(), known.end(), name) != known.end();
}

gateway::caller_limits limits() {
  gateway::caller_limits out;
  out.header_bytes = kMaxHeaderBytes;
  out.body_bytes = kMaxBodyBytes;
  out.header_timeout = kIdle;
  out.idle_timeout = kIdle;
  return out;
}

}  // namespace

caller_server::caller_server(event_base* base, caller_observer observer)
    : observer_(std::move(observer)),
      http_(base, {[this](caller_id caller, gateway::caller_message message) {
                     on_request(caller, std::move(message));
                   },
                   [this](caller_id caller) { on_gone(caller); },
                   [this](int status) { observer_.on_unreadable(status); }}) {
  http_.set_limits(limits());
  http_.set_max_unsent(kMaxBodyBytes);
}

void caller_server::stop_listening() {
  http_.stop_listening();
  http_.drain();
}

void caller_server::on_request(caller_id caller,
                               gateway::caller_message message) {
  if (!is_known_method(message.method)) {
    observer_.on_unreadable(kNotImplemented);
    http_.begin(caller, {kNotImplemented, {}, {}, 0});
    return http_.finish(caller);
  }
  streaming_.emplace(caller, false);
  raw_request raw;
  raw.method = std::move(message.method);
  raw.target = std::move(message.target);
  raw.headers = std::move(message.headers);
  if (!message.body->empty()) raw.body = std::move(message.body);
  raw.remote = to_text(message.caller_address);
  observer_.on_request(caller, std::move(raw));
}

void caller_server::on_gone(caller_id caller) {
  streaming_.erase(caller);
  observer_.on_gone(caller);
}

void caller_server::reply(caller_id caller, const answer_part& piece) {
  const auto it = streaming_.find(caller);
  if (it == streaming_.end()) return;
  if (!it->second) {
    it->second = true;
    reply_head head;
    if (piece.status != 0) head.status = piece.status;
    head.headers = piece.headers;
    if (piece.last) head.length = piece.data ? piece.data->size() : 0;
    http_.begin(caller, head);
  }
  http_.write(caller, piece.data);
  if (!piece.last) return;
  streaming_.erase(caller);
  http_.finish(caller);
}

void caller_server::refuse(caller_id caller, const refusal& why,
                           std::string_view detail) {
  std::vector<http_header> headers{{"Content-Type", "application/json"}};
  if (const auto wait = retry_after_seconds(why); wait > 0) {
    headers.push_back({"Retry-After", std::to_string(wait)});
  }
  answer_part whole;
  whole.status = http_status(why);
  whole.headers = std::move(headers);
  whole.data = std::make_shared<const std::string>(refusal_body(why, detail));
  whole.last = true;
  reply(caller, whole);
}

void caller_server::abort(caller_id caller) {
  if (streaming_.erase(caller) > 0) http_.abort(caller);
}

}  // namespace seamglade::detail
