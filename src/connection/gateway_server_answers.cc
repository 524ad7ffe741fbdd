// seamglade - the callers' side of the direct path: answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <boost/beast/http/status.hpp>

#include "connection/answer_text.h"
#include "connection/gateway_server.h"

namespace seamglade::detail {
namespace {

using gateway::body_framing;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool has_no_body(int status) {
  return status == kNoContent || status == kNotModified;
}

}  // namespace

std::string_view reason_phrase(int status) {
  const auto phrase = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

void gateway_server::begin(caller_id caller, const reply_head& head) {
  auto* c = find(caller);
  if (c == nullptr) return;
  c->body = framing_of(*c, head);
  if (draining_) c->keep = false;
  if (c->body == body_framing::close_delimited) {
    // Only finish() may end it in order: that is all that marks its end.
    set_reset_on_close(bufferevent_getfd(c->io.get()), true);
    c->keep = false;
  }
  append_text(bufferevent_get_output(c->io.get()), head_text(*c, head));
}

body_framing gateway_server::framing_of(const connection& c,
                                        const reply_head& head) {
  if (has_no_body(head.status) || head.length) return body_framing::length;
  const bool has_chunks = !c.old_version && !head.close_delimited;
  return has_chunks ? body_framing::chunked : body_framing::close_delimited;
}

std::string gateway_server::head_text(const connection& c,
                                      const reply_head& head) {
  const auto phrase =
      head.reason.empty() ? reason_phrase(head.status) : head.reason;
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, phrase);
  add_fields(text, head.headers);
  if (!has_no_body(head.status) && head.length) {
    text += fmt::format("Content-Length: {}\r\n", *head.length);
  } else if (c.body == body_framing::chunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  if (!c.keep) {
    text += "Connection: close\r\n";
  } else if (c.old_version) {
    text += "Connection: keep-alive\r\n";
  }
  return text + "\r\n";
}

void gateway_server::write(caller_id caller,
                           const std::shared_ptr<const std::string>& data) {
  auto* c = find(caller);
  if (c == nullptr || !data || data->empty() || c->bodyless) return;
  auto* out = bufferevent_get_output(c->io.get());
  if (evbuffer_get_length(out) > max_unsent_) {
    on_event(*c, BEV_EVENT_ERROR);
    return;
  }
  if (c->body == body_framing::chunked) {
    append_text(out, fmt::format("{:x}\r\n", data->size()));
  }
  add_text(out, data);
  if (c->body == body_framing::chunked) append_text(out, "\r\n");
  bounds_.bytes->relieve();
}

void gateway_server::answer(caller_id caller, int status, std::string body) {
  begin(caller, {status, "", {}, body.size()});
  write(caller, std::make_shared<const std::string>(std::move(body)));
  finish(caller);
}

std::size_t gateway_server::unsent_bytes() const {
  std::size_t total = 0;
  for (const auto& [number, c] : connections_) {
    total += evbuffer_get_length(bufferevent_get_output(c->io.get()));
  }
  return total;
}

void gateway_server::finish(caller_id caller) {
  auto* c = find(caller);
  if (c == nullptr) return;
  if (c->body == body_framing::chunked && !c->bodyless) {
    append_text(bufferevent_get_output(c->io.get()), "0\r\n\r\n");
  }
  if (!c->keep || draining_) {
    close_after_flush(*c);
    return;
  }
  by_caller_.erase(caller);
  start_reading(*c);
  // What the caller sent ahead is read in a turn of its own.
  bufferevent_trigger(c->io.get(), EV_READ,
                      BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
}

void gateway_server::abort(caller_id caller) {
  auto* c = find(caller);
  if (c == nullptr) return;
  if (c->body == body_framing::close_delimited) {
    erase(*c);
    return;
  }
  close_after_flush(*c);
}

}  // namespace seamglade::detail
