// seamglade - HTTP calls to targets and the platform, for the path through
// owners
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/http_client.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <optional>

#include "request/event_stream.h"

namespace seamglade::detail {
namespace {

/** Pieces of a whole answer are gathered up to this size. */
constexpr std::size_t kGatherBytes = 256 << 10;

/** Whether a header concerns one connection only. */
bool is_single_hop(std::string_view name) {
  static constexpr std::array<std::string_view, 9> hop{
      "Connection", "Keep-Alive",        "Proxy-Connection",
      "TE",         "Transfer-Encoding", "Proxy-Authenticate",
      "Trailer",    "Upgrade",           "Content-Length"};
  return std::any_of(hop.begin(), hop.end(), [&](auto other) {
    return boost::algorithm::iequals(name, other);
  });
}

bool is_name_char(char c) {
  constexpr std::string_view kSigns = "!#$%&'*+-.^_`|~";
  return boost::algorithm::is_alnum()(c) ||
         kSigns.find(c) != std::string_view::npos;
}

bool is_control(char c) {
  constexpr char kDelete = 0x7f;
  return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == kDelete;
}

/** Whether a field can be written without breaking the head it stands in. */
bool is_writable(const http_header& field) {
  return !field.name.empty() &&
         std::all_of(field.name.begin(), field.name.end(), is_name_char) &&
         std::none_of(field.value.begin(), field.value.end(), is_control);
}

/** Whether the first line of a call can be written without breaking. */
bool is_writable(const http_call& call) {
  const auto breaks = [](char c) {
    return c == ' ' || c == '\t' || is_control(c);
  };
  return !call.method.empty() && !call.path.empty() &&
         std::all_of(call.method.begin(), call.method.end(), is_name_char) &&
         std::none_of(call.path.begin(), call.path.end(), breaks);
}

}  // namespace

struct http_client::call_state {
  http_client* client = nullptr;
  call_token token = 0;
  std::string address;
  duration timeout{};
  http_observer observer;
  event_handle timer;
  /** None: it has not begun, or has ended. */
  std::optional<call_client::token> under_way;
  bool written = false;
  int status = 0;
  std::vector<http_header> headers;
  gateway::body_framing framing = gateway::body_framing::length;
  /** Follows the events of a stream; none: the body is no stream. */
  std::optional<gateway::event_stream> events;
  bool head_given = false;
  std::string gathered;
};

http_client::http_client(event_base* base, repeated_answers repeats)
    : base_(base), repeats_(repeats), prober_(base), client_(base, {}) {}

http_client::~http_client() { *alive_ = false; }

http_client::call_token http_client::start(http_call call,
                                           http_observer observer) {
  const auto token = ++last_token_;
  auto made = std::make_unique<call_state>();
  auto& state = *made;
  state.client = this;
  state.token = token;
  state.address = call.address;
  state.timeout = call.timeout;
  state.observer = std::move(observer);
  calls_.emplace(token, std::move(made));
  const bool may_begin = parse_endpoint(call.address) && is_writable(call) &&
                         boot_now() <= call.not_after;
  if (may_begin) {
    begin(state, std::move(call));
  } else {
    fail_later(token);
  }
  return token;
}

void http_client::begin(call_state& state, http_call call) {
  outgoing_call out;
  out.address = std::move(call.address);
  out.method = std::move(call.method);
  out.target = std::move(call.path);
  // An instance of an older build may hand on fields that it did not check.
  out.headers = std::move(call.headers);
  std::erase_if(out.headers,
                [](const auto& field) { return !is_writable(field); });
  out.body = std::move(call.body);
  out.connect_timeout = call.timeout;
  out.not_after = call.not_after;
  out.is_alone = repeats_ == repeated_answers::possible;
  const auto late = [](evutil_socket_t, short, void* arg) {
    const auto& late_call = *static_cast<call_state*>(arg);
    late_call.client->cancel(late_call.token);
  };
  state.timer.reset(event_new(base_, -1, 0, late, &state));
  arm(state);
  state.under_way = client_.start(std::move(out), handlers_of(state));
}

call_client::handlers http_client::handlers_of(call_state& state) {
  call_client::handlers on;
  on.head = [this, &state](const answer_head& head, const answer_carrier&) {
    arm(state);
    on_head(state, head);
  };
  on.data = [this, &state](const std::shared_ptr<const std::string>& data) {
    arm(state);
    on_data(state, *data);
  };
  on.end = [this, &state](call_end how) { on_end(state, how); };
  return on;
}

void http_client::arm(call_state& state) {
  const auto wait = to_timeval(state.timeout);
  event_add(state.timer.get(), &wait);
}

void http_client::on_head(call_state& state, const answer_head& head) {
  state.status = head.status;
  state.framing = head.framing;
  for (const auto& header : head.headers) {
    if (is_single_hop(header.name)) continue;
    state.headers.push_back(header);
    if (boost::algorithm::iequals(header.name, "Content-Type") &&
        gateway::is_event_stream_type(header.value)) {
      state.events.emplace();
    }
  }
}

void http_client::on_data(call_state& state, std::string_view data) {
  state.gathered += data;
  if (state.events) {
    state.events->add(data);
    state.events->take_events();
  }
  const bool gathers = state.framing == gateway::body_framing::length;
  if (!gathers || state.gathered.size() >= kGatherBytes) {
    give_piece(state, false);
  }
}

bool http_client::is_truncated(const call_state& state) {
  return state.events && gateway::end_of_stream(*state.events, state.framing) !=
                             gateway::call_end::complete;
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

void http_client::on_end(call_state& state, call_end how) {
  state.timer.reset();
  state.under_way.reset();
  state.written = how != call_end::not_sent;
  const auto token = state.token;
  if (how != call_end::complete || is_truncated(state)) return fail(token);
  // Only the close of its connection marks the end of such an answer.
  if (state.framing == gateway::body_framing::close_delimited) {
    return release_if_alive(token);
  }
  release(token);
}

void http_client::release_if_alive(call_token token) {
  const auto tried = [this, token](connect_outcome outcome) {
    if (outcome == connect_outcome::refused) {
      fail(token);
    } else {
      release(token);
    }
  };
  const auto wait = gateway::kAllSocketsClosed;
  run_after(base_, wait, [this, token, tried, alive = alive_] {
    if (!*alive) return;
    const auto found = calls_.find(token);
    if (found == calls_.end()) return;
    prober_.probe(found->second->address, tried);
  });
}

void http_client::release(call_token token) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) return;
  const auto state = std::move(it->second);
  calls_.erase(it);
  give_piece(*state, true);
}

void http_client::fail(call_token token) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) return;
  const auto state = std::move(it->second);
  calls_.erase(it);
  state->observer.on_failure({false, state->written});
}

void http_client::cancel(call_token token) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) return;
  auto& state = *it->second;
  if (state.under_way) state.written = client_.cancel(*state.under_way);
  state.under_way.reset();
  state.timer.reset();
  fail_later(token);
}

void http_client::fail_later(call_token token) {
  run_later(base_, [this, token, alive = alive_] {
    if (*alive) fail(token);
  });
}

}  // namespace seamglade::detail
