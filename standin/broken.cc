// seamglade - a stand-in for the users' platform whose targets are in trouble
//
// Each target sends bytes of its own in place of an answer, or ends an early
// answer in a way of its own; each has a service and two routes, /i/NAME/ for
// requests that may be repeated and /m/NAME/ for others. Prints
// "broken NAME", "odd NAME", "early NAME" or "refused NAME" for each target,
// then "listening IP:PORT" for the store, and "run ID NAME" for each request.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <list>
#include <utility>
#include <vector>

#include "broken_answers.h"
#include "loopback_listener.h"
#include "platform_store.h"

namespace {

using namespace seamglade;
using namespace seamglade::standin;
using namespace seamglade::detail;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kIdHeader = "X-Request-Id: ";
/** From an early answer to the end of its connection. */
constexpr duration kEarlyWait = 10ms;
/** Of a request, so much is read. */
constexpr std::size_t kReadBytes = 4096;

/** How a target answers. */
struct behaviour {
  enum class ending : std::uint8_t { close, reset, shut_down };

  /** What the caller is to get: `broken`, `odd`, `early` or `refused`. */
  std::string kind;
  std::string name;
  std::string bytes;
  ending how = ending::close;
  duration wait{};
};

/** Puts the headers that make an answer its request's own behind its head. */
std::string signed_answer(std::string bytes, std::string_view request) {
  const auto at = bytes.find(kHeadEnd);
  if (at == std::string::npos) return bytes;
  std::string lines = "\r\n" + std::string(kIdHeader);
  lines += request;
  lines += "\r\nX-Server-Stamp: 1";
  bytes.insert(at, lines);
  return bytes;
}

std::string request_id_in(std::string_view head) {
  const auto at = head.find(kIdHeader);
  if (at == std::string_view::npos) return {};
  const auto from = at + kIdHeader.size();
  return std::string(head.substr(from, head.find('\r', from) - from));
}

/** One target; its connections carry one request each. */
class target_in_trouble {
 public:
  target_in_trouble(world& w, behaviour what)
      : world_(w),
        what_(std::move(what)),
        listener_(w.base(), [this](evutil_socket_t fd) { accept(fd); }) {}

  const behaviour& what() const { return what_; }
  json entry() const {
    return {{"svc", what_.name}, {"addr", listener_.address()},
            {"zone", "z1"},      {"cfg_ver", ""},
            {"slots", 8},        {"state", "ready"},
            {"seq", 1},          {"models", json::array()}};
  }

 private:
  struct connection {
    target_in_trouble* owner = nullptr;
    evutil_socket_t fd = -1;
    event_handle readable;
  };

  void accept(evutil_socket_t fd) {
    evutil_make_socket_nonblocking(fd);
    auto& c = connections_.emplace_back();
    c.owner = this;
    c.fd = fd;
    const auto came = [](evutil_socket_t, short, void* arg) {
      auto* self = static_cast<connection*>(arg);
      self->owner->read(*self);
    };
    c.readable.reset(
        event_new(world_.base(), fd, EV_READ | EV_PERSIST, came, &c));
    event_add(c.readable.get(), nullptr);
  }

  void read(connection& c) {
    char bytes[kReadBytes];
    const auto count = recv(c.fd, bytes, sizeof(bytes), 0);
    if (count <= 0) return erase(c);
    c.readable.reset();
    const auto id = request_id_in({bytes, static_cast<std::size_t>(count)});
    std::cout << "run " << id << " " << what_.name << std::endl;
    const auto answer = signed_answer(what_.bytes, id);
    send(c.fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    world_.after(what_.wait, [this, &c] { end(c); });
  }

  void end(connection& c) {
    if (what_.how == behaviour::ending::shut_down) {
      shutdown(c.fd, SHUT_WR);
      return;
    }
    if (what_.how == behaviour::ending::reset) set_reset_on_close(c.fd, true);
    erase(c);
  }

  void erase(connection& c) {
    close(c.fd);
    connections_.remove_if([&](const auto& each) { return &each == &c; });
  }

  world& world_;
  behaviour what_;
  std::list<connection> connections_;
  loopback_listener listener_;
};

std::vector<behaviour> behaviours() {
  using ending = behaviour::ending;
  std::vector<behaviour> all;
  for (auto& each : broken_answers()) {
    all.push_back({"broken", each.name, each.bytes});
  }
  for (auto& each : odd_answers()) {
    all.push_back({"odd", each.name, each.bytes});
  }
  const std::string body(400, 'a');
  const auto success = "HTTP/1.1 200 OK\r\n\r\n" + body;
  const auto refusal =
      "HTTP/1.1 413 Large\r\nContent-Length: 400\r\n\r\n" + body;
  all.push_back({"early", "early_reset", success, ending::reset, kEarlyWait});
  all.push_back({"early", "early_close", success, ending::close, kEarlyWait});
  all.push_back({"early", "early_end", success, ending::shut_down, kEarlyWait});
  all.push_back(
      {"refused", "early_refusal", refusal, ending::shut_down, kEarlyWait});
  return all;
}

json route(const std::string& prefix, const char* type,
           const std::string& service) {
  return {{"host", "desk.example"}, {"prefix", prefix}, {"type", type},
          {"timeout_ms", 5000},     {"slo_ms", 800},    {"prio", 0},
          {"svc", service},         {"attempts", 2}};
}

json configuration(const std::vector<behaviour>& all) {
  json routes = json::array();
  json services = json::array();
  for (const auto& each : all) {
    routes.push_back(route("/i/" + each.name + "/", "idempotent", each.name));
    routes.push_back(route("/m/" + each.name + "/", "mutating", each.name));
    services.push_back({{"name", each.name}});
  }
  return {{"cfg_ver", 1},
          {"routes", std::move(routes)},
          {"svcs", std::move(services)},
          {"limits",
           {{"max_header_bytes", 8192},
            {"max_body_bytes", 8U << 20U},
            {"header_timeout_ms", 2000},
            {"idle_timeout_ms", 5000}}}};
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  world w;
  store s(w);
  const auto where = s.listen({"127.0.0.1", 0});
  const auto all = behaviours();
  std::list<target_in_trouble> targets;
  for (const auto& each : all) {
    std::cout << each.kind << " " << each.name << "\n";
    const auto& target = targets.emplace_back(w, each);
    s.put("servers/t-" + each.name, target.entry());
  }
  s.put("op/config", configuration(all));
  std::cout << "listening " << where.str() << std::endl;
  event_base_dispatch(w.base());
  return 0;
}
