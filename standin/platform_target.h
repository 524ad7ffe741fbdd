// seamglade - the targets of the platform's stand-in: engines and plain ones
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_PLATFORM_TARGET_H_
#define SEAMGLADE_STANDIN_PLATFORM_TARGET_H_

#include <fmt/format.h>

#include <iostream>
#include <optional>
#include <set>
#include <vector>

#include "kept_prompts.h"
#include "platform_store.h"
#include "repeating_relay.h"

namespace seamglade::standin {

using namespace seamglade::detail;

inline constexpr duration kLoadTime = 150ms;
inline constexpr duration kEventTime = 20ms;
inline constexpr std::size_t kEvents = 6;
inline constexpr std::size_t kAdapterSlots = 3;
inline constexpr std::string_view kModel = "base";
inline constexpr std::string_view kPlainStreams = "/feed/";
/** In a plain request's query: how many milliseconds it runs. */
inline constexpr std::string_view kRunTime = "run_ms=";
/** A body that begins so ends the target that begins to run it. */
inline constexpr std::string_view kDeadly = "deadly";
/** What was written before a target ends has left by then. */
inline constexpr auto kAllSent = 1ms;
inline constexpr duration kEndsAfter = 30ms;
inline constexpr duration kDownFor = 1s;
/** Behind a relay a target is back so soon, and its former entry stays on. */
inline constexpr duration kSoonBack = 300ms;
inline constexpr duration kFormerEntry = 2s;

/** How an engine sends its streams. */
struct stream_plan {
  /** `chunked`, `length` or `none`. */
  std::string framing = "chunked";
  /** Bytes behind which it truncates; none: it does not. */
  std::optional<std::size_t> cut;
  /**
   * How it truncates: `close`, `silence`, `end` (the engine ends too) or,
   * close-delimited, `reset`.
   */
  std::string ending = "close";
};

/**
 * A target; an engine if it has adapters to load. An engine's answers are
 * streams, so are a plain target's on a path that begins with `kPlainStreams`.
 */
class target {
 public:
  /** `relay`: stands before the target, at one address for all its lives. */
  target(world& w, store& s, std::string id, bool engine,
         std::unique_ptr<repeating_relay> relay)
      : world_(w),
        store_(s),
        id_(std::move(id)),
        engine_(engine),
        relay_(std::move(relay)) {
    start();
  }

  /**
   * From now on its answers say that it leaves (`leaving`) or name a limit of
   * requests a second (`limit`; 0: none), or it turns all requests away and
   * asks for so many seconds of rest (`rest`; 0: no longer). Its streams have
   * a `framing`, and are truncated behind `cut` bytes with an `ending`; events
   * are `event_ms` apart. It is of a `software` version, which its entry and
   * its events name; empty: none. While it is `gone` it has left for good;
   * what comes back has another id. With `restart` it ends and is back at the
   * same address.
   */
  void take_word(const json& word) {
    if (word.value("restart", false)) {
      restart();
      return;
    }
    set_gone(word.value("gone", false));
    says_leaving_ = word.value("leaving", false);
    rest_s_ = word.value("rest", 0);
    limit_ = word.value("limit", 0.0);
    streams_ = {};
    streams_.framing = word.value("framing", streams_.framing);
    streams_.ending = word.value("ending", streams_.ending);
    if (word.contains("cut")) streams_.cut = word["cut"].get<std::size_t>();
    if (word.contains("event_ms")) {
      event_time_ = std::chrono::milliseconds(word["event_ms"].get<int>());
    }
    const auto software = word.value("software", software_);
    if (std::exchange(software_, software) != software) publish();
  }

  void publish() {
    if (is_gone_) return;
    store_.put("servers/" + id_, {{"svc", engine_ ? "llm" : "desk"},
                                  {"addr", address_},
                                  {"zone", "z1"},
                                  {"cfg_ver", software_},
                                  {"slots", 8},
                                  {"state", "ready"},
                                  {"seq", ++beats_},
                                  {"models", models()}});
  }

 private:
  std::vector<http_header> own_headers() const {
    std::vector<http_header> headers;
    if (says_leaving_) headers.push_back({"Server-Leaving", "1"});
    if (limit_ > 0) {
      headers.push_back({"Server-Limit", fmt::format("{}", limit_)});
    }
    return headers;
  }

  json models() const {
    if (!engine_) return json::array();
    json names = json::array();
    for (const auto& name : adapters_) names.push_back(name + "@1");
    return json::array(
        {{{"name", kModel}, {"cfg_ver", 1}, {"adapters", names}}});
  }

  void start() {
    server_ = std::make_unique<gateway_server>(
        world_.base(),
        on_request([this](auto c, const auto& m) { serve(c, m); }));
    const auto where = server_->listen({"127.0.0.1", port_}).value();
    if (relay_) relay_->connect_to(where);
    address_ = relay_ ? relay_->address() : where.str();
    std::cout << "target " << id_ << " " << address_ << std::endl;
    publish();
  }

  void set_gone(bool is_gone) {
    if (std::exchange(is_gone_, is_gone) == is_gone) return;
    if (is_gone) {
      stop();
      store_.erase("servers/" + id_);
    } else {
      id_ += "+";
      start();
    }
  }

  /** All its connections break, new ones are refused; it forgets all. */
  void stop() {
    std::cout << "end " << id_ << std::endl;
    server_.reset();
    ++life_;
    adapters_.clear();
    pending_.clear();
    kept_.clear();
    sequence_ = 0;
    fence_ = 0;
  }

  /** It stops and comes back anew. */
  void end() {
    stop();
    if (!relay_) {
      while_alive(kDownFor, [this] {
        store_.erase("servers/" + id_);
        id_ += "+";
        start();
      });
      return;
    }
    world_.after(kFormerEntry,
                 [this, former = id_] { store_.erase("servers/" + former); });
    while_alive(kSoonBack, [this] {
      id_ += "+";
      start();
    });
  }

  /** It stops and comes back anew, with its former port. */
  void restart() {
    if (!relay_) port_ = parse_endpoint(address_).value().port;
    stop();
    while_alive(kSoonBack, [this] {
      store_.erase("servers/" + id_);
      id_ += "+";
      start();
    });
  }

  /** Runs a task later, unless the target has ended by then. */
  void while_alive(duration wait, std::function<void()> task) {
    world_.after(wait, [this, life = life_, task = std::move(task)] {
      if (life == life_) task();
    });
  }

  void serve(caller_id caller, const caller_message& m) {
    if (!header_of(m, "X-Injected").empty()) {
      std::cout << "BROKEN " << id_ << " a header that nobody sent"
                << std::endl;
    }
    if (header_of(m, "X-Expect-Replica") != id_) {
      refuse_misdirected(caller, m);
      return;
    }
    if (m.target == "/report") {
      json pending = json::array();
      for (const auto& name : pending_) {
        pending.push_back(fmt::format("{}/{}@1", kModel, name));
      }
      reply(*server_, caller, 200,
            json{{"models", models()},
                 {"busy", false},
                 {"seq", sequence_},
                 {"pending", pending}}
                .dump(),
            own_headers());
      return;
    }
    if (m.target == "/kv-list") {
      std::cout << "listed " << id_ << std::endl;
      reply(*server_, caller, 200, kept_.list(id_).dump(), own_headers());
      return;
    }
    if (m.target == "/order") {
      reply(*server_, caller, take_order(json::parse(*m.body)), "",
            own_headers());
      return;
    }
    run(caller, m);
  }

  void answer_after(duration run, caller_id caller, std::string body,
                    std::vector<http_header> headers) {
    if (run == duration{}) {
      reply(*server_, caller, 200, body, std::move(headers));
      return;
    }
    while_alive(run, [this, caller, body = std::move(body),
                      headers = std::move(headers)] {
      reply(*server_, caller, 200, body, headers);
    });
  }

  static duration run_time(std::string_view path) {
    const auto at = path.find(kRunTime);
    if (at == std::string_view::npos) return {};
    const std::string digits(path.substr(at + kRunTime.size()));
    return std::chrono::milliseconds(std::stoll(digits));
  }

  void refuse_misdirected(caller_id caller, const caller_message& m) {
    std::vector<http_header> headers{{"X-Not-Executed", "1"}};
    const auto request = header_of(m, "X-Request-Id");
    if (!request.empty()) headers.push_back({"X-Request-Id", request});
    const bool asks = m.target == "/report" || m.target == "/kv-list";
    if (asks && header_of(m, "X-Expect-Replica").empty()) {
      std::cout << "BROKEN " << id_ << " a report of any target" << std::endl;
    }
    reply(*server_, caller, 421, "", std::move(headers));
  }

  int take_order(const json& order) {
    const auto fence = order.value("fence", std::uint64_t{0});
    if (fence < fence_) return 412;
    fence_ = fence;
    const auto name = order.value("adapter", "");
    if (order.value("op", "") == "unload") {
      adapters_.erase(name);
      kept_.forget(fmt::format("{}/{}", kModel, name));
      ++sequence_;
      publish();
      return 200;
    }
    if (name.empty() || adapters_.contains(name)) return 200;
    // An order for a load that is under way changes nothing.
    if (pending_.contains(name)) return 202;
    if (adapters_.size() + pending_.size() >= kAdapterSlots) {
      std::cout << "BROKEN " << id_ << " beyond its places" << std::endl;
    }
    pending_.insert(name);
    while_alive(kLoadTime, [this, name] {
      pending_.erase(name);
      adapters_.insert(name);
      ++sequence_;
      publish();
    });
    return 202;
  }

  void run(caller_id caller, const caller_message& m) {
    const auto request = header_of(m, "X-Request-Id");
    if (rest_s_ > 0) {
      std::cout << "turned_away " << request << " " << id_ << std::endl;
      reply(*server_, caller, 503, "",
            {{"X-Request-Id", request},
             {"X-Not-Executed", "1"},
             {"Retry-After", std::to_string(rest_s_)}});
      return;
    }
    const auto model = header_of(m, "X-Model");
    const auto name = model.substr(model.find('/') + 1);
    if (engine_ && !adapters_.contains(name)) {
      reply(*server_, caller, 421, "",
            {{"X-Request-Id", request}, {"X-Not-Executed", "1"}});
      return;
    }
    std::cout << "run " << request << " " << id_ << " " << m.method << " "
              << m.target << " " << m.body->size() << std::endl;
    if (m.body->starts_with(kDeadly)) {
      while_alive(kEndsAfter, [this] { end(); });
      return;
    }
    auto headers = own_headers();
    headers.push_back({"X-Request-Id", request});
    headers.push_back({"X-Server-Stamp", id_});
    if (!engine_ && !m.target.starts_with(kPlainStreams)) {
      answer_after(run_time(m.target), caller, "answer to " + request,
                   std::move(headers));
      return;
    }
    if (engine_) kept_.add(model, header_of(m, "X-Prefix-Hash"));
    const auto last = header_of(m, "Last-Event-Id");
    send_stream(caller, request, std::move(headers),
                last.empty() ? 0 : std::stoul(last));
  }

  /** `skipped`: events that the caller has. */
  void send_stream(caller_id caller, const std::string& request,
                   std::vector<http_header> headers, std::size_t skipped) {
    auto text = stream_text(request, skipped);
    reply_head head{200, "", std::move(headers), std::nullopt};
    head.close_delimited = streams_.framing == "none";
    if (streams_.framing == "length") head.length = text.size();
    server_->begin(caller, head);
    const auto step = text.size() / kEvents;
    if (streams_.cut) text.resize(std::min(*streams_.cut, text.size()));
    for (std::size_t i = 1; i <= kEvents; ++i) {
      const auto from = std::min(step * (i - 1), text.size());
      const auto size = i == kEvents ? std::string::npos : step;
      while_alive(event_time_ * i, [this, caller, i, how = streams_,
                                    piece = text.substr(from, size)] {
        server_->write(caller, std::make_shared<const std::string>(piece));
        if (i == kEvents) end_stream(caller, how);
      });
    }
  }

  std::string stream_text(const std::string& request,
                          std::size_t skipped) const {
    std::string text;
    for (std::size_t i = skipped + 1; i <= kEvents; ++i) {
      text += fmt::format("id: {}\ndata: {}\n", i, request);
      if (!software_.empty()) text += "data: software " + software_ + "\n";
      text += '\n';
    }
    return text;
  }

  void end_stream(caller_id caller, const stream_plan& how) {
    const bool ends = how.ending == "end";
    const bool closes_in_order =
        how.framing == "none" && (how.ending == "close" || ends);
    if (!how.cut || closes_in_order) {
      server_->finish(caller);
      if (how.cut && ends) while_alive(kAllSent, [this] { end(); });
    } else if (how.ending != "silence") {
      server_->abort(caller);
    }
  }

  world& world_;
  store& store_;
  std::string id_;
  bool engine_;
  std::unique_ptr<repeating_relay> relay_;
  std::unique_ptr<gateway_server> server_;
  std::uint64_t life_ = 0;
  bool is_gone_ = false;
  std::string address_;
  /** 0: any that is free. */
  std::uint16_t port_ = 0;
  std::set<std::string> adapters_;
  std::set<std::string> pending_;
  kept_prompts kept_;
  std::uint64_t sequence_ = 0;
  std::uint64_t beats_ = 0;
  std::uint64_t fence_ = 0;
  bool says_leaving_ = false;
  int rest_s_ = 0;
  double limit_ = 0;
  stream_plan streams_;
  duration event_time_ = kEventTime;
  std::string software_;
};

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_PLATFORM_TARGET_H_
