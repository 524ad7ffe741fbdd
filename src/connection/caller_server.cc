// seamglade - the callers' HTTP listener
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/caller_server.h"

#include <event2/http_struct.h>
#include <sys/socket.h>

#include <boost/outcome/try.hpp>

#include "connection/http_client.h"
#include "connection/listening.h"

namespace seamglade::detail {
namespace {

/**
 * Hard limits of libevent, which answers with a page of its own. Lower ones
 * are checked where a refusal can tell its type.
 */
constexpr ev_ssize_t kMaxBodyBytes = 68 << 20;
constexpr ev_ssize_t kMaxHeaderBytes = 1 << 20;
/** A caller that sends or reads nothing for so long is cut off. */
constexpr int kIdleSeconds = 60;

const char* name_of(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "";
  }
}

constexpr ev_uint16_t kMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

/** Frees a request that libevent has left to us as its connection ended. */
void free_if_detached(evhttp_request* request) {
  if (evhttp_request_get_connection(request) == nullptr) {
    evhttp_request_free(request);
  }
}

}  // namespace

struct caller_server::caller_request {
  caller_server* server = nullptr;
  caller_id id = 0;
  evhttp_request* http = nullptr;
  bool streaming = false;

  evutil_socket_t socket() const {
    auto* connection = evhttp_request_get_connection(http);
    return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  }
  /** Only the end of the connection marks the end of a streamed answer. */
  bool is_close_delimited() const {
    return http->major == 1 && http->minor == 0;
  }
};

caller_server::caller_server(event_base* base, caller_observer observer)
    : observer_(std::move(observer)), http_(evhttp_new(base)) {
  evhttp_set_max_body_size(http_.get(), kMaxBodyBytes);
  evhttp_set_max_headers_size(http_.get(), kMaxHeaderBytes);
  evhttp_set_allowed_methods(http_.get(), kMethods);
  evhttp_set_timeout(http_.get(), kIdleSeconds);
  evhttp_set_gencb(
      http_.get(),
      [](evhttp_request* request, void* arg) {
        static_cast<caller_server*>(arg)->on_request(request);
      },
      this);
}

caller_server::~caller_server() {
  for (auto& [id, caller] : requests_) {
    watch_close(evhttp_request_get_connection(caller->http), nullptr);
  }
}

result<endpoint> caller_server::listen(const endpoint& at) {
  BOOST_OUTCOME_TRY(bound, listen_with(http_.get(), at));
  socket_ = bound;
  return bound_endpoint(evhttp_bound_socket_get_fd(socket_));
}

void caller_server::stop_listening() {
  stopping_ = true;
  if (socket_ != nullptr) evhttp_del_accept_socket(http_.get(), socket_);
  socket_ = nullptr;
}

void caller_server::watch_close(evhttp_connection* connection,
                                caller_request* watched) {
  if (connection == nullptr) return;
  if (watched == nullptr) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    return;
  }
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection*, void* arg) {
        auto& gone = *static_cast<caller_request*>(arg);
        auto* server = gone.server;
        const auto id = gone.id;
        auto* request = gone.http;
        server->requests_.erase(id);
        free_if_detached(request);
        server->observer_.on_gone(id);
      },
      watched);
}

void caller_server::on_request(evhttp_request* request) {
  auto* connection = evhttp_request_get_connection(request);
  set_no_delay(
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
  const auto id = ++last_caller_;
  auto caller = std::make_unique<caller_request>();
  caller->server = this;
  caller->id = id;
  caller->http = request;
  watch_close(connection, caller.get());
  requests_.emplace(id, std::move(caller));

  raw_request raw;
  raw.method = name_of(evhttp_request_get_command(request));
  raw.target = evhttp_request_get_uri(request);
  raw.headers = end_to_end_headers(evhttp_request_get_input_headers(request));
  auto* input = evhttp_request_get_input_buffer(request);
  if (evbuffer_get_length(input) > 0) raw.body = take_all(input);
  char* remote = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(connection, &remote, &port);
  raw.remote = remote == nullptr ? "" : remote;
  observer_.on_request(id, std::move(raw));
}

evhttp_request* caller_server::begin_reply(
    caller_request& caller, const std::vector<http_header>& headers) {
  auto* out = evhttp_request_get_output_headers(caller.http);
  for (const auto& header : headers) {
    evhttp_add_header(out, header.name.c_str(), header.value.c_str());
  }
  if (stopping_) evhttp_add_header(out, "Connection", "close");
  return caller.http;
}

void caller_server::reply(caller_id id, const answer_part& piece) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  auto& caller = *it->second;
  if (piece.last) {
    // The connection may stay open for another request of the caller.
    watch_close(evhttp_request_get_connection(caller.http), nullptr);
  }
  evbuffer* data = nullptr;
  if (piece.data && !piece.data->empty()) {
    data = evbuffer_new();
    add_shared(data, piece.data);
  }
  if (!caller.streaming) {
    begin_reply(caller, piece.headers);
    const int status = piece.status == 0 ? 200 : piece.status;
    if (piece.last) {
      evhttp_send_reply(caller.http, status, nullptr, data);
    } else {
      caller.streaming = true;
      if (caller.is_close_delimited())
        set_reset_on_close(caller.socket(), true);
      evhttp_send_reply_start(caller.http, status, nullptr);
    }
  }
  if (caller.streaming) {
    if (data != nullptr) evhttp_send_reply_chunk(caller.http, data);
    if (piece.last) {
      if (caller.is_close_delimited())
        set_reset_on_close(caller.socket(), false);
      evhttp_send_reply_end(caller.http);
    }
  }
  if (data != nullptr) evbuffer_free(data);
  if (piece.last) finish(id);
}

void caller_server::refuse(caller_id id, const refusal& why,
                           std::string_view detail) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  std::vector<http_header> headers{{"Content-Type", "application/json"}};
  if (const auto wait = retry_after_seconds(why); wait > 0) {
    headers.push_back({"Retry-After", std::to_string(wait)});
  }
  answer_part whole;
  whole.status = http_status(why);
  whole.headers = std::move(headers);
  whole.data = std::make_shared<const std::string>(refusal_body(why, detail));
  whole.last = true;
  reply(id, whole);
}

void caller_server::abort(caller_id id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  auto& caller = *it->second;
  auto* connection = evhttp_request_get_connection(caller.http);
  if (connection != nullptr) {
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection*, void* request) {
          free_if_detached(static_cast<evhttp_request*>(request));
        },
        caller.http);
    // Without the closing chunk the caller's library reports an error; libevent
    // frees the connection when it sees the end.
    if (caller.is_close_delimited()) {
      reset_connection(caller.socket());
    } else {
      shutdown(caller.socket(), SHUT_RDWR);
    }
  }
  requests_.erase(it);
}

void caller_server::finish(caller_id id) { requests_.erase(id); }

}  // namespace seamglade::detail
