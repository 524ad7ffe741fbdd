// seamglade - HTTP calls to targets and the platform, over kept connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/http_client.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>

#include "request/event_stream.h"

namespace seamglade::detail {
namespace {

constexpr std::size_t kMaxIdlePerAddress = 64;
/** A connection that was idle for longer may be closing at the other end. */
constexpr duration kIdleLimit = 5s;
/** Pieces of a whole answer are gathered up to this size. */
constexpr std::size_t kGatherBytes = 256 << 10;
constexpr int kNoContent = 204;

bool same_name(std::string_view a, const char* b) {
  return evutil_ascii_strcasecmp(std::string(a).c_str(), b) == 0;
}

evhttp_cmd_type command_of(std::string_view method) {
  struct named {
    std::string_view name;
    evhttp_cmd_type type;
  };
  static constexpr std::array all{
      named{"GET", EVHTTP_REQ_GET},       named{"POST", EVHTTP_REQ_POST},
      named{"HEAD", EVHTTP_REQ_HEAD},     named{"PUT", EVHTTP_REQ_PUT},
      named{"DELETE", EVHTTP_REQ_DELETE}, named{"OPTIONS", EVHTTP_REQ_OPTIONS},
      named{"PATCH", EVHTTP_REQ_PATCH}};
  for (const auto& entry : all) {
    if (entry.name == method) return entry.type;
  }
  return EVHTTP_REQ_GET;
}

}  // namespace

/** A connection to one address, idle or used by one call. */
struct http_client::connection {
  std::string address;
  evhttp_connection* http = nullptr;
  time_point not_after = time_point::max();
  time_point idle_since;
  bool written = false;

  ~connection() {
    if (http != nullptr) evhttp_connection_free(http);
  }

  /** Sees every byte that enters or leaves the output buffer. */
  static void on_output(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    auto& self = *static_cast<connection*>(arg);
    if (info->n_deleted > 0) self.written = true;
    // The process may have been suspended while it connected: look at the
    // clock again before the bytes leave, and close the way out if it is late.
    if (info->n_added > 0 && !self.written && boot_now() > self.not_after) {
      auto* bev = evhttp_connection_get_bufferevent(self.http);
      shutdown(bufferevent_getfd(bev), SHUT_RDWR);
    }
  }
};

struct http_client::call_state {
  http_client* client = nullptr;
  call_token token = 0;
  http_call call;
  http_observer observer;
  std::unique_ptr<connection> link;
  evhttp_request* request = nullptr;
  int status = 0;
  std::vector<http_header> headers;
  bool gathers = false;
  gateway::body_framing framing = gateway::body_framing::length;
  /** Follows the events of a stream; none: the body is no stream. */
  std::optional<gateway::event_stream> events;
  bool head_given = false;
  std::string gathered;
};

std::vector<http_header> end_to_end_headers(evkeyvalq* headers) {
  static constexpr std::array<std::string_view, 9> hop{
      "Connection", "Keep-Alive",        "Proxy-Connection",
      "TE",         "Transfer-Encoding", "Proxy-Authenticate",
      "Trailer",    "Upgrade",           "Content-Length"};
  std::vector<http_header> kept;
  for (auto* at = headers->tqh_first; at != nullptr; at = at->next.tqe_next) {
    const bool single_hop = std::any_of(hop.begin(), hop.end(), [&](auto name) {
      return same_name(name, at->key);
    });
    if (!single_hop) kept.push_back({at->key, at->value});
  }
  return kept;
}

http_client::http_client(event_base* base, repeated_answers repeats)
    : base_(base), repeats_(repeats), prober_(base) {}

http_client::~http_client() {
  *alive_ = false;
  for (auto& [token, state] : calls_) {
    if (state->request != nullptr) evhttp_cancel_request(state->request);
  }
}

http_client::call_token http_client::start(http_call call,
                                           http_observer observer) {
  const auto token = ++last_token_;
  auto state = std::make_unique<call_state>();
  state->client = this;
  state->token = token;
  state->call = std::move(call);
  state->observer = std::move(observer);
  calls_.emplace(token, std::move(state));
  begin(token);
  return token;
}

std::unique_ptr<http_client::connection> http_client::idle_connection(
    const std::string& address) {
  auto& idle = idle_[address];
  const auto fresh_from = boot_now() - kIdleLimit;
  while (!idle.empty()) {
    auto link = std::move(idle.back());
    idle.pop_back();
    if (link->idle_since >= fresh_from) return link;
  }
  const auto parsed = parse_endpoint(address);
  if (!parsed) return nullptr;
  auto link = std::make_unique<connection>();
  link->address = address;
  link->http = evhttp_connection_base_new(
      base_, nullptr, parsed.value().host.c_str(), parsed.value().port);
  auto* bev = evhttp_connection_get_bufferevent(link->http);
  evbuffer_add_cb(bufferevent_get_output(bev), connection::on_output,
                  link.get());
  return link;
}

void http_client::begin(call_token token) {
  auto& state = *calls_.at(token);
  auto& call = state.call;
  state.link = idle_connection(call.address);
  if (!state.link || boot_now() > call.not_after) return fail_later(token);
  auto& link = *state.link;
  link.written = false;
  link.not_after = call.not_after;
  const auto timeout = to_timeval(call.timeout);
  evhttp_connection_set_timeout_tv(link.http, &timeout);
  state.request = evhttp_request_new(
      [](evhttp_request* request, void* arg) {
        auto& s = *static_cast<call_state*>(arg);
        s.client->on_done(s, request);
      },
      &state);
  evhttp_request_set_header_cb(state.request,
                               [](evhttp_request* request, void* arg) {
                                 auto& s = *static_cast<call_state*>(arg);
                                 s.client->on_headers(s, request);
                                 return 0;
                               });
  evhttp_request_set_chunked_cb(state.request,
                                [](evhttp_request* request, void* arg) {
                                  auto& s = *static_cast<call_state*>(arg);
                                  s.client->on_chunk(s, request);
                                });
  auto* headers = evhttp_request_get_output_headers(state.request);
  evhttp_add_header(headers, "Host", call.address.c_str());
  for (const auto& header : call.headers) {
    if (!same_name("Host", header.name.c_str())) {
      evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
  }
  add_shared(evhttp_request_get_output_buffer(state.request), call.body);
  if (evhttp_make_request(link.http, state.request, command_of(call.method),
                          call.path.c_str()) != 0) {
    state.request = nullptr;  // libevent has freed it
    fail_later(token);
  }
}

void http_client::on_headers(call_state& state, evhttp_request* request) {
  state.status = evhttp_request_get_response_code(request);
  auto* headers = evhttp_request_get_input_headers(request);
  state.headers = end_to_end_headers(headers);
  state.gathers = evhttp_find_header(headers, "Content-Length") != nullptr;
  if (!state.gathers) {
    const bool is_chunked =
        evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
    state.framing = is_chunked ? gateway::body_framing::chunked
                               : gateway::body_framing::close_delimited;
  }
  const auto* type = evhttp_find_header(headers, "Content-Type");
  if (type != nullptr && gateway::is_event_stream_type(type)) {
    state.events.emplace();
  }
}

void http_client::gather(call_state& state, evhttp_request* request) {
  auto* input = evhttp_request_get_input_buffer(request);
  const auto size = evbuffer_get_length(input);
  const auto before = state.gathered.size();
  state.gathered.resize(before + size);
  evbuffer_remove(input, state.gathered.data() + before, size);
  if (!state.events) return;
  state.events->add(std::string_view(state.gathered).substr(before));
  state.events->take_events();
}

bool http_client::is_truncated(const call_state& state) {
  return state.events && gateway::end_of_stream(*state.events, state.framing) !=
                             gateway::call_end::complete;
}

void http_client::on_chunk(call_state& state, evhttp_request* request) {
  gather(state, request);
  if (!state.gathers || state.gathered.size() >= kGatherBytes) {
    give_piece(state, false);
  }
}

void http_client::give_piece(call_state& state, bool last) {
  auto data =
      state.gathered.empty()
          ? nullptr
          : std::make_shared<const std::string>(std::move(state.gathered));
  state.gathered.clear();
  const int status = state.head_given ? 0 : state.status;
  state.head_given = true;
  const auto on_piece = state.observer.on_piece;
  on_piece(status, std::move(state.headers), std::move(data), last);
}

void http_client::on_done(call_state& state, evhttp_request* request) {
  const auto token = state.token;
  state.request = nullptr;
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    fail_later(token);
    return;
  }
  if (state.status == 0) on_headers(state, request);
  gather(state, request);
  if (is_truncated(state)) {
    fail_later(token);
    return;
  }
  if (is_end_in_doubt(state)) return release_if_alive(token);
  const auto* closing = evhttp_find_header(
      evhttp_request_get_input_headers(request), "Connection");
  const bool reusable = repeats_ == repeated_answers::never &&
                        (closing == nullptr || !same_name("close", closing));
  // The connection is still in use by libevent until this callback returns.
  run_later(base_, [this, token, reusable, alive = alive_] {
    if (*alive) release(token, reusable);
  });
}

bool http_client::is_end_in_doubt(const call_state& state) {
  const bool has_body =
      state.status != kNoContent && state.call.method != "HEAD";
  return state.framing == gateway::body_framing::close_delimited && has_body;
}

void http_client::release_if_alive(call_token token) {
  const auto tried = [this, token](connect_outcome outcome) {
    if (outcome == connect_outcome::refused) {
      fail(token);
    } else {
      release(token, false);
    }
  };
  const auto wait = gateway::kAllSocketsClosed;
  run_after(base_, wait, [this, token, tried, alive = alive_] {
    if (!*alive) return;
    const auto found = calls_.find(token);
    if (found == calls_.end()) return;
    prober_.probe(found->second->call.address, tried);
  });
}

void http_client::release(call_token token, bool reusable) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) return;
  const auto state = std::move(it->second);
  calls_.erase(it);
  auto& idle = idle_[state->call.address];
  if (reusable && idle.size() < kMaxIdlePerAddress) {
    state->link->idle_since = boot_now();
    state->link->not_after = time_point::max();
    idle.push_back(std::move(state->link));
  }
  give_piece(*state, true);
}

void http_client::fail(call_token token) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) return;
  const auto state = std::move(it->second);
  calls_.erase(it);
  const bool written = state->link && state->link->written;
  state->observer.on_failure({false, written});
}

void http_client::cancel(call_token token) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) return;
  auto& state = *it->second;
  if (state.request != nullptr) {
    evhttp_cancel_request(state.request);
    state.request = nullptr;
  }
  fail_later(token);
}

void http_client::fail_later(call_token token) {
  run_later(base_, [this, token, alive = alive_] {
    if (*alive) fail(token);
  });
}

}  // namespace seamglade::detail
