// seamglade - questions to the operators' listener of an instance
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/operator_client.h"

#include <fmt/format.h>

#include "connection/http_client.h"

namespace seamglade::detail {
namespace {

constexpr duration kTimeout = 5s;

bool is_success(int status) { return status >= 200 && status < 300; }

}  // namespace

result<std::string> ask_operator(event_base* base, const std::string& address,
                                 const char* method, const char* path) {
  http_client client(base, repeated_answers::never);
  result<std::string> answer = failure{errc::service_unreachable, address, 0};
  int status = 0;
  std::string text;
  http_call call;
  call.address = address;
  call.method = method;
  call.path = path;
  call.timeout = kTimeout;
  const auto end = [&] {
    if (is_success(status)) {
      answer = std::move(text);
    } else {
      answer = failure{errc::service_unreachable,
                       fmt::format("{} answered {}", address, status), 0};
    }
    event_base_loopbreak(base);
  };
  client.start(std::move(call),
               {[&](int told, const std::vector<http_header>&,
                    const std::shared_ptr<const std::string>& data, bool last) {
                  if (told != 0) status = told;
                  if (data) text += *data;
                  if (last) end();
                },
                [&](http_end) { event_base_loopbreak(base); }});
  event_base_dispatch(base);
  return answer;
}

}  // namespace seamglade::detail
