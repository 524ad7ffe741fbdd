// seamglade - a way to the store whose open connections tests silence
//
// Usage: seamglade-silence-standin STORE. Passes bytes on between instances and
// STORE (IP:port). After SIGUSR1 nothing passes on the connections open then,
// and none of them is reset.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <csignal>
#include <iostream>

#include "target_way.h"

int main(int count, char** words) {
  using namespace seamglade::standin;  // NOLINT: the program is of its parts
  const auto store = parse_endpoint(count == 2 ? words[1] : "");
  if (!store) {
    std::cerr << "usage: seamglade-silence-standin STORE\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  world w;
  target_way way(w.base(), store.value());
  const auto on_signal = [](evutil_socket_t, short, void* arg) {
    static_cast<target_way*>(arg)->silence_open();
  };
  const event_handle silence(
      event_new(w.base(), SIGUSR1, EV_SIGNAL | EV_PERSIST, on_signal, &way));
  event_add(silence.get(), nullptr);
  std::cout << "listening " << way.address() << std::endl;
  event_base_dispatch(w.base());
  return 0;
}
