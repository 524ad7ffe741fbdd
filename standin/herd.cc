// seamglade - a stand-in for callers that all upload at the same time
//
// Usage: seamglade-herd-standin IP:PORT CALLERS BYTES. Each caller sends a
// request of BYTES but for its last kilobyte, and then a byte now and again.
// Prints "held N" once every other one has its answer; after SIGUSR1 those
// held send the rest, a few at a time. Prints how many got which status, and
// ends. Gives up after a minute, with exit code 1.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <vector>

#include "connection/event_handles.h"
#include "connection/http_parser.h"

namespace {

using namespace seamglade;
using namespace seamglade::detail;

constexpr std::size_t kHeldBack = 1024;
constexpr std::size_t kMostCallers = 4000;
constexpr std::size_t kAtOnce = 8;
constexpr duration kTick = 200ms;
constexpr duration kGiveUp = 60s;

struct herd_options {
  endpoint to;
  std::size_t callers = 0;
  std::size_t bytes = 0;
};

/** All callers, on one loop. */
class herd {
 public:
  herd(event_base* base, const herd_options& options)
      : base_(base), options_(options), body_(options.bytes, 'x') {
    for (std::size_t n = 0; n < options_.callers; ++n) begin(n);
  }

  void let_go() {
    is_let_go_ = true;
    finish_some();
  }

  /** Sends a byte for each one held, and tells once no other one is left. */
  void tick() {
    std::size_t held = 0;
    for (const auto& c : callers_) {
      if (c->io && is_held(*c)) {
        ++held;
        if (!c->is_finishing && c->left > kHeldBack / 2) send(*c, 1);
      }
    }
    if (!has_told_ && held == open_) {
      has_told_ = true;
      std::cout << "held " << held << std::endl;
    }
  }

  void print() const {
    for (const auto& [what, count] : outcomes_) {
      std::cout << what << ' ' << count << '\n';
    }
    std::cout << "done" << std::endl;
  }

 private:
  struct caller {
    herd* owner = nullptr;
    bufferevent_handle io;
    answer_reader reader{false};
    std::size_t left = 0;
    bool is_finishing = false;
  };

  void begin(std::size_t n) {
    auto& c = *callers_.emplace_back(std::make_unique<caller>());
    c.owner = this;
    c.left = options_.bytes;
    c.io.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        c.io.get(),
        [](bufferevent*, void* arg) {
          auto* self = static_cast<caller*>(arg);
          self->owner->on_readable(*self);
        },
        nullptr,
        [](bufferevent*, short what, void* arg) {
          if ((what & BEV_EVENT_CONNECTED) != 0) return;
          auto* self = static_cast<caller*>(arg);
          self->owner->on_readable(*self);
          self->owner->settle(*self, "closed");
        },
        &c);
    ++open_;
    bufferevent_enable(c.io.get(), EV_READ | EV_WRITE);
    auto address = to_socket_address(options_.to);
    bufferevent_socket_connect(
        c.io.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
    const auto head = fmt::format(
        "POST /set/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: h{}\r\n"
        "X-Deadline-Ms: 30000\r\nContent-Length: {}\r\n\r\n",
        n, options_.bytes);
    bufferevent_write(c.io.get(), head.data(), head.size());
    send(c, options_.bytes - kHeldBack);
  }

  void send(caller& c, std::size_t bytes) {
    evbuffer_add_reference(bufferevent_get_output(c.io.get()), body_.data(),
                           bytes, nullptr, nullptr);
    c.left -= bytes;
  }

  /** Whether the other side has taken all that was sent. */
  static bool is_held(const caller& c) {
    if (evbuffer_get_length(bufferevent_get_output(c.io.get())) > 0) {
      return false;
    }
    int unsent = 0;
    ioctl(bufferevent_getfd(c.io.get()), SIOCOUTQ, &unsent);
    return unsent == 0;
  }

  void on_readable(caller& c) {
    if (!c.io) return;
    const auto progress = c.reader.read(bufferevent_get_input(c.io.get()));
    if (progress == parse_progress::failed) return settle(c, "malformed");
    if (progress != parse_progress::complete) return;
    const auto& head = c.reader.head();
    const bool tells_when = std::any_of(
        head.headers.begin(), head.headers.end(), [](const auto& h) {
          return boost::algorithm::iequals(h.name, "Retry-After");
        });
    settle(c, fmt::format("{}{}{}", head.status, tells_when ? "+retry" : "",
                          c.left > 0 ? "+early" : ""));
  }

  void settle(caller& c, const std::string& outcome) {
    if (!c.io) return;
    c.io.reset();
    ++outcomes_[outcome];
    if (c.is_finishing) --finishing_;
    if (--open_ == 0) event_base_loopbreak(base_);
    if (is_let_go_) finish_some();
  }

  void finish_some() {
    for (; next_ < callers_.size() && finishing_ < kAtOnce; ++next_) {
      auto& c = *callers_[next_];
      if (!c.io) continue;
      c.is_finishing = true;
      ++finishing_;
      send(c, c.left);
    }
  }

  event_base* base_;
  herd_options options_;
  std::string body_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::map<std::string, std::size_t> outcomes_;
  std::size_t open_ = 0;
  std::size_t finishing_ = 0;
  std::size_t next_ = 0;
  bool has_told_ = false;
  bool is_let_go_ = false;
};

std::optional<herd_options> read_options(int count, char** words) {
  using boost::conversion::try_lexical_convert;
  herd_options out;
  if (count != 4) return std::nullopt;
  const auto to = parse_endpoint(words[1]);
  if (!to || !try_lexical_convert(words[2], out.callers) ||
      !try_lexical_convert(words[3], out.bytes)) {
    return std::nullopt;
  }
  if (out.callers > kMostCallers || out.bytes <= kHeldBack) return std::nullopt;
  out.to = to.value();
  return out;
}

}  // namespace

int main(int count, char** words) {
  const auto options = read_options(count, words);
  if (!options) {
    std::cerr << "usage: seamglade-herd-standin IP:PORT CALLERS BYTES\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const base_handle base(event_base_new());
  herd all(base.get(), *options);
  const event_handle go(event_new(
      base.get(), SIGUSR1, EV_SIGNAL | EV_PERSIST,
      [](evutil_socket_t, short, void* arg) {
        static_cast<herd*>(arg)->let_go();
      },
      &all));
  event_add(go.get(), nullptr);
  const event_handle tick(event_new(
      base.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void* arg) {
        static_cast<herd*>(arg)->tick();
      },
      &all));
  const auto every = to_timeval(kTick);
  event_add(tick.get(), &every);
  const auto most = to_timeval(kGiveUp);
  event_base_loopexit(base.get(), &most);
  event_base_dispatch(base.get());
  all.print();
  return event_base_got_exit(base.get()) != 0 ? 1 : 0;
}
