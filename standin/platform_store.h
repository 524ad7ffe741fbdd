// seamglade - the store of the platform's stand-in: range, watch, restore
//
// Pages hold what the platform's do. Tests may have them smaller, refused,
// empty or without end.
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
#include "store_query.h"

namespace seamglade::standin {

using nlohmann::json;

/** Targets write again so long after the store is restored. */
inline constexpr duration kRewritten = 500ms;

/** An answer has left by then. */
inline constexpr duration kAnswered = 5ms;

/** Most that a page of a range holds, one item at least. */
struct page_bounds {
  std::size_t items = 500;
  std::size_t bytes = 1UL << 20U;
};

/** Calls of the store so far. */
struct call_counts {
  std::uint64_t range = 0;
  std::uint64_t watch = 0;
  /** Answered with 400. */
  std::uint64_t unreadable = 0;
};

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
    put_bytes(key, value.dump());
  }

  void put_bytes(const std::string& key, std::string value) {
    items_[key] = {++revision_, std::move(value)};
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
      take_command(caller, m);
      return;
    }
    if (m.target == "/calls") {
      reply(*server_, caller, 200, count_text());
      return;
    }
    const auto query = read_query(m.target);
    if (!query) {
      ++counts_.unreadable;
      answer(caller, 400, "");
      return;
    }
    if (query->path == "/kv-range") {
      ++counts_.range;
      serve_range(caller, *query);
      return;
    }
    ++counts_.watch;
    serve_watch(caller, *query);
  }

  /** The operator of the tests; keys and values are any bytes. */
  void take_command(caller_id caller, const caller_message& m) {
    const auto query = read_query(m.target);
    if (!query) {
      reply(*server_, caller, 400, "");
      return;
    }
    constexpr std::string_view kPut = "/put/";
    constexpr std::string_view kErase = "/erase/";
    if (query->path == "/pages") {
      pages_.items = query->number("items");
      if (query->number("bytes") > 0) pages_.bytes = query->number("bytes");
      refused_page_ = query->number("refuse_each");
      empty_page_ = query->number("empty_each");
      is_stuck_ = query->number("stuck") > 0;
    } else if (query->path.starts_with(kErase)) {
      erase(query->path.substr(kErase.size()));
    } else if (query->number("copies") > 0) {
      // Many items at once, their keys numbered: one watch bears them all.
      const auto key = query->path.substr(kPut.size());
      for (std::uint64_t i = 1; i < query->number("copies"); ++i) {
        items_[key + std::to_string(i)] = {++revision_, *m.body};
      }
      put_bytes(key, *m.body);
    } else {
      put_bytes(query->path.substr(kPut.size()), *m.body);
    }
    reply(*server_, caller, 200, "");
  }

  std::string count_text() const {
    return fmt::format("range {} watch {} unreadable {}\n", counts_.range,
                       counts_.watch, counts_.unreadable);
  }

  void serve_range(caller_id caller, const store_query& query) {
    const auto is_due = [this](std::uint64_t each) {
      return each > 0 && counts_.range % each == 0;
    };
    if (is_due(refused_page_)) {
      answer(caller, 503, "");
      return;
    }
    const bool is_empty = is_due(empty_page_);
    const auto prefix = query.text("prefix");
    const auto after = is_stuck_ ? std::string() : query.text("after");
    json page = json::array();
    std::size_t bytes = 0;
    bool more = is_empty || is_stuck_;
    for (auto at = items_.upper_bound(after); at != items_.end(); ++at) {
      const auto& [key, i] = *at;
      if (is_empty) break;
      if (!i.value || !key.starts_with(prefix)) continue;
      const bool is_full =
          page.size() >= pages_.items || bytes + i.value->size() > pages_.bytes;
      if (is_full && !page.empty()) {
        more = true;
        break;
      }
      bytes += i.value->size();
      page.push_back(item_json(key, i));
    }
    answer(caller, 200,
           json{{"items", page}, {"more", more}, {"at", revision_}}.dump());
  }

  void serve_watch(caller_id caller, const store_query& query) {
    const auto after = query.number("after");
    if (after > revision_) {
      answer(caller, 410, "");
      return;
    }
    if (after < revision_) {
      answer_watch(caller, after);
      return;
    }
    watches_[caller] = after;
    const duration wait = std::chrono::milliseconds(query.number("wait_ms"));
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
      out.push_back(item_json(key, i));
    }
    return out;
  }

  static json item_json(const std::string& key, const item& i) {
    if (!i.value)
      return {{"tls_key", key}, {"rev", i.revision}, {"gone", true}};
    return {{"tls_key", key},
            {"value", encode_base64(*i.value)},
            {"rev", i.revision},
            {"made", i.revision},
            {"lease", 0}};
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
  page_bounds pages_;
  /** Each so many range calls one is refused, or empty with more; 0: none. */
  std::uint64_t refused_page_ = 0;
  std::uint64_t empty_page_ = 0;
  /** Every page is the first one. */
  bool is_stuck_ = false;
  call_counts counts_;
  std::map<std::string, item> copy_;
  std::uint64_t copied_revision_ = 0;
};

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_PLATFORM_STORE_H_
