// seamglade - which connections of a call_client are kept, and what for
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <sys/socket.h>

#include <algorithm>

#include "connection/call_client.h"

namespace seamglade::detail {
namespace {

/** How long a connection is kept where the other side names no time. */
constexpr duration kDefaultIdle = 8s;
/** Taken off a named time: a call must not meet the other side's close. */
constexpr duration kIdleMargin = 1s;
/** Bounds the names that a connection has to remember. */
constexpr std::uint32_t kMostCalls = 256;
/**
 * Idle connections to one address that have carried a call without a name. Most
 * such calls open one, and targets accept a limited number in all.
 */
constexpr std::ptrdiff_t kMostIdleNameless = 8;

/** Two names of one hash are taken for the same: that is always safe. */
std::size_t hash_of_name(const outgoing_call& call) {
  return std::hash<std::string>()(call.name);
}

}  // namespace

call_client::connection* call_client::take_idle(const outgoing_call& call) {
  const auto found = idle_.find(call.address);
  if (found == idle_.end()) return nullptr;
  auto& idle = found->second;
  for (auto i = idle.size(); i-- > 0;) {
    auto* c = idle[i];
    if (!may_carry(*c, call)) continue;
    if (c->place && !c->place->carry(call.use)) continue;
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

void call_client::give_up_idle(std::uint64_t number) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) return;
  std::erase(idle_[found->second->address], found->second.get());
  connections_.erase(found);
}

std::size_t call_client::idle_count() const {
  std::size_t count = 0;
  for (const auto& [address, idle] : idle_) count += idle.size();
  return count;
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

void call_client::keep(connection& c, std::uint32_t keep_alive_seconds) {
  c.call = 0;
  ++c.calls_before;
  c.on.reset();
  const auto most_idle = c.request.most_idle;
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
  if (c.place) c.place->rest();
  idle_[c.address].push_back(&c);
  close_surplus(c.address, most_idle);
}

void call_client::close_surplus(const std::string& address,
                                std::size_t most_idle) {
  auto& idle = idle_[address];
  while (idle.size() > most_idle) {
    connections_.erase(idle.front()->number);
    idle.erase(idle.begin());
  }
  const auto is_nameless = [](const connection* c) {
    return c->nameless_series.has_value();
  };
  const auto count = std::count_if(idle.begin(), idle.end(), is_nameless);
  if (count <= kMostIdleNameless) return;
  const auto oldest = std::find_if(idle.begin(), idle.end(), is_nameless);
  connections_.erase((*oldest)->number);
  idle.erase(oldest);
}

}  // namespace seamglade::detail
