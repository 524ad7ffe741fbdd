// seamglade - stand-in for an engine: slots, fenced orders, token streams
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <random>

#include "connection/target_protocol.h"
#include "standin.h"

namespace seamglade::standin {
namespace {

/**
 * Speaks the part of an engine's HTTP interface that seamglade uses, and
 * writes down every request that it ran (GET /log).
 *
 * Faults, by POST /faults with a JSON object: "fail_loads": N makes the next
 * N loads fail; "reject_claims": true refuses all claims.
 */
class engine final : public server {
 public:
  explicit engine(const options& settings)
      : server(settings), incarnation_(std::random_device()()) {}

 private:
  struct adapter {
    bool ready = false;
    std::uint32_t running = 0;
  };
  struct generation {
    evhttp_request* request = nullptr;
    std::string model;
    std::string tag;
    std::uint32_t tokens = 0;
    std::uint32_t sent = 0;
    bool stream = false;
    std::function<void()> gone;
  };

  void on_request(evhttp_request* request) override {
    const auto path = path_of(request);
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
      return generate(request);
    }
    if (path == "/v1/report") return answer(request, 200, report());
    if (path == "/v1/claim") return claim(request);
    if (path == "/v1/load_lora_adapter") return load(request);
    if (path == "/v1/unload_lora_adapter") return unload(request);
    if (path == "/log") return answer(request, 200, log_);
    if (path == "/faults") return set_faults(request);
    answer(request, 404, {{"error", {{"type", "no_such_path"}}}});
  }

  json report() const {
    json loaded = json::array();
    for (const auto& [name, a] : adapters_) {
      if (a.ready) loaded.push_back({{"name", name}, {"running", a.running}});
    }
    const auto age =
        highest_.holder.empty() ? duration{} : detail::boot_now() - renewed_;
    return {
        {"incarnation", incarnation_},
        {"loaded", loaded},
        {"fence", detail::to_header(highest_)},
        {"holder_age_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}};
  }

  /** Whether an order's fence is at least the highest seen. */
  bool admits(evhttp_request* request) {
    const auto text = header_of(request, "Fence");
    if (text.empty()) return highest_.holder.empty();
    const auto guard = detail::fence_from_header(text);
    if (!guard || *guard < highest_) return false;
    highest_ = *guard;
    return true;
  }

  void claim(evhttp_request* request) {
    if (reject_claims_ || !admits(request)) {
      return answer(request, 412, report());
    }
    renewed_ = detail::boot_now();
    answer(request, 200, report());
  }

  void load(evhttp_request* request) {
    if (!admits(request)) return answer(request, 412, report());
    const auto name = json::parse(body_of(request)).value("lora_name", "");
    if (fail_loads_ > 0) {
      --fail_loads_;
      return answer(request, 500, {{"error", {{"type", "load_failed"}}}});
    }
    if (adapters_.contains(name) && adapters_[name].ready) {
      return answer(request, 200, report());
    }
    if (adapters_.size() >= settings_.slots) {
      return answer(request, 507, {{"error", {{"type", "no_slot"}}}});
    }
    adapters_[name] = {};
    after(settings_.load_time, [this, request, name] {
      adapters_[name].ready = true;
      answer(request, 200, report());
    });
  }

  void unload(evhttp_request* request) {
    if (!admits(request)) return answer(request, 412, report());
    const auto order = json::parse(body_of(request));
    const auto it = adapters_.find(order.value("lora_name", ""));
    if (it != adapters_.end() && it->second.running > 0) {
      return answer(request, 409, {{"error", {{"type", "in_use"}}}});
    }
    if (it != adapters_.end()) adapters_.erase(it);
    answer(request, 200, report());
  }

  void generate(evhttp_request* request) {
    const auto body = json::parse(body_of(request), nullptr, false);
    const auto model = body.value("model", "");
    const auto it = adapters_.find(model);
    if (it == adapters_.end() || !it->second.ready) {
      return answer(request, 404,
                    {{"error", {{"type", detail::kNotLoadedType}}}});
    }
    ++it->second.running;
    auto* g = new generation;
    g->request = request;
    g->model = model;
    g->tag = header_of(request, "X-Tag");
    g->tokens = body.value("max_tokens", settings_.tokens);
    g->stream = body.value("stream", false);
    log_.push_back({{"tag", g->tag}, {"model", model}});
    g->gone = [g] { g->request = nullptr; };
    on_close(request, &g->gone);
    if (g->stream) {
      evhttp_add_header(evhttp_request_get_output_headers(request),
                        "Content-Type", "text/event-stream");
      evhttp_send_reply_start(request, 200, nullptr);
    }
    step(g);
  }

  void step(generation* g) {
    if (g->sent == g->tokens || g->request == nullptr) return finish(g);
    after(settings_.token_time, [this, g] {
      ++g->sent;
      if (g->stream && g->request != nullptr) {
        send_event(g, json{{"model", g->model},
                           {"choices", {{{"text", token(g->sent)}}}}}
                          .dump());
      }
      step(g);
    });
  }

  static std::string token(std::uint32_t number) {
    return fmt::format("t{} ", number);
  }

  static void send_event(generation* g, const std::string& data) {
    auto* buffer = evbuffer_new();
    evbuffer_add_printf(buffer, "data: %s\n\n", data.c_str());
    evhttp_send_reply_chunk(g->request, buffer);
    evbuffer_free(buffer);
  }

  void finish(generation* g) {
    const std::unique_ptr<generation> owned(g);
    const auto it = adapters_.find(g->model);
    if (it != adapters_.end() && it->second.running > 0) {
      --it->second.running;
    }
    if (g->request == nullptr) return;
    on_close(g->request, nullptr);
    if (g->stream) {
      send_event(g, "[DONE]");
      evhttp_send_reply_end(g->request);
      return;
    }
    std::string text;
    for (std::uint32_t i = 1; i <= g->tokens; ++i) text += token(i);
    answer(g->request, 200,
           {{"model", g->model}, {"choices", {{{"text", text}}}}});
  }

  void set_faults(evhttp_request* request) {
    const auto faults = json::parse(body_of(request), nullptr, false);
    fail_loads_ = faults.value("fail_loads", fail_loads_);
    reject_claims_ = faults.value("reject_claims", reject_claims_);
    answer(request, 200, json::object());
  }

  std::uint64_t incarnation_;
  std::map<std::string, adapter> adapters_;
  fence highest_;
  time_point renewed_;
  json log_ = json::array();
  std::uint32_t fail_loads_ = 0;
  bool reject_claims_ = false;
};

/** Answers every request with what it was asked; keeps a log. */
class plain_service final : public server {
 public:
  using server::server;

 private:
  void on_request(evhttp_request* request) override {
    const auto path = path_of(request);
    if (path == "/log") return answer(request, 200, log_);
    log_.push_back({{"tag", header_of(request, "X-Tag")},
                    {"method", method_of(request)},
                    {"path", path}});
    answer(request, 200,
           {{"path", path},
            {"method", method_of(request)},
            {"echo", body_of(request)}});
  }

  json log_ = json::array();
};

}  // namespace

std::unique_ptr<server> make_engine(const options& settings) {
  return std::make_unique<engine>(settings);
}

std::unique_ptr<server> make_plain_service(const options& settings) {
  return std::make_unique<plain_service>(settings);
}

}  // namespace seamglade::standin
