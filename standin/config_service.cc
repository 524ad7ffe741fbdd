// seamglade - stand-in for the configuration service: Consul's key-value reads
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "connection/target_protocol.h"
#include "standin.h"

namespace seamglade::standin {
namespace {

/**
 * GET /v1/kv/PREFIX?recurse&index=N&wait=Ts as Consul answers it, and PUT
 * /v1/kv/KEY for the operators' side. GET /calls tells how often it was
 * asked. Faults, by POST /faults: "down": true answers nothing but 500;
 * "stale": true goes on answering what was published by then.
 */
class config_service final : public server {
 public:
  using server::server;

 private:
  struct entry {
    std::string value;
    std::uint64_t index = 0;
  };
  struct waiting {
    std::uint64_t id;
    evhttp_request* request;
    std::string prefix;
    std::unique_ptr<std::function<void()>> gone;
  };
  using entry_map = std::map<std::string, entry>;

  static constexpr std::string_view kPath = "/v1/kv/";

  void on_request(evhttp_request* request) override {
    const auto path = path_of(request);
    if (path == "/calls") return answer(request, 200, {{"calls", calls_}});
    if (path == "/faults") return set_faults(request);
    if (!path.starts_with(kPath)) return answer(request, 404, json::object());
    const auto key = path.substr(kPath.size());
    if (method_of(request) == "PUT") return put(request, key);
    ++calls_;
    if (down_) return answer(request, 500, json::object());
    const auto after_index = query_of(request, "index");
    const auto wait = query_of(request, "wait");
    const bool waits = !after_index.empty() && !wait.empty() &&
                       std::stoull(after_index) >= shown_index();
    if (!waits) return answer_entries(request, key);
    hold(request, key, std::chrono::seconds(std::stoul(wait)));
  }

  void put(evhttp_request* request, const std::string& key) {
    entries_[key] = {body_of(request), ++index_};
    answer(request, 200, true);
    if (stale_) return;
    auto ready = std::move(waiting_);
    waiting_.clear();
    for (auto& one : ready) {
      on_close(one.request, nullptr);
      answer_entries(one.request, one.prefix);
    }
  }

  void hold(evhttp_request* request, const std::string& prefix, duration wait) {
    const auto id = ++last_waiting_;
    waiting one{id, request, prefix,
                std::make_unique<std::function<void()>>([this, id] {
                  std::erase_if(waiting_,
                                [&](const auto& w) { return w.id == id; });
                })};
    on_close(request, one.gone.get());
    waiting_.push_back(std::move(one));
    after(wait, [this, id] {
      const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                                   [&](const auto& w) { return w.id == id; });
      if (it == waiting_.end()) return;
      on_close(it->request, nullptr);
      answer_entries(it->request, it->prefix);
      waiting_.erase(it);
    });
  }

  std::uint64_t shown_index() const { return stale_ ? old_index_ : index_; }

  void answer_entries(evhttp_request* request, const std::string& prefix) {
    const auto& shown = stale_ ? old_entries_ : entries_;
    json list = json::array();
    for (const auto& [key, e] : shown) {
      if (!key.starts_with(prefix)) continue;
      list.push_back({{"Key", key},
                      {"Value", detail::base64_encode(e.value)},
                      {"ModifyIndex", e.index}});
    }
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "X-Consul-Index", std::to_string(shown_index()).c_str());
    answer(request, 200, list);
  }

  void set_faults(evhttp_request* request) {
    const auto faults = json::parse(body_of(request), nullptr, false);
    down_ = faults.value("down", down_);
    const bool stale = faults.value("stale", stale_);
    if (stale && !stale_) {
      old_entries_ = entries_;
      old_index_ = index_;
    }
    stale_ = stale;
    answer(request, 200, json::object());
  }

  entry_map entries_;
  entry_map old_entries_;
  std::uint64_t index_ = 0;
  std::uint64_t old_index_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t last_waiting_ = 0;
  std::vector<waiting> waiting_;
  bool down_ = false;
  bool stale_ = false;
};

}  // namespace

std::unique_ptr<server> make_config_service(const options& settings) {
  return std::make_unique<config_service>(settings);
}

}  // namespace seamglade::standin
