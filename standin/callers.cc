// seamglade - a herd of callers that keep their connections and come back
//
// Usage: seamglade-callers-standin SECONDS CALLERS UPLOAD SEED ADDRESS...
// Each caller sends one request after the other over one connection, and after
// a failure at once again, to the next address. A quarter of them uploads
// UPLOAD bytes in pieces, a quarter reads streams. Prints, four times a second,
// "tick UNIX_MS SERVED REFUSED BROKEN OPEN": requests ended since the last
// line, and connections that are up.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/format.h>
#include <signal.h>

#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "connection/event_handles.h"
#include "connection/http_parser.h"

namespace {

using namespace seamglade;
using namespace seamglade::detail;

constexpr duration kAgain = 10ms;
constexpr duration kPatience = 4s;
constexpr duration kPieceTime = 15ms;
constexpr std::size_t kPieces = 8;
constexpr unsigned kLongestThought = 60;  // ms
constexpr duration kTick = 250ms;

struct counts {
  unsigned served = 0;
  unsigned refused = 0;
  unsigned broken = 0;
};

/** What all callers share. */
struct herd {
  event_base* base = nullptr;
  std::vector<endpoint> addresses;
  std::size_t upload = 0;
  std::mt19937 draw;
  counts now;
  unsigned open = 0;
  std::uint64_t last_request = 0;
};

class caller {
 public:
  caller(herd& h, std::size_t number)
      : herd_(h), kind_(number % 4), address_(number) {
    again(duration{});
  }

 private:
  /** Begins a request later, unless this one has another end before. */
  void again(duration wait) {
    run_after(herd_.base, wait, [this, step = ++step_] {
      if (step == step_) send();
    });
  }

  void connect() {
    io_.reset(bufferevent_socket_new(
        herd_.base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(
        io_.get(),
        [](bufferevent*, void* self) { static_cast<caller*>(self)->read(); },
        nullptr,
        [](bufferevent*, short what, void* self) {
          static_cast<caller*>(self)->on_event(what);
        },
        this);
    bufferevent_enable(io_.get(), EV_READ | EV_WRITE);
    auto where =
        to_socket_address(herd_.addresses[address_ % herd_.addresses.size()]);
    bufferevent_socket_connect(io_.get(), reinterpret_cast<sockaddr*>(&where),
                               sizeof(where));
  }

  void send() {
    if (!io_) connect();
    reader_ = std::make_unique<answer_reader>(false);
    const auto size = kind_ == 1 ? herd_.upload : 0;
    const char* path = "/get/x";
    if (kind_ == 1) path = "/set/x";
    if (kind_ == 2) path = "/draft/x";
    const auto head = fmt::format(
        "{} {} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r{}\r\n"
        "X-Deadline-Ms: 3000\r\n{}Content-Length: {}\r\n\r\n",
        kind_ == 1 || kind_ == 2 ? "POST" : "GET", path, ++herd_.last_request,
        kind_ == 2 ? fmt::format("X-Model: base/a{}\r\n", address_ % 4) : "",
        size);
    evbuffer_add(bufferevent_get_output(io_.get()), head.data(), head.size());
    const auto step = ++step_;
    upload(step, size);
    run_after(herd_.base, kPatience, [this, step] {
      if (step == step_) fail();
    });
  }

  /** Sends the next piece of a body. */
  void upload(std::uint64_t step, std::size_t left) {
    if (step != step_ || !io_ || left == 0) return;
    const auto piece = std::min(left, herd_.upload / kPieces + 1);
    const std::string bytes(piece, 'u');
    evbuffer_add(bufferevent_get_output(io_.get()), bytes.data(), bytes.size());
    run_after(herd_.base, kPieceTime,
              [this, step, rest = left - piece] { upload(step, rest); });
  }

  void read() {
    auto* in = bufferevent_get_input(io_.get());
    const auto progress = reader_->read(in);
    reader_->take_body();
    if (progress == parse_progress::need_more) return;
    if (progress == parse_progress::failed) {
      fail();
      return;
    }
    const bool is_served = reader_->head().status == 200;
    ++(is_served ? herd_.now.served : herd_.now.refused);
    // The rest of a body that was not wanted would pass for a request.
    if (!reader_->keeps_connection() || (kind_ == 1 && !is_served)) close();
    const std::chrono::milliseconds thought(herd_.draw() % kLongestThought);
    again(is_served ? thought : kAgain);
  }

  void on_event(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      ++herd_.open;
      is_open_ = true;
    } else {
      fail();
    }
  }

  void fail() {
    ++herd_.now.broken;
    close();
    ++address_;
    again(kAgain);
  }

  void close() {
    io_.reset();
    if (std::exchange(is_open_, false)) --herd_.open;
  }

  herd& herd_;
  std::size_t kind_;
  std::size_t address_;
  bufferevent_handle io_;
  bool is_open_ = false;
  std::unique_ptr<answer_reader> reader_;
  /** Counts what it does: an earlier step's timer has nothing to do. */
  std::uint64_t step_ = 0;
};

void tick(herd& h) {
  const auto now = std::exchange(h.now, {});
  std::cout << fmt::format("tick {} {} {} {} {}", unix_now_ms(), now.served,
                           now.refused, now.broken, h.open)
            << std::endl;
  run_after(h.base, kTick, [&h] { tick(h); });
}

}  // namespace

int main(int count, char** words) {
  constexpr int kLeast = 6;
  if (count < kLeast) {
    std::cerr << "SECONDS CALLERS UPLOAD SEED ADDRESS...\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const base_handle base(event_base_new());
  herd all;
  all.base = base.get();
  all.upload = std::stoul(words[3]);
  all.draw.seed(std::stoul(words[4]));
  for (int i = kLeast - 1; i < count; ++i) {
    all.addresses.push_back(parse_endpoint(words[i]).value());
  }
  std::vector<std::unique_ptr<caller>> callers;
  for (std::size_t i = 0; i < std::stoul(words[2]); ++i) {
    callers.push_back(std::make_unique<caller>(all, i));
  }
  tick(all);
  run_after(base.get(), std::chrono::seconds(std::stoul(words[1])),
            [&base] { event_base_loopbreak(base.get()); });
  event_base_dispatch(base.get());
  return 0;
}
