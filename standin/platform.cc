// seamglade - a stand-in for the users' platform: its store and its targets
//
// Speaks the protocol of the platform's pages over real sockets: the store's
// range and watch, engines with adapters, fences, reports and streams, and a
// plain service. One process; it prints "listening IP:PORT" for the store.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <iostream>
#include <vector>

#include "platform_store.h"
#include "platform_target.h"

namespace {

using namespace seamglade;
using namespace seamglade::standin;
using namespace seamglade::detail;

constexpr std::size_t kMostKeyBytes = 200;

/** How long requests may be held, in ms: as a rule, and where they run long. */
constexpr int kHeld = 5000;
constexpr int kLongHeld = 25000;

json route(std::string_view prefix, const char* type, const char* service,
           int held_ms = kHeld) {
  const int objective_ms = held_ms == kHeld ? 800 : held_ms;
  return {{"host", "desk.example"}, {"prefix", prefix},       {"type", type},
          {"timeout_ms", held_ms},  {"slo_ms", objective_ms}, {"prio", 0},
          {"svc", service},         {"attempts", 2}};
}

json resumable(json route) {
  route["resumable"] = true;
  return route;
}

/** `more`: so many routes that no caller asks for. */
json configuration(std::uint64_t version, std::uint64_t more = 0) {
  const json engine{{"slots", 8},
                    {"weights_mb", 1000},
                    {"lora_slots", kAdapterSlots},
                    {"loads_per_s", 3},
                    {"models", json::array({{{"name", kModel},
                                             {"weights_mb", 500},
                                             {"lora_mb", 1},
                                             {"load_s", 0.5}}})}};
  auto routes = json::array({route("/draft/", "stream", "llm"),
                             resumable(route("/chat/", "stream", "llm")),
                             resumable(route(kPlainStreams, "stream", "desk")),
                             route("/get/", "idempotent", "desk"),
                             route("/set/", "mutating", "desk"),
                             route("/order/", "mutating", "desk", kLongHeld),
                             route("/look/", "idempotent", "desk", kLongHeld)});
  for (std::uint64_t i = 0; i < more; ++i) {
    routes.push_back(route(fmt::format("/more/{}/", i), "idempotent", "desk"));
  }
  return {{"cfg_ver", version},
          {"routes", std::move(routes)},
          {"svcs", json::array({{{"name", "llm"}, {"engine", engine}},
                                {{"name", "desk"}}})},
          {"limits",
           {{"max_header_bytes", 8192},
            {"max_body_bytes", 100000},
            {"header_timeout_ms", 2000},
            {"idle_timeout_ms", 5000}}}};
}

/**
 * Keys of other writers: all that a query treats specially, in the range of
 * the operators' and the targets' keys and outside of both.
 */
void put_foreign_items(store& s) {
  const std::vector<std::string> names{"a00%#",
                                       "a01%#zz",
                                       "a02&b=",
                                       "a03+",
                                       "a04%C3%A9",
                                       "a05%2500",
                                       "a06\u00e9",
                                       "a07 b",
                                       "a08\r\nX-Expect: 1",
                                       "a09?after=",
                                       "a10=/;:@,!$'()*",
                                       "%",
                                       "#",
                                       "a11\t",
                                       "%7E",
                                       std::string(200, '~')};
  for (const std::string prefix : {"", "op/", "servers/"}) {
    for (const auto& name : names) {
      const auto key = prefix + name;
      if (key.size() <= kMostKeyBytes) s.put_bytes(key, "of another writer");
    }
  }
}

}  // namespace

/**
 * Usage: seamglade-platform-standin [PART [ENGINES PLAIN]]: so many answers
 * come again, of so many targets. Engines are numbered first.
 */
int main(int count, char** words) {
  const double part = count > 1 ? std::stod(words[1]) : 0;
  const unsigned engines = count > 2 ? std::stoul(words[2]) : 2;
  const unsigned plain = count > 3 ? std::stoul(words[3]) : 1;
  world w;
  store s(w);
  const auto where = s.listen({"127.0.0.1", 0});
  put_foreign_items(s);
  s.put("op/config", configuration(1));
  std::vector<std::unique_ptr<target>> all;
  for (unsigned i = 1; i <= engines + plain; ++i) {
    const bool is_engine = i <= engines;
    auto id = is_engine ? fmt::format("engine-{}", i)
                        : fmt::format("desk-{}", i - engines);
    auto relay = part > 0 ? std::make_unique<repeating_relay>(w.base(), part, i)
                          : nullptr;
    all.push_back(std::make_unique<target>(w, s, std::move(id), is_engine,
                                           std::move(relay)));
  }
  s.on_word = [&all](std::size_t number, const json& word) {
    all.at(number)->take_word(word);
  };
  s.on_version = [&s](std::uint64_t version) {
    s.put("op/config", configuration(version));
  };
  s.on_routes = [&s](std::uint64_t more) {
    constexpr std::uint64_t kVersion = 2;
    s.put("op/config", configuration(kVersion, more));
  };
  s.on_restored = [&all] {
    for (const auto& each : all) each->publish();
  };
  std::cout << "listening " << where.str() << std::endl;
  event_base_dispatch(w.base());
  return 0;
}
