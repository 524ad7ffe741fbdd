// seamglade - questions to the operators' listener of an instance
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/operator_client.h"

#include "connection/http_client.h"

namespace seamglade::detail {

result<std::string> ask_operator(event_base* base, const std::string& address,
                                 const char* method, const char* path) {
  http_client client(base, repeated_answers::never);
  result<std::string> answer = failure{errc::service_unreachable, address, 0};
  std::string text;
  http_call call;
  call.address = address;
  call.method = method;
  call.path = path;
  call.timeout = 5s;
  client.start(std::move(call),
               {[&](int, const std::vector<http_header>&,
                    const std::shared_ptr<const std::string>& data, bool last) {
                  if (data) text += *data;
                  if (!last) return;
                  answer = text;
                  event_base_loopbreak(base);
                },
                [&](http_end) { event_base_loopbreak(base); }});
  event_base_dispatch(base);
  return answer;
}

}  // namespace seamglade::detail
