// seamglade - all that is read from others, under random and mutated bytes
//
// Short by default, and the same on every run. SEAMGLADE_FUZZ_ROUNDS and
// SEAMGLADE_FUZZ_SEED make it longer and other. What it looks for are
// exceptions, assertions and findings of the sanitizers.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <event2/buffer.h>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "connection/http_parser.h"
#include "connection/relay_headers.h"
#include "seamglade/dialect.h"
#include "seamglade/fleet.h"
#include "seamglade/gateway.h"
#include "seamglade/gateway_config.h"
#include "seamglade/gateway_peers.h"

namespace seamglade {
namespace {

using nlohmann::json;

constexpr std::size_t kRounds = 3000;
constexpr std::size_t kSeed = 20261207;

std::size_t from_environment(const char* name, std::size_t other) {
  const char* text = std::getenv(name);
  return text == nullptr ? other : std::strtoull(text, nullptr, 10);
}

/** Draws numbers, bytes and changes of text. */
class mutator {
 public:
  mutator() : draw_(from_environment("SEAMGLADE_FUZZ_SEED", kSeed)) {}

  std::size_t below(std::size_t bound) { return draw_() % bound; }

  std::string bytes(std::size_t longest) {
    std::string out(below(longest + 1), '\0');
    for (auto& c : out) c = static_cast<char>(draw_());
    return out;
  }

  template <typename Value>
  const Value& one_of(const std::vector<Value>& values) {
    return values[below(values.size())];
  }

  /** Changes, removes, doubles and inserts some bytes of a text. */
  std::string mutate(std::string text, const std::vector<std::string>& words) {
    for (auto left = below(6); left > 0; --left) {
      const auto at = below(text.size() + 1);
      const auto size = below(std::min<std::size_t>(text.size() - at, 20) + 1);
      switch (below(5)) {
        case 0:
          if (at < text.size()) text[at] = static_cast<char>(draw_());
          break;
        case 1:
          text.erase(at, size);
          break;
        case 2:
          text.insert(below(text.size() + 1), text.substr(at, size));
          break;
        case 3:
          text.insert(at, one_of(words));
          break;
        default:
          text.replace(at, size, bytes(size));
      }
    }
    return text;
  }

 private:
  std::mt19937_64 draw_;
};

/** Calls a test's body as often as is asked for, or a part of that. */
template <typename Body>
void repeat(Body body, std::size_t part = 1) {
  mutator draw;
  const auto rounds = from_environment("SEAMGLADE_FUZZ_ROUNDS", kRounds);
  for (std::size_t i = 0; i < rounds / part; ++i) body(draw);
}

const std::vector<std::string> kHttpWords = {
    "\r\n",
    "\r\n\r\n",
    "\n",
    "\r",
    " ",
    ":",
    ",",
    "0\r\n",
    "0\r\n\r\n",
    ";a=\"",
    "ffffffffffffffff",
    "HTTP/1.1 ",
    "HTTP/1.0 ",
    "Transfer-Encoding: chunked\r\n",
    "Content-Length: 18446744073709551615\r\n",
    "Content-Length: 0\r\n",
    "Connection: close\r\n",
    "Keep-Alive: timeout=4294967296\r\n",
    "Expect: 100-continue\r\n",
    std::string(300, 'a')};

const std::vector<std::string> kRequests = {
    "GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;a=b\r\nabc\r\n1\r\nx\r\n0\r\nT: u\r\n\r\n"};

const std::vector<std::string> kAnswers = {
    "HTTP/1.1 200 OK\r\nA: b\r\n\r\nto the end",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;a=b\r\nabc\r\n1\r\nx\r\n0\r\nT: u\r\n\r\n"};

/** Feeds a message in drawn pieces; returns the reader's last word. */
template <typename Reader>
detail::parse_progress feed(Reader& reader, std::string_view message,
                            std::size_t longest, mutator& draw) {
  const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> in(evbuffer_new(),
                                                               &evbuffer_free);
  auto last = detail::parse_progress::need_more;
  while (!message.empty() && last == detail::parse_progress::need_more) {
    const auto size = std::min(message.size(), 1 + draw.below(longest));
    evbuffer_add(in.get(), message.data(), size);
    message.remove_prefix(size);
    last = reader.read(in.get());
  }
  return last;
}

TEST(fuzz_readers, a_request_in_pieces_reads_as_it_does_whole) {
  repeat([](mutator& draw) {
    constexpr std::uint32_t kHead = 200;
    constexpr std::uint64_t kBody = 50;
    const auto text = draw.mutate(draw.one_of(kRequests), kHttpWords);
    detail::request_reader parts(kHead, kBody);
    detail::request_reader at_once(kHead, kBody);
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> in(
        evbuffer_new(), &evbuffer_free);
    evbuffer_add(in.get(), text.data(), text.size());
    const auto verdict = text.empty() ? detail::parse_progress::need_more
                                      : at_once.read(in.get());
    EXPECT_EQ(feed(parts, text, 12, draw), verdict) << text;
    EXPECT_EQ(parts.fault(), at_once.fault()) << text;
    if (verdict != detail::parse_progress::complete) return;
    const auto a = parts.take();
    const auto b = at_once.take();
    EXPECT_EQ(*a.body, *b.body) << text;
    EXPECT_EQ(a.headers.size(), b.headers.size()) << text;
  });
}

TEST(fuzz_readers, an_answer_in_pieces_reads_as_it_does_whole) {
  repeat([](mutator& draw) {
    const auto text = draw.mutate(draw.one_of(kAnswers), kHttpWords);
    const bool bodyless = draw.below(8) == 0;
    detail::answer_reader parts(bodyless);
    detail::answer_reader at_once(bodyless);
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> in(
        evbuffer_new(), &evbuffer_free);
    evbuffer_add(in.get(), text.data(), text.size());
    const auto verdict = text.empty() ? detail::parse_progress::need_more
                                      : at_once.read(in.get());
    EXPECT_EQ(feed(parts, text, 12, draw), verdict) << text;
    if (verdict == detail::parse_progress::failed) {
      EXPECT_EQ(parts.defect().fault, at_once.defect().fault) << text;
      return;
    }
    EXPECT_EQ(parts.take_body(), at_once.take_body()) << text;
    if (verdict == detail::parse_progress::complete) return;
    EXPECT_EQ(parts.end_of_stream(), at_once.end_of_stream()) << text;
  });
}

TEST(fuzz_readers, random_bytes_are_no_message) {
  repeat([](mutator& draw) {
    const auto text = draw.bytes(400);
    detail::request_reader request(200, 50);
    feed(request, text, 40, draw);
    detail::answer_reader answer(false);
    feed(answer, text, 40, draw);
  });
}

/** One datagram of each kind, with rows where it has any. */
std::vector<std::string> datagrams() {
  using namespace gateway;
  const std::vector<store_item> items{{"servers/a", 7, "{}"},
                                      {"op/config", 8, std::nullopt}};
  gateway::heartbeat beat;
  beat.rows = {{2, 1, 1, 1}, {3, 1, 1, 1}};
  beat.claims = {{77, 5, 9}};
  beat.loads.push_back({7, {}});
  beat.limits.push_back({7, 8, 2.5, 3ms});
  interest_message interest;
  interest.target = 7;
  adapter_interest wish;
  wish.name = {"base", "a1"};
  interest.rows = {wish};
  residency_message places;
  places.places.push_back({adapter_hash{5}, 1, true});
  news_message news;
  news.items = items;
  probe_answer known;
  known.rows = beat.rows;
  known.claims = beat.claims;
  blame_message blames;
  blames.rows.emplace_back();
  blames.rows.back().ends.push_back({7, 5ms});
  word_message words;
  words.rows.push_back({7, 8, true, 5ms});
  origin_message origins;
  origins.rows.push_back({5, {6, 7}});
  const std::vector<peer_message> all{beat,
                                      interest,
                                      places,
                                      news,
                                      loads_message{beat.loads},
                                      probe_request{2, 3},
                                      known,
                                      confirmation_request{5ms},
                                      confirmation_answer{5ms, 6ms, 7},
                                      quota_request{},
                                      quota_answer{},
                                      admission_request{},
                                      admission_answer{},
                                      admission_end{},
                                      domain_alarm{},
                                      grant_request{},
                                      grant_answer{},
                                      blames,
                                      words,
                                      origins,
                                      origin_request{},
                                      origin_answer{}};
  std::vector<std::string> out;
  for (const auto& message : all) out.push_back(encode_peer_message(message));
  return out;
}

/** Flips bits and writes extreme numbers over some bytes. */
std::string change_numbers(std::string bytes, mutator& draw) {
  for (auto left = draw.below(8); left > 0 && !bytes.empty(); --left) {
    const auto at = draw.below(bytes.size());
    const auto width = std::size_t{1} << draw.below(4);
    const char filling = draw.one_of(std::vector<char>{'\0', '\x7f', '\xff'});
    for (auto i = at; i < std::min(at + width, bytes.size()); ++i) {
      bytes[i] =
          draw.below(4) == 0 ? static_cast<char>(draw.below(256)) : filling;
    }
  }
  return bytes;
}

TEST(fuzz_readers, datagrams_are_read_or_refused) {
  const auto all = datagrams();
  repeat([&](mutator& draw) {
    const auto& bytes = draw.one_of(all);
    static_cast<void>(
        gateway::decode_peer_message(change_numbers(bytes, draw)));
    static_cast<void>(
        gateway::decode_peer_message(draw.mutate(bytes, kHttpWords)));
    static_cast<void>(gateway::decode_peer_message(draw.bytes(200)));
  });
}

TEST(fuzz_readers, store_changes_are_read_or_refused) {
  gateway::store_changes changes;
  changes.revision = 9;
  changes.items = {{"servers/a", 7, "{}"}, {"op/config", 8, std::nullopt}};
  changes.kept = changes.items;
  const auto bytes = gateway::encode_store_changes(changes);
  repeat([&](mutator& draw) {
    static_cast<void>(
        gateway::decode_store_changes(change_numbers(bytes, draw)));
    static_cast<void>(
        gateway::decode_store_changes(draw.mutate(bytes, kHttpWords)));
    static_cast<void>(gateway::decode_store_changes(draw.bytes(200)));
  });
}

// Guards against sums of times that overflow, of another build's messages.
TEST(fuzz_readers, an_instance_bears_any_datagram_that_can_be_read) {
  const auto all = datagrams();
  const auto platform = gateway::make_platform_dialect();
  gateway::gateway_options options;
  options.self = 1;
  gateway::gateway_core core(options, *platform);
  time_point now{1000s};
  repeat([&](mutator& draw) {
    const auto read =
        gateway::decode_peer_message(change_numbers(draw.one_of(all), draw));
    if (!read) return;
    now += 3ms;
    core.handle(now, gateway::event::datagram{2, read.value()});
    core.handle(now, gateway::event::tick{});
  });
}

const json kConfiguration = json::parse(R"({"cfg_ver":3,
  "routes":[{"name":"r","host":"h","prefix":"/a/","type":"stream",
    "resumable":true,"timeout_ms":5000,"slo_ms":800,"prio":1,"attempts":2,
    "public":true,"regions_allowed":["x"],
    "split":[{"svc":"llm","weight":3},{"svc":"desk","weight":1}]},
   {"host":"h","prefix":"/b/","type":"idempotent","timeout_ms":5,"svc":"d"}],
  "svcs":[{"name":"llm","health_path":"/","max_conns":3,"cold_start_s":2.5,
    "cold_per_s":3,"engine":{"slots":8,"kv_capacity":9000,"weights_mb":1000,
    "lora_slots":3,"loads_per_s":3,"models":[{"name":"base","weights_mb":500,
    "lora_mb":1,"load_s":0.5}]}},{"name":"desk"}],
  "tenants":[{"name":"t","prio":1,"regions_allowed":null,"unit":"tokens",
    "rate_per_s":5,"burst":10,"raw_tokens":7,"api_keys":["k1","k2"]}],
  "limits":{"max_header_bytes":8192,"max_body_bytes":100000,
    "header_timeout_ms":2000,"idle_timeout_ms":5000}})");
const json kTarget = json::parse(R"({"svc":"llm","addr":"127.0.0.1:1",
  "zone":"z","cfg_ver":"v1","state":"ready","slots":8,"cold_left_ms":5,
  "born":1000,"seq":4,"models":[{"name":"base","cfg_ver":1,
  "adapters":["a1@1","m/a2@2","a3"]}]})");
const json kReport = json::parse(R"({"seq":1,"busy":false,"running":2,
  "queued":3,"pending":["base/a1@1"],"models":[{"name":"base","cfg_ver":1,
  "adapters":["a1@1"]}]})");
const json kStoreAnswer = json::parse(R"({"items":[{"tls_key":"servers/a",
  "rev":3,"value":"e30="},{"tls_key":"b","rev":4,"gone":true}],"at":9,
  "more":false})");
const json kVersion =
    json::parse(R"({"model":"base","adapter":"a1","cfg_ver":3})");
const json kContents = json::parse(R"({"held":[["","5c1e",800,"m"]]})");

std::string nested(std::size_t depth, char open, char close) {
  return std::string(depth, open) + std::string(depth, close);
}

json any_value(mutator& draw) {
  static const std::vector<json> kValues = {
      nullptr,
      true,
      0,
      -1,
      1e300,
      -1e300,
      1e19,
      4.3e9,
      0.5,
      4294967296,
      "",
      "x",
      "\xff",
      "@",
      "a/b@99999999999",
      "====",
      "a=b",
      {},
      json::array(),
      json::object(),
      {{"a", 1}},
      {1, 2},
      18446744073709551615U,
      std::numeric_limits<std::int64_t>::min()};
  if (draw.below(20) == 0) return json::parse(nested(40, '[', ']'));
  return draw.one_of(kValues);
}

/** Replaces or removes some values anywhere in a document. */
void change_values(json& at, mutator& draw) {
  if (draw.below(12) == 0) {
    at = any_value(draw);
    return;
  }
  if (at.is_object() && !at.empty() && draw.below(10) == 0) {
    at.erase(std::next(at.begin(),
                       static_cast<std::ptrdiff_t>(draw.below(at.size()))));
  }
  if (!at.is_structured()) return;
  for (auto& child : at) change_values(child, draw);
}

std::string written(const json& from) {
  return from.dump(-1, ' ', false, json::error_handler_t::ignore);
}

void read_all(const gateway::dialect& platform, const std::string& text) {
  static_cast<void>(platform.read_store(text));
  static_cast<void>(platform.read_report(text));
  static_cast<void>(platform.read_contents(text));
  for (const char* key :
       {"op/config", "servers/a", "op/version/a", "op/evacuate/z", "x"}) {
    static_cast<void>(platform.read_item({key, 5, text}));
  }
}

TEST(fuzz_readers, documents_of_the_platform_are_read_or_refused) {
  const auto platform = gateway::make_platform_dialect();
  const std::vector<json> all{kConfiguration, kTarget,  kReport,
                              kStoreAnswer,   kVersion, kContents};
  const std::vector<std::string> words{"[",
                                       "]",
                                       "{",
                                       "}",
                                       "\"",
                                       ",",
                                       ":",
                                       "0",
                                       "-",
                                       "1e99",
                                       "1e999",
                                       "\\u0000",
                                       "\\ud800",
                                       "null",
                                       std::string(100, '['),
                                       "99999999999999999999"};
  repeat([&](mutator& draw) {
    auto document = draw.one_of(all);
    change_values(document, draw);
    read_all(*platform, written(document));
    read_all(*platform, draw.mutate(written(draw.one_of(all)), words));
    read_all(*platform, draw.bytes(100));
  });
}

// Guards against a stack that overflows where nested values are copied.
TEST(fuzz_readers, deep_documents_are_refused) {
  constexpr std::size_t kDepth = 400000;
  const auto platform = gateway::make_platform_dialect();
  const auto lists = nested(kDepth, '[', ']');
  read_all(*platform, lists);
  read_all(*platform, nested(kDepth, '[', '{'));
  for (const char* name : {"models", "pending", "items", "events", "held",
                           "routes", "svcs", "tenants", "limits"}) {
    for (auto document : {kConfiguration, kTarget, kReport, kStoreAnswer}) {
      document[name] = "DEEP";
      auto text = written(document);
      constexpr std::string_view kMark = "\"DEEP\"";
      text.replace(text.find(kMark), kMark.size(), lists);
      read_all(*platform, text);
    }
  }
}

TEST(fuzz_readers, headers_of_others_are_read_or_refused) {
  const auto platform = gateway::make_platform_dialect();
  const std::vector<std::string> names{"X-Request-Id",
                                       "X-Deadline-Ms",
                                       "X-Model",
                                       "X-Token-Count",
                                       "X-Prefix-Hash",
                                       "Last-Event-Id",
                                       "Resumes",
                                       "Authorization",
                                       "Retry-After",
                                       "Server-Limit",
                                       "Server-Leaving",
                                       "Store-Era",
                                       "X-Not-Executed",
                                       std::string(detail::kRelayCall),
                                       std::string(detail::kRelayRuns),
                                       std::string(detail::kRelayOrigin)};
  const std::vector<std::string> values{"",
                                        "1",
                                        "-1",
                                        "1e999",
                                        "nan",
                                        "inf",
                                        "0x10",
                                        "18446744073709551616",
                                        "5c:800,91:410",
                                        ":,:,",
                                        ",,,,",
                                        "a/b",
                                        "/",
                                        "ffff/ffff",
                                        "Bearer ",
                                        "Bearer    k",
                                        "1460,80",
                                        std::string(5000, ','),
                                        std::string(5000, '9')};
  repeat([&](mutator& draw) {
    std::vector<http_header> headers;
    for (auto left = draw.below(6); left > 0; --left) {
      headers.push_back(
          {draw.one_of(names), draw.mutate(draw.one_of(values), kHttpWords)});
    }
    static_cast<void>(platform->read_request(headers));
    static_cast<void>(platform->read_answer(503, headers));
    static_cast<void>(platform->read_store_epoch(headers));
    detail::take_relay_call(headers, 1);
  });
}

TEST(fuzz_readers, settings_are_read_or_refused) {
  const std::string text =
      "[gateway]\nid = a\nfailure_domain = z\nregions = z:r,y:r\n"
      "caller_address = 127.0.0.1:1\nready_address = 127.0.0.1:2\n"
      "peer_address = 127.0.0.1:3\nmetrics_address = 127.0.0.1:4\n"
      "store_address = 127.0.0.1:5\nseeds = 127.0.0.1:1,127.0.0.2:1\n"
      "lease = 3000ms\nretry_ratio = 0.2\nretry_window = 10s\ngrace = 8s\n";
  const std::vector<std::string> words{"=",
                                       "\n",
                                       "[",
                                       "]",
                                       ";",
                                       ",",
                                       ":",
                                       "1e999",
                                       "ms",
                                       "99999999999999",
                                       "-1s",
                                       "\"",
                                       std::string(1, '\0'),
                                       "0.0.0.0:70000",
                                       "[gateway]\n"};
  // Reading settings takes longer than the rest.
  constexpr std::size_t kPart = 10;
  const auto read = [&](mutator& draw) {
    const auto changed = draw.mutate(text, words);
    static_cast<void>(is_gateway_config(changed));
    static_cast<void>(check_gateway_config(changed));
    const auto random = draw.bytes(300);
    static_cast<void>(is_gateway_config(random));
    static_cast<void>(check_gateway_config(random));
  };
  repeat(read, kPart);
}

}  // namespace
}  // namespace seamglade
