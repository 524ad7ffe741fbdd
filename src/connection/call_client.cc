// seamglade - calls over HTTP/1.1 with kept connections, for the direct path
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/call_client.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace seamglade::detail {
namespace {

constexpr int kContinue = 100;
constexpr int kSwitching = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kFirstFailure = 400;
/** How long a connection is kept where the other side names no time. */
constexpr duration kDefaultIdle = 8s;
/** Taken off a named time: a call must not meet the other side's close. */
constexpr duration kIdleMargin = 1s;
constexpr duration kDeadPeer = 10s;
/** What comes before a call's own answer may hold so many bytes ... */
constexpr std::size_t kMostSkippedBytes = 1024UL * 1024UL;
/** ... in so many answers, interim ones included. */
constexpr std::size_t kMostSkippedAnswers = 256;
/** Bounds the names that a connection has to remember. */
constexpr std::uint32_t kMostCalls = 256;
/**
 * Idle connections to one address that have carried a call without a name. Most
 * such calls open one, and targets accept a limited number in all.
 */
constexpr std::ptrdiff_t kMostIdleNameless = 8;

bool is_failure(int status) { return status >= kFirstFailure; }

/** Two names of one hash are taken for the same: that is always safe. */
std::size_t hash_of_name(const outgoing_call& call) {
  return std::hash<std::string>()(call.name);
}

std::string request_head(const outgoing_call& call) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target,
                  call.host.empty() ? call.address : call.host);
  for (const auto& header : call.headers) {
    if (boost::algorithm::iequals(header.name, "Host")) continue;
    text += header.name;
    text += ": ";
    text += header.value;
    text += "\r\n";
  }
  const bool has_body = call.body && !call.body->empty();
  const bool may_have_body = call.method != "GET" && call.method != "HEAD";
  if (has_body || may_have_body) {
    text += fmt::format("Content-Length: {}\r\n",
                        call.body ? call.body->size() : 0);
  }
  text += "\r\n";
  return text;
}

}  // namespace

call_client::call_client(event_base* base, std::string name_header)
    : base_(base), name_header_(std::move(name_header)) {}
call_client::~call_client() = default;

call_client::token call_client::start(outgoing_call call, handlers on) {
  if (call.on_new_connection) close_idle(call.address);
  auto* c = take_idle(call);
  if (c != nullptr) {
    ++counts_.reused;
  } else {
    c = open(call);
    ++counts_.opened;
  }
  const auto number = next_token_++;
  c->call = number;
  note_call(*c, call);
  c->request = std::move(call);
  c->on = std::make_shared<handlers>(std::move(on));
  calls_.emplace(number, c);
  if (c->now == phase::calling) write_request(*c);
  return number;
}

call_client::connection* call_client::take_idle(const outgoing_call& call) {
  const auto found = idle_.find(call.address);
  if (found == idle_.end()) return nullptr;
  auto& idle = found->second;
  for (auto i = idle.size(); i-- > 0;) {
    auto* c = idle[i];
    if (!may_carry(*c, call)) continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (!is_quiet(*c)) {
      ++counts_.found_ended;
      connections_.erase(c->number);
      continue;
    }
    event_del(c->timer.get());
    c->now = phase::calling;
    return c;
  }
  return nullptr;
}

void call_client::close_idle(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  for (const auto* c : found->second) connections_.erase(c->number);
  idle_.erase(found);
}

bool call_client::may_carry(const connection& c,
                            const outgoing_call& call) const {
  if (name_header_.empty()) return true;
  if (call.name.empty()) {
    return !c.nameless_series ||
           (call.series != 0 && call.series == c.nameless_series);
  }
  return std::find(c.names.begin(), c.names.end(), hash_of_name(call)) ==
         c.names.end();
}

void call_client::note_call(connection& c, const outgoing_call& call) const {
  if (name_header_.empty()) return;
  if (call.name.empty()) {
    c.nameless_series = call.series;
  } else {
    c.names.push_back(hash_of_name(call));
  }
}

bool call_client::is_quiet(const connection& c) {
  if (evbuffer_get_length(bufferevent_get_input(c.io.get())) > 0) return false;
  char byte = 0;
  const auto count =
      recv(bufferevent_getfd(c.io.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool call_client::may_be_kept(const connection& c) const {
  if (!c.reader->keeps_connection() || c.ends_after_call) return false;
  if (name_header_.empty()) return true;
  // A repeated answer to HEAD names a length and has no body: what follows it
  // would be taken for its body.
  return c.request.method != "HEAD" && c.calls_before + 1 < kMostCalls;
}

call_client::connection* call_client::open(const outgoing_call& call) {
  auto made = std::make_unique<connection>();
  auto* c = made.get();
  c->owner = this;
  c->number = next_number_++;
  c->address = call.address;
  c->io.reset(bufferevent_socket_new(
      base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  const auto fired = [](evutil_socket_t, short, void* arg) {
    auto* self = static_cast<connection*>(arg);
    self->owner->on_timer(*self);
  };
  c->timer.reset(event_new(base_, -1, 0, fired, c));
  bufferevent_setcb(
      c->io.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<connection*>(arg);
        self->owner->on_readable(*self);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto* self = static_cast<connection*>(arg);
        self->owner->on_event(*self, what);
      },
      c);
  connections_.emplace(c->number, std::move(made));
  note_peak(c->address);
  const auto wait = to_timeval(call.connect_timeout);
  event_add(c->timer.get(), &wait);
  const auto where = parse_endpoint(call.address);
  if (!where) return c;  // the timer ends the call as not sent
  begin_connection(c->io.get(), where.value());
  if (const auto fd = bufferevent_getfd(c->io.get()); fd >= 0) {
    set_no_delay(fd);
    set_dead_peer_timeout(fd, kDeadPeer);
  }
  return c;
}

void call_client::note_peak(const std::string& address) {
  const auto count = std::count_if(
      connections_.begin(), connections_.end(),
      [&](const auto& pair) { return pair.second->address == address; });
  counts_.most_to_one_address =
      std::max(counts_.most_to_one_address, static_cast<std::uint64_t>(count));
}

void call_client::write_request(connection& c) {
  begin_answer(c);
  c.skipped_answers = 0;
  c.skipped_bytes = 0;
  bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
  auto* out = bufferevent_get_output(c.io.get());
  const auto head = request_head(c.request);
  evbuffer_add(out, head.data(), head.size());
  if (c.request.body) {
    evbuffer_add(out, c.request.body->data(), c.request.body->size());
  }
}

void call_client::begin_answer(connection& c) {
  c.reader = std::make_unique<answer_reader>(c.request.method == "HEAD");
  c.head_given = false;
  c.skipping = false;
}

void call_client::on_timer(connection& c) {
  if (c.now == phase::connecting) {
    end_call(c, call_end::not_sent);
    return;
  }
  if (c.now != phase::idle) return;
  std::erase(idle_[c.address], &c);
  connections_.erase(c.number);
}

void call_client::on_event(connection& c, short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    event_del(c.timer.get());
    c.now = phase::calling;
    write_request(c);
    return;
  }
  switch (c.now) {
    case phase::connecting:
      end_call(c, call_end::not_sent);
      return;
    case phase::idle:
      std::erase(idle_[c.address], &c);
      connections_.erase(c.number);
      return;
    case phase::calling:
      break;
  }
  if ((what & BEV_EVENT_ERROR) != 0) c.has_failed = true;
  const bool is_read_out = (what & BEV_EVENT_READING) != 0;
  if (is_read_out) return on_last_byte(c);
  // Only the way out has failed: what the other side sent before is read yet.
  shutdown(bufferevent_getfd(c.io.get()), SHUT_RDWR);
}

void call_client::on_last_byte(connection& c) {
  // A failed write may have taken the error: the end alone tells nothing.
  if (c.has_failed) return end_call(c, call_end::reset);
  const bool is_ended = c.head_given && c.reader->end_of_stream();
  // A target may refuse an upload early; it can't have served it.
  const bool may_be_whole = is_ended && (is_failure(c.reader->head().status) ||
                                         is_request_received(c));
  end_call(c, may_be_whole ? call_end::complete : call_end::closed);
}

bool call_client::is_request_received(const connection& c) {
  const auto* out = bufferevent_get_output(c.io.get());
  if (evbuffer_get_length(out) > 0) return false;
  int unacknowledged = 0;
  const auto fd = bufferevent_getfd(c.io.get());
  return ioctl(fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

void call_client::on_readable(connection& c) {
  if (c.now == phase::idle) {
    // An answer that nobody asked for.
    ++counts_.skipped_while_idle;
    std::erase(idle_[c.address], &c);
    connections_.erase(c.number);
    return;
  }
  if (c.now != phase::calling) return;
  auto* in = bufferevent_get_input(c.io.get());
  const auto number = c.number;
  while (evbuffer_get_length(in) > 0) {
    const auto progress = c.reader->read(in);
    if (progress == parse_progress::failed) {
      end_malformed(c, c.reader->defect());
      return;
    }
    if (c.reader->head_complete() && !c.head_given && !c.skipping) {
      if (!give_head(c)) return;
    }
    if (!give_body(c)) return;
    if (progress == parse_progress::need_more) return;
    if (!c.skipping) {
      complete(c);
      return;
    }
    begin_answer(c);
    if (connections_.find(number) == connections_.end()) return;
  }
}

std::optional<std::string_view> call_client::name_in(
    const answer_head& head) const {
  for (const auto& header : head.headers) {
    if (boost::algorithm::iequals(header.name, name_header_)) {
      return header.value;
    }
  }
  return std::nullopt;
}

bool call_client::belongs_to_call(const connection& c) const {
  const auto& head = c.reader->head();
  if (head.status >= kContinue && head.status < kFirstFinalStatus) return false;
  if (name_header_.empty()) return true;
  const auto name = name_in(head);
  if (!c.request.name.empty()) return name == c.request.name;
  // Nothing else can come on a connection that has carried nothing else.
  return !name || c.calls_before == 0;
}

bool call_client::give_head(connection& c) {
  if (c.reader->head().status == kSwitching) {
    end_malformed(c, {answer_fault::status_line, "101"});
    return false;
  }
  if (!belongs_to_call(c)) {
    // The answer to another request, or word that one is to come.
    c.skipping = true;
    if (c.reader->head().status >= kFirstFinalStatus) {
      c.ends_after_call = true;
      ++counts_.skipped_during_call;
    }
    const bool has_no_end =
        c.reader->head().framing == body_framing::close_delimited;
    if (has_no_end || ++c.skipped_answers > kMostSkippedAnswers) {
      end_malformed(c, {answer_fault::other_call, {}});
      return false;
    }
    return true;
  }
  c.head_given = true;
  // A later call may have the name that this answer bears.
  if (c.request.name.empty() && name_in(c.reader->head())) {
    c.ends_after_call = true;
  }
  const auto call = c.call;
  const auto on = c.on;
  on->head(c.reader->head(), {c.number, c.calls_before});
  return calls_.contains(call);
}

bool call_client::give_body(connection& c) {
  auto bytes = c.reader->take_body();
  if (bytes.empty()) return true;
  if (c.skipping || !c.head_given) {
    c.skipped_bytes += bytes.size();
    if (c.skipped_bytes <= kMostSkippedBytes) return true;
    end_malformed(c, {answer_fault::other_call, {}});
    return false;
  }
  const auto call = c.call;
  const auto on = c.on;
  on->data(std::make_shared<const std::string>(std::move(bytes)));
  return calls_.contains(call);
}

void call_client::complete(connection& c) {
  const auto* in = bufferevent_get_input(c.io.get());
  const auto* out = bufferevent_get_output(c.io.get());
  const bool has_more = evbuffer_get_length(in) > 0;
  if (has_more) ++counts_.skipped_behind_answer;
  const bool clean = !has_more && evbuffer_get_length(out) == 0;
  if (!clean || !may_be_kept(c)) {
    end_call(c, call_end::complete);
    return;
  }
  const auto on = c.on;
  const auto seconds = c.reader->head().keep_alive_seconds;
  calls_.erase(c.call);
  keep(c, seconds);
  on->end(call_end::complete);
}

void call_client::keep(connection& c, std::uint32_t keep_alive_seconds) {
  c.call = 0;
  ++c.calls_before;
  c.on.reset();
  c.request = {};
  c.reader.reset();
  c.now = phase::idle;
  duration idle = kDefaultIdle;
  if (keep_alive_seconds > 0) {
    idle = std::chrono::seconds(keep_alive_seconds) - kIdleMargin;
    idle = std::max<duration>(idle, kIdleMargin / 2);
  }
  const auto wait = to_timeval(idle);
  event_add(c.timer.get(), &wait);
  idle_[c.address].push_back(&c);
  close_surplus(c.address);
}

void call_client::close_surplus(const std::string& address) {
  auto& idle = idle_[address];
  const auto is_nameless = [](const connection* c) {
    return c->nameless_series.has_value();
  };
  const auto count = std::count_if(idle.begin(), idle.end(), is_nameless);
  if (count <= kMostIdleNameless) return;
  const auto oldest = std::find_if(idle.begin(), idle.end(), is_nameless);
  connections_.erase((*oldest)->number);
  idle.erase(oldest);
}

void call_client::end_call(connection& c, call_end how) {
  const auto on = c.on;
  calls_.erase(c.call);
  connections_.erase(c.number);
  if (on) on->end(how);
}

void call_client::end_malformed(connection& c, answer_defect defect) {
  if (c.on && c.on->defect) c.on->defect(defect);
  end_call(c, call_end::malformed);
}

void call_client::cancel(token call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  auto* c = found->second;
  calls_.erase(found);
  connections_.erase(c->number);
}

}  // namespace seamglade::detail
