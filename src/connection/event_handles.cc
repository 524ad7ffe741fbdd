// seamglade - owning handles for libevent objects, and the clock
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/event_handles.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <charconv>
#include <chrono>
#include <ctime>

namespace seamglade::detail {
namespace {

/** A shorter text is copied: that takes less than a reference to it. */
constexpr std::size_t kShared = 4096;

}  // namespace

std::string endpoint::str() const { return fmt::format("{}:{}", host, port); }

result<endpoint> parse_endpoint(std::string_view text) {
  const auto bad = failure{errc::bad_address, std::string(text), 0};
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return bad;
  endpoint out{std::string(text.substr(0, colon)), 0};
  const auto* first = text.data() + colon + 1;
  const auto* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(first, last, out.port);
  in_addr number{};
  if (ec != std::errc{} || end != last ||
      inet_pton(AF_INET, out.host.c_str(), &number) != 1) {
    return bad;
  }
  return out;
}

sockaddr_in to_socket_address(const endpoint& where) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(where.port);
  inet_pton(AF_INET, where.host.c_str(), &address.sin_addr);
  return address;
}

endpoint bound_endpoint(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return {};
  }
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return {text, ntohs(address.sin_port)};
}

bool begin_connection(bufferevent* io, const endpoint& where) {
  const auto fd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  evutil_make_listen_socket_reuseable(fd);
  bufferevent_setfd(io, fd);
  const auto address = to_socket_address(where);
  return bufferevent_socket_connect(io,
                                    reinterpret_cast<const sockaddr*>(&address),
                                    sizeof(address)) == 0;
}

time_point boot_now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

std::int64_t unix_now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

timeval to_timeval(duration wait) {
  const auto us = std::max<std::int64_t>(0, wait.count());
  return {static_cast<time_t>(us / 1000000),
          static_cast<suseconds_t>(us % 1000000)};
}

void set_no_delay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void set_reset_on_close(evutil_socket_t fd, bool resets) {
  const linger how{resets ? 1 : 0, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &how, sizeof(how));
}

void reset_connection(evutil_socket_t fd) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  static_cast<void>(connect(fd, &none, sizeof(none)));
}

void set_dead_peer_timeout(evutil_socket_t fd, duration timeout) {
  const int on = 1;
  const auto ms = static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  const int probe_seconds = std::max(1, ms / 3000);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds,
             sizeof(probe_seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds,
             sizeof(probe_seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

void run_later(event_base* base, std::function<void()> task) {
  run_after(base, duration::zero(), std::move(task));
}

void run_after(event_base* base, duration wait, std::function<void()> task) {
  const auto run = [](evutil_socket_t, short, void* arg) {
    const std::unique_ptr<std::function<void()>> owned(
        static_cast<std::function<void()>*>(arg));
    (*owned)();
  };
  const auto time = to_timeval(wait);
  event_base_once(base, -1, EV_TIMEOUT, run,
                  new std::function<void()>(std::move(task)), &time);
}

std::shared_ptr<const std::string> take_all(evbuffer* from) {
  auto text = std::make_shared<std::string>();
  text->resize(evbuffer_get_length(from));
  evbuffer_remove(from, text->data(), text->size());
  return text;
}

void set_receive_buffer(evutil_socket_t fd, int bytes) {
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

bool write_at_once(evbuffer* from, evutil_socket_t fd) {
  // A bufferevent keeps others from taking bytes out of its output.
  evbuffer_unfreeze(from, 1);
  while (evbuffer_get_length(from) > 0) {
    if (evbuffer_write(from, fd) <= 0) break;
  }
  evbuffer_freeze(from, 1);
  return evbuffer_get_length(from) == 0;
}

std::size_t unread_bytes(evutil_socket_t fd) {
  int bytes = 0;
  if (ioctl(fd, FIONREAD, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

void add_text(evbuffer* to, const std::shared_ptr<const std::string>& text) {
  if (text && text->size() >= kShared) return add_shared(to, text);
  if (text) evbuffer_add(to, text->data(), text->size());
}

void add_shared(evbuffer* to, std::shared_ptr<const std::string> text) {
  if (!text || text->empty()) return;
  using holder = std::shared_ptr<const std::string>;
  auto* keep = new holder(std::move(text));
  evbuffer_add_reference(
      to, (*keep)->data(), (*keep)->size(),
      [](const void*, size_t, void* arg) { delete static_cast<holder*>(arg); },
      keep);
}

}  // namespace seamglade::detail
