// seamglade - calls over HTTP/1.1 with kept connections, for all paths
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
constexpr duration kDeadPeer = 10s;
/** What comes before a call's own answer may hold so many bytes ... */
constexpr std::size_t kMostSkippedBytes = 1024UL * 1024UL;
/** ... in so many answers, interim ones included. */
constexpr std::size_t kMostSkippedAnswers = 256;

bool is_failure(int status) { return status >= kFirstFailure; }

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

/** Whether the system lacked something that it may have again. */
bool lacks_resources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS ||
         error == ENOMEM || error == EADDRNOTAVAIL;
}

}  // namespace

call_client::call_client(event_base* base, std::string name_header,
                         std::shared_ptr<connection_budget> budget)
    : base_(base),
      name_header_(std::move(name_header)),
      budget_(std::move(budget)) {}
call_client::~call_client() = default;

call_client::token call_client::start(outgoing_call call, handlers on) {
  if (call.on_new_connection) close_idle(call.address);
  auto* c = call.is_alone ? nullptr : take_idle(call);
  if (c != nullptr) {
    ++counts_.reused;
  } else {
    c = open(call);
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

call_client::connection* call_client::open(const outgoing_call& call) {
  auto made = std::make_unique<connection>();
  auto* c = made.get();
  c->owner = this;
  c->number = next_number_++;
  c->address = call.address;
  c->ends_after_call = call.is_alone;
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
  connect(*c, call);
  return c;
}

void call_client::connect(connection& c, const outgoing_call& call) {
  if (budget_) {
    if (!budget_->make_room(call.use)) return end_unsent(c, call_end::no_room);
    c.place.emplace(*budget_, call.use,
                    [this, number = c.number] { give_up_idle(number); });
  }
  ++counts_.opened;
  note_peak(c.address);
  const auto wait = to_timeval(call.connect_timeout);
  event_add(c.timer.get(), &wait);
  const auto where = parse_endpoint(call.address);
  if (!where) return end_unsent(c);
  if (!begin_connection(c.io.get(), where.value())) {
    const bool is_short = lacks_resources(errno);
    if (is_short && budget_) budget_->note_refused();
    end_unsent(c, is_short ? call_end::no_room : call_end::not_sent);
  }
  if (const auto fd = bufferevent_getfd(c.io.get()); fd >= 0) {
    set_no_delay(fd);
    set_dead_peer_timeout(fd, kDeadPeer);
  }
}

void call_client::note_peak(const std::string& address) {
  const auto count = std::count_if(
      connections_.begin(), connections_.end(),
      [&](const auto& pair) { return pair.second->address == address; });
  counts_.most_to_one_address =
      std::max(counts_.most_to_one_address, static_cast<std::uint64_t>(count));
}

void call_client::end_unsent(connection& c, call_end how) {
  c.now = phase::connecting;
  c.unsent = how;
  const timeval at_once{};
  event_add(c.timer.get(), &at_once);
}

void call_client::write_request(connection& c) {
  // The process may have stood still while the connection came up.
  if (boot_now() > c.request.not_after) return end_unsent(c);
  begin_answer(c);
  c.skipped_answers = 0;
  c.skipped_bytes = 0;
  bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
  auto* out = bufferevent_get_output(c.io.get());
  const auto head = request_head(c.request);
  evbuffer_add(out, head.data(), head.size());
  add_text(out, c.request.body);
}

void call_client::begin_answer(connection& c) {
  c.reader = std::make_unique<answer_reader>(c.request.method == "HEAD");
  c.head_given = false;
  c.skipping = false;
}

void call_client::on_timer(connection& c) {
  if (c.now == phase::connecting) {
    end_call(c, c.unsent);
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
  const bool has_begun = c.reader->has_begun() || c.skipped_answers > 0;
  if (!c.head_given && has_begun && c.on->defect) {
    c.on->defect({answer_fault::cut_head, {}});
  }
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
  if (!belongs_to_call(c)) return skip_answer(c);
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

bool call_client::is_nobodys(const connection& c) const {
  const auto& head = c.reader->head();
  return c.calls_before == 0 && head.status >= kFirstFinalStatus &&
         !name_in(head);
}

bool call_client::skip_answer(connection& c) {
  const auto& head = c.reader->head();
  if (c.on->skipped) c.on->skipped(head, {c.number, c.calls_before});
  // The answer to another request, or word that one is to come.
  c.skipping = true;
  if (head.status >= kFirstFinalStatus) {
    c.ends_after_call = true;
    ++counts_.skipped_during_call;
  }
  const bool has_no_end = head.framing == body_framing::close_delimited;
  const bool is_last =
      has_no_end || is_nobodys(c) || ++c.skipped_answers > kMostSkippedAnswers;
  if (is_last) end_malformed(c, {answer_fault::other_call, {}});
  return !is_last;
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
  const bool has_more = evbuffer_get_length(in) > 0;
  if (has_more) ++counts_.skipped_behind_answer;
  // What is left of a request would go before the next one.
  const bool clean = !has_more && is_request_received(c);
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

void call_client::end_call(connection& c, call_end how) {
  const auto on = c.on;
  calls_.erase(c.call);
  connections_.erase(c.number);
  if (on) on->end(how);
}

void call_client::end_malformed(connection& c, const answer_defect& defect) {
  if (c.on && c.on->defect) c.on->defect(defect);
  end_call(c, call_end::malformed);
}

bool call_client::cancel(token call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return true;
  auto* c = found->second;
  const bool is_unwritten = c->now == phase::connecting;
  calls_.erase(found);
  connections_.erase(c->number);
  return !is_unwritten;
}

}  // namespace seamglade::detail
