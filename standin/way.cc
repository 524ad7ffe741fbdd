// seamglade - a store for one instance that leads it to targets over ways of
// its own, which tests cut
//
// Usage: seamglade-way-standin STORE. Answers as the platform's stand-in at
// STORE (IP:port), but for the addresses of targets. PUT /silent and PUT /open
// cut the ways and open them again.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "connection/answer_collector.h"
#include "connection/target_protocol.h"
#include "target_way.h"

namespace seamglade::standin {
namespace {

using nlohmann::json;

/** Longer than any watch is held. */
constexpr answer_bounds kStoreBounds{30s, 1UL << 20U};

class store_of_one {
 public:
  store_of_one(world& w, std::string store)
      : world_(w),
        store_(std::move(store)),
        client_(w.base(), {}),
        server_(w.base(),
                on_request([this](auto c, const auto& m) { serve(c, m); })) {}

  endpoint listen() { return server_.listen({"127.0.0.1", 0}).value(); }

 private:
  void serve(caller_id caller, const caller_message& m) {
    if (m.method == "PUT") {
      for (auto& [target, way] : ways_) way->set_silent(m.target == "/silent");
      reply(server_, caller, 200, "");
      return;
    }
    outgoing_call call;
    call.address = store_;
    call.method = m.method;
    call.target = m.target;
    collect_answer(world_.base(), client_, std::move(call), kStoreBounds,
                   [this, caller](const collected_answer& got) {
                     const int status = got.status.value_or(503);
                     reply(server_, caller, status, with_own_ways(got.body),
                           got.headers);
                   });
  }

  /** Returns an answer of the store with the addresses of ways in it. */
  std::string with_own_ways(const std::string& text) {
    auto answer = json::parse(text, nullptr, false);
    if (!answer.is_object()) return text;
    for (const auto* list : {"items", "events"}) {
      if (!answer.contains(list)) continue;
      for (auto& item : answer[list]) change_address(item);
    }
    return answer.dump();
  }

  void change_address(json& item) {
    const auto key = item.value("tls_key", "");
    if (!key.starts_with("servers/") || !item.contains("value")) return;
    const auto text = base64_decode(item["value"].get<std::string>());
    auto entry = json::parse(text.value_or(""), nullptr, false);
    if (!entry.is_object()) return;
    entry["addr"] = way_to(entry.value("addr", ""));
    item["value"] = base64_encode(entry.dump());
  }

  std::string way_to(const std::string& target) {
    const auto where = parse_endpoint(target);
    if (!where) return target;
    auto& way = ways_[target];
    if (!way) way = std::make_unique<target_way>(world_.base(), where.value());
    return way->address();
  }

  world& world_;
  std::string store_;
  call_client client_;
  gateway_server server_;
  /** By the address of the target. */
  std::map<std::string, std::unique_ptr<target_way>> ways_;
};

}  // namespace
}  // namespace seamglade::standin

int main(int count, char** words) {
  using namespace seamglade::standin;  // NOLINT: the program is of its parts
  if (count != 2) {
    std::cerr << "usage: seamglade-way-standin STORE\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  world w;
  store_of_one store(w, words[1]);
  std::cout << "listening " << store.listen().str() << std::endl;
  event_base_dispatch(w.base());
  return 0;
}
