// seamglade - the store of the platform's stand-in: range, watch, restore
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_PLATFORM_STORE_H_
#define SEAMGLADE_STANDIN_PLATFORM_STORE_H_

#include <fmt/format.h>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "platform_world.h"

namespace seamglade::standin {

using nlohmann::json;

/** Targets write again so long after the store is restored. */
inline constexpr duration kRewritten = 500ms;

/** An answer has left by then. */
inline constexpr duration kAnswered = 5ms;

inline std::string encode_base64(const std::string& text) {
  using namespace boost::archive::iterators;
  using encoder =
      base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string out(encoder(text.begin()), encoder(text.end()));
  out.append((3 - text.size() % 3) % 3, '=');
  return out;
}

/** The store: items by key with revisions; watches are held. */
class store {
 public:
  explicit store(world& w) : world_(w), server_(make_server()) {}

  endpoint listen(const endpoint& where) {
    where_ = server_->listen(where).value();
    return where_;
  }

  /** The operator publishes a version: PUT /version/NUMBER. */
  std::function<void(std::uint64_t)> on_version;
  /** Called when the store is back from a copy: what was lost is written. */
  std::function<void()> on_restored;
  /** Operators publish so many routes more: PUT /routes/NUMBER. */
  std::function<void(std::uint64_t)> on_routes;
  /** The tests tell a target what to say of itself: PUT /word/NUMBER. */
  std::function<void(std::size_t, const json&)> on_word;

  void put(const std::string& key, const json& value) {
    items_[key] = {++revision_, value.dump()};
    for (const auto& [caller, after] : std::exchange(watches_, {})) {
      answer_watch(caller, after);
    }
  }

  void erase(const std::string& key) {
    items_[key] = {++revision_, std::nullopt};
    for (const auto& [caller, after] : std::exchange(watches_, {})) {
      answer_watch(caller, after);
    }
  }

 private:
  struct item {
    std::uint64_t revision = 0;
    /** None: it was deleted. */
    std::optional<std::string> value;
  };

  void serve(caller_id caller, const caller_message& m) {
    if (m.method == "PUT") {
      constexpr std::string_view kWord = "/word/";
      if (m.target.starts_with(kWord)) {
        on_word(std::stoul(m.target.substr(kWord.size())),
                json::parse(*m.body, nullptr, false));
        reply(*server_, caller, 200, "");
        return;
      }
      constexpr std::string_view kVersion = "/version/";
      if (m.target.starts_with(kVersion)) {
        on_version(std::stoull(m.target.substr(kVersion.size())));
        reply(*server_, caller, 200, "");
        return;
      }
      constexpr std::string_view kRoutes = "/routes/";
      if (m.target.starts_with(kRoutes)) {
        on_routes(std::stoull(m.target.substr(kRoutes.size())));
        reply(*server_, caller, 200, "");
        return;
      }
      // For so many milliseconds it refuses all connections.
      constexpr std::string_view kAway = "/away/";
      if (m.target.starts_with(kAway)) {
        const std::chrono::milliseconds time(
            std::stoul(m.target.substr(kAway.size())));
        reply(*server_, caller, 200, "");
        world_.after(kAnswered, [this, time] { go_away(time); });
        return;
      }
      // From now on each answer takes so many milliseconds.
      constexpr std::string_view kSlow = "/slow/";
      if (m.target.starts_with(kSlow)) {
        answer_time_ = std::chrono::milliseconds(
            std::stoul(m.target.substr(kSlow.size())));
        reply(*server_, caller, 200, "");
        return;
      }
      if (m.target == "/copy") {
        copy_ = items_;
        copied_revision_ = revision_;
        reply(*server_, caller, 200, "");
        return;
      }
      if (m.target == "/restore") {
        restore();
        reply(*server_, caller, 200, "");
        return;
      }
      // The operator of the tests: PUT /put/KEY writes a body.
      put(m.target.substr(std::string("/put/").size()),
          json::parse(*m.body, nullptr, false));
      reply(*server_, caller, 200, "");
      return;
    }
    if (m.target.starts_with("/kv-range")) {
      json items = json::array();
      for (auto& i : list(0)) {
        if (!i.contains("gone")) items.push_back(i);
      }
      json out{{"items", items}, {"more", false}, {"at", revision_}};
      answer(caller, 200, out.dump());
      return;
    }
    const auto after = query_number(m.target, "after");
    if (after > revision_) {
      answer(caller, 410, "");
      return;
    }
    if (after < revision_) {
      answer_watch(caller, after);
      return;
    }
    watches_[caller] = after;
    const duration wait =
        std::chrono::milliseconds(query_number(m.target, "wait_ms"));
    world_.after(wait, [this, caller] {
      const auto found = watches_.find(caller);
      if (found == watches_.end()) return;
      const auto from = found->second;
      watches_.erase(found);
      answer_watch(caller, from);
    });
  }

  /** All is as in the last copy; revisions go on from there. */
  void restore() {
    items_ = copy_;
    revision_ = copied_revision_;
    ++epoch_;
    for (const auto& [caller, after] : std::exchange(watches_, {})) {
      answer(caller, 503, "");
    }
    world_.after(kRewritten, [this] { on_restored(); });
  }

  std::unique_ptr<gateway_server> make_server() {
    // No caller is named as one of a former server is.
    first_caller_ += caller_id{1} << 32U;
    return std::make_unique<gateway_server>(
        world_.base(),
        on_request([this](auto c, const auto& m) { serve(c, m); }),
        first_caller_);
  }

  void go_away(duration time) {
    watches_.clear();
    server_.reset();
    world_.after(time, [this] {
      server_ = make_server();
      listen(where_);
    });
  }

  void answer(caller_id caller, int status, const std::string& body) {
    const auto send = [this, caller, status, body, epoch = epoch_] {
      if (!server_) return;
      reply(*server_, caller, status, body,
            {{"Store-Era", std::to_string(epoch)}});
    };
    if (answer_time_ > duration{}) {
      world_.after(answer_time_, send);
    } else {
      send();
    }
  }

  json list(std::uint64_t after) const {
    json out = json::array();
    for (const auto& [key, i] : items_) {
      if (i.revision <= after) continue;
      if (!i.value) {
        out.push_back({{"tls_key", key}, {"rev", i.revision}, {"gone", true}});
        continue;
      }
      out.push_back({{"tls_key", key},
                     {"value", encode_base64(*i.value)},
                     {"rev", i.revision},
                     {"made", i.revision},
                     {"lease", 0}});
    }
    return out;
  }

  void answer_watch(caller_id caller, std::uint64_t after) {
    answer(caller, 200,
           json{{"events", list(after)}, {"at", revision_}}.dump());
  }

  world& world_;
  caller_id first_caller_ = 0;
  std::unique_ptr<gateway_server> server_;
  endpoint where_;
  duration answer_time_{};
  std::map<std::string, item> items_;
  std::map<caller_id, std::uint64_t> watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t epoch_ = 1;
  std::map<std::string, item> copy_;
  std::uint64_t copied_revision_ = 0;
};

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_PLATFORM_STORE_H_
