// seamglade - one loop of the platform's stand-in, and answers on it
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_PLATFORM_WORLD_H_
#define SEAMGLADE_STANDIN_PLATFORM_WORLD_H_

#include <charconv>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "connection/gateway_server.h"

namespace seamglade::standin {

using namespace detail;  // NOLINT: the stand-in is made of its parts
using gateway::caller_message;

inline std::string header_of(const caller_message& m, std::string_view name) {
  for (const auto& header : m.headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

inline std::uint64_t query_number(const std::string& target,
                                  std::string_view name) {
  const auto at = target.find(std::string(name) + "=");
  std::uint64_t value = 0;
  if (at == std::string::npos) return value;
  const auto* first = target.data() + at + name.size() + 1;
  std::from_chars(first, target.data() + target.size(), value);
  return value;
}

/** One loop, many listeners, tasks after a time. */
class world {
 public:
  world() : base_(event_base_new()) {}

  void after(duration wait, std::function<void()> task) {
    run_after(base_.get(), wait, std::move(task));
  }

  event_base* base() { return base_.get(); }

 private:
  base_handle base_;
};

inline void reply(gateway_server& server, caller_id caller, int status,
                  const std::string& body,
                  std::vector<http_header> headers = {}) {
  server.begin(caller, {status, "", std::move(headers), body.size()});
  server.write(caller, std::make_shared<const std::string>(body));
  server.finish(caller);
}

inline gateway_server::handlers on_request(
    std::function<void(caller_id, const caller_message&)> serve) {
  return {[serve = std::move(serve)](caller_id c, const caller_message& m) {
            serve(c, m);
          },
          [](caller_id) {}, [](int) {}};
}

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_PLATFORM_WORLD_H_
