// seamglade - the users' platform: its messages to and from the product's types
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>

#include "seamglade/dialect.h"
#include "store_query.h"

namespace seamglade::gateway {
namespace {

class platform : public testing::Test {
 protected:
  std::unique_ptr<dialect> d_ = make_platform_dialect();

  static const std::string* find(const std::vector<http_header>& headers,
                                 std::string_view name) {
    for (const auto& header : headers) {
      if (header.name == name) return &header.value;
    }
    return nullptr;
  }
};

TEST_F(platform, takes_no_target_whose_id_or_address_no_head_carries) {
  const auto read = [&](const std::string& id, const std::string& address) {
    const auto body = R"({"svc":"s","addr":")" + address + R"("})";
    return bool(d_->read_item({"servers/" + id, 1, body}));
  };
  EXPECT_TRUE(read("s-1", "127.0.0.1:1"));
  EXPECT_TRUE(read("s \xC3\xA9", "127.0.0.1:1"));
  for (const std::string id :
       {"", "s-1\r\nX-Injected: 1", "s-1\n", "s-1 ", "\ts-1", "s\x7f"}) {
    EXPECT_FALSE(read(id, "127.0.0.1:1")) << id;
  }
  EXPECT_FALSE(read(std::string("s\0", 2), "127.0.0.1:1"));
  for (const std::string address :
       {"", R"(127.0.0.1:1\r\nX-Injected: 1)", R"(127.0.0.1:1\u0000)"}) {
    EXPECT_FALSE(read("s-1", address)) << address;
  }
}

TEST_F(platform, asks_behind_any_key_of_the_store) {
  std::string all;
  for (int i = 0; i < 256; ++i) all += static_cast<char>(i);
  const std::vector<std::string> keys{"a00%#",
                                      "a01%#zz",
                                      "a02&b=",
                                      "a03+",
                                      "a04\xC3\xA9",
                                      "a 05",
                                      "a\r\n06: 7",
                                      "%41",
                                      "a?b=c",
                                      "op/key",
                                      all,
                                      "é&after=x",
                                      std::string(200, '%')};
  for (const auto& key : keys) {
    for (const auto scope : {store_scope::everything, store_scope::operators}) {
      const auto path = d_->range_path(scope, key);
      const auto read = standin::read_query(path);
      ASSERT_TRUE(read) << path;
      EXPECT_EQ(read->path, "/kv-range");
      EXPECT_EQ(read->text("after"), key) << path;
      const std::string prefix = scope == store_scope::operators ? "op/" : "";
      EXPECT_EQ(read->text("prefix"), prefix);
      EXPECT_EQ(read->parameters.size(), 2U) << path;
    }
  }
}

TEST_F(platform, reads_a_request) {
  const auto facts =
      d_->read_request({{"X-Request-Id", "9c41"},
                        {"x-model", "m/a3"},
                        {"X-Token-Count", "1460,80"},
                        {"X-Prefix-Hash", "5c:800,91:410,e4:250"},
                        {"X-Deadline-Ms", "15000"}});
  ASSERT_TRUE(facts);
  EXPECT_EQ(facts.value().id, "9c41");
  EXPECT_EQ(facts.value().adapter.model, "m");
  EXPECT_EQ(facts.value().adapter.adapter, "a3");
  EXPECT_EQ(facts.value().prompt_tokens, 1460U);
  EXPECT_EQ(facts.value().answer_tokens, 80U);
  EXPECT_EQ(facts.value().prompt_prefix, "91");
  EXPECT_EQ(facts.value().prompt_parts, (std::vector<std::string>{"5c", "91"}));
  EXPECT_EQ(facts.value().last_part, (prompt_part{"e4", 250}));
  EXPECT_EQ(facts.value().parts_tokens, 1460U);
  EXPECT_EQ(facts.value().deadline, 15s);
}

// A target writes a part's id without the zeros that a caller may write.
TEST_F(platform, reads_which_parts_of_prompts_a_target_keeps) {
  const auto kept = d_->read_contents(
      R"({"epoch":"e1","next_token":9,"held":[["","5c1e",800,"m"],)"
      R"(["","0107",0,"m"]]})");
  ASSERT_TRUE(kept);
  EXPECT_EQ(kept.value(),
            (std::vector<prompt_part>{{"5c1e", 800}, {"107", 0}}));
  EXPECT_FALSE(d_->read_contents(R"({"held":[[1]]})"));
  EXPECT_FALSE(d_->read_contents("{}"));
  const auto last = [&](const std::string& text) {
    return d_->read_request({{"X-Request-Id", "1"}, {"X-Prefix-Hash", text}})
        .value()
        .last_part;
  };
  EXPECT_EQ(last("5c:800,0107:25"), (prompt_part{"107", 25}));
  EXPECT_EQ(last("107:25"), (prompt_part{"107", 25}));
  EXPECT_EQ(last(""), prompt_part());
  EXPECT_EQ(last("5c:x"), prompt_part());
  EXPECT_EQ(d_->contents_path(), "/kv-list");
}

TEST_F(platform, tells_no_part_of_a_prompt_that_is_the_requests_own) {
  const auto parts = [&](const std::string& text) {
    return d_->read_request({{"X-Request-Id", "1"}, {"X-Prefix-Hash", text}})
        .value()
        .prompt_parts.size();
  };
  EXPECT_EQ(parts(""), 0U);
  EXPECT_EQ(parts("5c:800"), 0U);
  std::string many;
  for (int i = 0; i < 40; ++i) many += std::to_string(i) + ":1,";
  EXPECT_EQ(parts(many + "own:1"), 16U);
}

TEST_F(platform, hands_a_request_on_with_all_but_the_time_that_is_left) {
  const std::vector<http_header> from_caller{{"X-Request-Id", "1"},
                                             {"Authorization", "Bearer k"},
                                             {"x-deadline-ms", "9000"},
                                             {"last-event-id", "3"},
                                             {"X-Model", "m/a"}};
  const auto first = d_->relay_headers(from_caller, 1500ms, "");
  EXPECT_EQ(first.size(), from_caller.size());
  ASSERT_TRUE(find(first, "Authorization"));
  EXPECT_EQ(*find(first, "X-Deadline-Ms"), "1500");
  EXPECT_EQ(*find(first, "last-event-id"), "3");
  EXPECT_FALSE(find(first, "x-deadline-ms"));
  const auto resumed = d_->relay_headers(from_caller, 1500ms, "7");
  EXPECT_EQ(*find(resumed, "Last-Event-Id"), "7");
  EXPECT_FALSE(find(resumed, "last-event-id"));
}

TEST_F(platform, an_epoch_of_the_store_that_is_no_whole_number_is_none) {
  const auto epoch = [](const char* text) {
    return make_platform_dialect()->read_store_epoch({{"store-era", text}});
  };
  EXPECT_EQ(epoch("7"), 7U);
  EXPECT_EQ(epoch("18446744073709551615"), 18446744073709551615U);
  for (const auto* text : {"", "x", "-1", "1.5", "99999999999999999999"}) {
    EXPECT_EQ(epoch(text), 0U) << text;
  }
  EXPECT_EQ(make_platform_dialect()->read_store_epoch({}), 0U);
}

TEST_F(platform, reads_which_stream_a_request_takes_up) {
  const std::vector<http_header> from_caller{
      {"X-Request-Id", "2"}, {"resumes", "1"}, {"Last-Event-Id", "7"}};
  const auto facts = d_->read_request(from_caller);
  ASSERT_TRUE(facts);
  EXPECT_EQ(facts.value().resumes, "1");
  EXPECT_TRUE(facts.value().takes_up());
  // A target is told, as of other headers.
  const auto told = d_->call_headers(from_caller, {});
  ASSERT_TRUE(find(told, "resumes"));
  EXPECT_EQ(*find(told, "resumes"), "1");
  EXPECT_FALSE(d_->read_request({{"X-Request-Id", "2"}}).value().takes_up());
}

TEST_F(platform, refuses_headers_that_contradict_themselves) {
  EXPECT_FALSE(d_->read_request({{"X-Deadline-Ms", "15"}}));
  EXPECT_FALSE(
      d_->read_request({{"X-Request-Id", "1"}, {"x-request-id", "2"}}));
  EXPECT_FALSE(
      d_->read_request({{"X-Request-Id", "1"}, {"X-Deadline-Ms", "-5"}}));
  EXPECT_FALSE(
      d_->read_request({{"X-Request-Id", "1"}, {"X-Token-Count", "many"}}));
  EXPECT_FALSE(d_->read_request(
      {{"X-Request-Id", "1"}, {"Resumes", "a"}, {"resumes", "b"}}));
}

TEST_F(platform, hands_a_request_on_with_what_the_gateway_sets) {
  call_facts facts;
  facts.target = "i-7f";
  facts.remaining = 1234ms;
  facts.adapter_version = 4;
  facts.priority = 2;
  const auto headers = d_->call_headers({{"X-Request-Id", "9c41"},
                                         {"X-Expect-Replica", "forged"},
                                         {"X-Deadline-Ms", "99999"},
                                         {"X-Sched-Priority", "0"},
                                         {"X-Other", "kept"}},
                                        facts);
  EXPECT_EQ(*find(headers, "X-Deadline-Ms"), "1234");
  EXPECT_EQ(*find(headers, "X-Expect-Replica"), "i-7f");
  EXPECT_EQ(*find(headers, "X-Expect-Version"), "4");
  EXPECT_EQ(*find(headers, "X-Sched-Priority"), "2");
  EXPECT_EQ(*find(headers, "X-Other"), "kept");
  EXPECT_EQ(headers.size(), 6U);
}

TEST_F(platform, reads_an_evacuation_and_the_key_that_takes_it_back) {
  const auto read = d_->read_item({"op/evacuate/gp-a", 7, "{}"});
  ASSERT_TRUE(read);
  const auto* word = std::get_if<evacuation>(&read.value());
  ASSERT_NE(word, nullptr);
  EXPECT_EQ(word->failure_domain, "gp-a");
  EXPECT_EQ(d_->evacuated_by_key("op/evacuate/gp-a"), "gp-a");
  EXPECT_FALSE(d_->evacuated_by_key("op/config"));
  EXPECT_FALSE(d_->evacuated_by_key("servers/op/evacuate/gp-a"));
}

TEST_F(platform, reads_how_long_a_target_is_cold_and_what_it_bears) {
  const auto read = d_->read_item(
      {"servers/i-1", 7,
       R"({"svc":"s","addr":"10.0.0.1:80","zone":"gp-a","slots":4,)"
       R"("state":"ready","cold_left_ms":1250,"seq":4,)"
       R"("born":1786753968312})"});
  ASSERT_TRUE(read);
  EXPECT_EQ(std::get<target_entry>(read.value()).cold_left, 1250ms);
  EXPECT_EQ(std::get<target_entry>(read.value()).started_ms, 1786753968312U);
  const auto config =
      d_->read_item({"op/config", 8,
                     R"({"cfg_ver":1,"routes":[],"svcs":[{"name":"s",)"
                     R"("cold_start_s":3.0,"cold_per_s":17.0}]})"});
  ASSERT_TRUE(config);
  const auto* service =
      std::get<configuration>(config.value()).find_service("s");
  ASSERT_NE(service, nullptr);
  EXPECT_EQ(service->cold_time, 3s);
  EXPECT_EQ(service->cold_rate, 17.0);
}

TEST_F(platform, reads_the_regions_of_routes_and_workspaces) {
  const auto read = d_->read_item(
      {"op/config", 8,
       R"({"cfg_ver":1,"routes":[{"host":"h","prefix":"/a/","type":"stream",)"
       R"("timeout_ms":1000,"svc":"s","regions_allowed":["north"]}],)"
       R"("svcs":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["k"],)"
       R"("regions_allowed":["north","south"]}]})"});
  ASSERT_TRUE(read);
  const auto& config = std::get<configuration>(read.value());
  EXPECT_EQ(config.routes.front().regions, std::vector<std::string>{"north"});
  EXPECT_EQ(config.workspaces.front().regions,
            (std::vector<std::string>{"north", "south"}));
}

/** Headers that a caller may not set, in letters of either case. */
class reserved_header : public testing::TestWithParam<const char*> {
 protected:
  std::unique_ptr<dialect> d_ = make_platform_dialect();
};

TEST_P(reserved_header, is_not_passed_on_from_a_caller) {
  for (const bool resumed : {false, true}) {
    call_facts facts;
    facts.target = "i-7f";
    if (resumed) facts.last_event = "3";
    const auto headers = d_->call_headers(
        {{"X-Request-Id", "9c41"}, {GetParam(), "10.0.0.9:80/forged"}}, facts);
    for (const auto& header : headers) {
      EXPECT_NE(header.value, "10.0.0.9:80/forged") << header.name;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(all, reserved_header,
                         testing::Values("X-Hold", "x-hold", "X-Pin-Ms",
                                         "x-pin-ms", "X-Kv-Backup",
                                         "x-kv-backup", "Kv-From", "kv-from"));

TEST_F(platform, knows_which_answers_say_that_nothing_ran) {
  EXPECT_TRUE(d_->read_answer(503, {{"X-Not-Executed", "1"}}).not_run);
  EXPECT_TRUE(d_->read_answer(421, {}).not_run);
  EXPECT_FALSE(d_->read_answer(503, {}).not_run);
  EXPECT_TRUE(d_->read_answer(200, {{"X-Server-Stamp", "s"}}).is_signed);
}

TEST_F(platform, reads_what_a_target_says_of_itself_in_an_answer) {
  EXPECT_TRUE(d_->read_word(200, {{"server-leaving", "1"}}).is_leaving);
  EXPECT_FALSE(d_->read_word(200, {{"Server-Leaving", "0"}}).is_leaving);
  EXPECT_FALSE(d_->read_word(200, {}).is_leaving);
  EXPECT_EQ(d_->read_answer(503, {{"Retry-After", "3"}}).word.rest, 3s);
  EXPECT_EQ(d_->read_word(503, {{"Retry-After", "0.25"}}).rest, 250ms);
  EXPECT_EQ(d_->read_word(503, {{"Retry-After", "1"}, {"Retry-After", "4"}}),
            (target_word{false, 4s}));
  // Another status turns no request away.
  EXPECT_EQ(d_->read_word(429, {{"Retry-After", "3"}}).rest, 0s);
  EXPECT_EQ(d_->read_word(200, {{"Retry-After", "3"}}).rest, 0s);
}

TEST_F(platform, takes_what_is_no_number_of_seconds_for_no_rest) {
  for (const auto* text : {"0", "-3", "", "3s", "soon", "nan", "inf", "0x10",
                           "1e", " 3", "Wed, 02 Dec 2026 10:00:00 GMT"}) {
    EXPECT_EQ(d_->read_word(503, {{"Retry-After", text}}).rest, 0s) << text;
  }
  for (const auto* text : {"86400", "99999999999999999999"}) {
    EXPECT_GE(d_->read_word(503, {{"Retry-After", text}}).rest, 24h) << text;
  }
}

TEST_F(platform, reads_the_limit_that_a_target_names_in_any_answer) {
  const auto limit_of = [&](int status, std::string_view text) {
    return d_->read_word(status, {{"server-limit", std::string(text)}}).limit;
  };
  EXPECT_EQ(limit_of(200, "2.3"), 2.3);
  EXPECT_EQ(limit_of(503, "1"), 1.0);
  EXPECT_EQ(limit_of(200, "1e300"), 1e300);
  EXPECT_EQ(d_->read_answer(200, {{"Server-Limit", "0.01"}}).word.limit, 0.01);
  EXPECT_EQ(d_->read_word(200, {}).limit, std::nullopt);
  for (const auto* text : {"0", "-2", "few", "", "nan", "inf", "2/s", " 2"}) {
    EXPECT_EQ(limit_of(200, text), std::nullopt) << text;
  }
  const std::vector<http_header> several{
      {"Server-Limit", "4"}, {"Server-Limit", "2"}, {"Server-Limit", "0"}};
  EXPECT_EQ(d_->read_word(200, several).limit, 2.0);
}

TEST_F(platform, reads_the_stores_answers) {
  const auto read = d_->read_store(
      R"({"events":[{"tls_key":"servers/n","value":"bm9kZS0x","rev":412,)"
      R"("made":412,"lease":77120},{"tls_key":"servers/o","rev":413,)"
      R"("gone":true}],"at":413})");
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().revision, 413U);
  EXPECT_EQ(read.value().received, 2U);
  ASSERT_EQ(read.value().items.size(), 2U);
  EXPECT_EQ(read.value().items[0].value, "node-1");
  EXPECT_EQ(read.value().items[0].revision, 412U);
  EXPECT_FALSE(read.value().items[1].value);
  EXPECT_FALSE(d_->read_store("{\"events\":3}"));
  EXPECT_FALSE(d_->read_store("no json"));
}

TEST_F(platform, keeps_no_items_of_other_writers_but_counts_them) {
  const auto read = d_->read_store(
      R"({"items":[{"value":"bm9kZS0x","tls_key":"a00%#","rev":1},)"
      R"({"tls_key":"op/config","value":"e30=","rev":2},)"
      R"({"tls_key":"op/evacuate/z","value":"e30=","rev":3},)"
      R"({"tls_key":"op/version/m.a","value":"e30=","rev":4},)"
      R"({"tls_key":"op/notes","value":"e30=","rev":5},)"
      R"({"tls_key":"servers/a","gone":true,"rev":6},)"
      R"({"tls_key":"zz","gone":true,"rev":7}],"at":9,"more":true})");
  ASSERT_TRUE(read);
  std::vector<std::string> keys;
  for (const auto& item : read.value().items) keys.push_back(item.key);
  EXPECT_EQ(keys, (std::vector<std::string>{"op/config", "op/evacuate/z",
                                            "op/version/m.a", "servers/a"}));
  EXPECT_EQ(read.value().received, 7U);
  EXPECT_EQ(read.value().last_key, "zz");
  EXPECT_EQ(read.value().revision, 9U);
  EXPECT_TRUE(read.value().more);
}

TEST_F(platform, a_large_value_of_another_writer_is_an_empty_one) {
  const auto value_of = [&](const std::string& key, std::size_t bytes) {
    const auto read = d_->read_store(
        R"({"items":[{"tls_key":")" + key + R"(","value":")" +
        std::string((bytes + 2) / 3 * 4, 'A') + R"(","rev":1}],"at":1})");
    return read ? read.value().items[0].value->size() : 1;
  };
  constexpr std::size_t kLarge = 240000;
  EXPECT_EQ(value_of("servers/a", kLarge), 0U);
  EXPECT_EQ(value_of("op/version/a", kLarge), 0U);
  EXPECT_EQ(value_of("op/evacuate/a", kLarge), 0U);
  EXPECT_EQ(value_of("op/config", kLarge), kLarge);
  EXPECT_EQ(value_of("servers/a", 60000), 60000U);
}

TEST_F(platform, decodes_values_with_every_padding) {
  const auto value = [&](const std::string& text) {
    const auto read = d_->read_store(R"({"items":[{"tls_key":"op/config",)"
                                     R"("value":")" +
                                     text + R"(","rev":1}],"at":1})");
    return read ? *read.value().items[0].value : "failed";
  };
  EXPECT_EQ(value(""), "");
  EXPECT_EQ(value("YQ=="), "a");
  EXPECT_EQ(value("YWI="), "ab");
  EXPECT_EQ(value("YWJj"), "abc");
}

TEST_F(platform, reads_a_configuration) {
  const auto read = d_->read_item(
      {"op/config", 7,
       R"({"cfg_ver":7,"routes":[{"name":"r","host":"Ficu.example",)"
       R"("prefix":"/a/","type":"stream","timeout_ms":15000,"slo_ms":1000,)"
       R"("prio":1,"svc":"s","attempts":2,"resumable":true},{"host":)"
       R"("ficu.example","prefix":"/a/b/","type":"mutating","timeout_ms":900,)"
       R"("split":[{"svc":"s","weight":90},{"svc":"p","weight":10}]}],)"
       R"("svcs":[{"name":"s","max_conns":360,"engine":{"slots":64,)"
       R"("models":[{"name":"m","weights_mb":42700.0,"load_s":0.6,)"
       R"("lora_mb":66.0}],"weights_mb":45000.0,"lora_slots":21,)"
       R"("loads_per_s":3.3}},{"name":"p"}],"limits":{"max_header_bytes":)"
       R"(16384,"max_body_bytes":100,"header_timeout_ms":3000,)"
       R"("idle_timeout_ms":15000}})"});
  ASSERT_TRUE(read);
  const auto& config = std::get<configuration>(read.value());
  EXPECT_EQ(config.version, 7U);
  const auto* way = config.find_route("ficu.example:80", "/a/b/c?d=/x/");
  ASSERT_NE(way, nullptr);
  EXPECT_EQ(way->prefix, "/a/b/");
  EXPECT_EQ(way->shares.size(), 2U);
  EXPECT_FALSE(way->repeatable);
  EXPECT_TRUE(config.find_route("ficu.example", "/a/x")->repeatable);
  EXPECT_EQ(config.find_route("ficu.example", "/b/"), nullptr);
  EXPECT_EQ(config.find_route("other.example", "/a/x"), nullptr);
  EXPECT_EQ(config.find_service("s")->engine->adapter_slots, 21U);
  EXPECT_EQ(config.limits.body_bytes, 100U);
}
// Guards against casts that wrap: a version of -1 was above any other.
TEST_F(platform, numbers_that_do_not_fit_make_an_item_unreadable) {
  const auto is_read = [&](const char* key, std::string text,
                           std::string_view number) {
    text.replace(text.find('#'), 1, number);
    return bool(d_->read_item({key, 1, text}));
  };
  const std::string routes =
      R"({"cfg_ver":1,"svcs":[],"routes":[{"host":"h","prefix":"/",)"
      R"("type":"stream","svc":"s",)";
  const std::string target = R"({"svc":"s","addr":"10.1.0.9:80",)";
  const std::vector<std::pair<const char*, std::string>> items{
      {"op/config", R"({"cfg_ver":#,"routes":[],"svcs":[]})"},
      {"op/config", routes + R"("timeout_ms":#}]})"},
      {"op/config", routes + R"("timeout_ms":1,"slo_ms":#}]})"},
      {"op/config", routes + R"("timeout_ms":1,"prio":#}]})"},
      {"op/config", routes + R"("timeout_ms":1,"attempts":#}]})"},
      {"op/config", R"({"cfg_ver":1,"routes":[],"svcs":[{"name":"s",)"
                    R"("cold_start_s":#}]})"},
      {"op/config", R"({"cfg_ver":1,"routes":[],"svcs":[],)"
                    R"("limits":{"max_header_bytes":#}})"},
      {"op/config", R"({"cfg_ver":1,"routes":[],"svcs":[],)"
                    R"("tenants":[{"name":"t","raw_tokens":#}]})"},
      {"servers/i", target + R"("slots":#})"},
      {"servers/i", target + R"("seq":#})"},
      {"servers/i", target + R"("cold_left_ms":#})"},
      {"op/version/a", R"({"model":"m","adapter":"a","cfg_ver":#})"}};
  for (const auto& [key, text] : items) {
    EXPECT_TRUE(is_read(key, text, "3")) << text;
    EXPECT_TRUE(is_read(key, text, "3.0")) << text;
    for (const auto* number : {"1e30", "1e300", "-1e300"}) {
      EXPECT_FALSE(is_read(key, text, number)) << text << " " << number;
    }
    const bool may_be_negative = text.find("_ms\":#") != std::string::npos ||
                                 text.find("_s\":#") != std::string::npos;
    EXPECT_EQ(is_read(key, text, "-1"), may_be_negative) << text;
  }
}

TEST_F(platform, reads_the_software_version_of_a_target) {
  const auto software = [&](const std::string& field) {
    return d_->read_item(
        {"servers/i", 1, R"({"svc":"s","addr":"10.1.0.9:80")" + field + "}"});
  };
  const auto told = software(R"(,"cfg_ver":"v1.2")");
  ASSERT_TRUE(told);
  EXPECT_EQ(std::get<target_entry>(told.value()).software, "v1.2");
  EXPECT_EQ(std::get<target_entry>(software("").value()).software, "");
  // An entry of another writer.
  EXPECT_FALSE(software(R"(,"cfg_ver":2)"));
}

TEST_F(platform, reads_targets_versions_and_reports) {
  const auto read =
      d_->read_item({"servers/i-7f", 9,
                     R"({"svc":"s","addr":"10.1.0.9:80","zone":"z","slots":64,)"
                     R"("state":"draining","models":[{"name":"m","cfg_ver":1,)"
                     R"("adapters":["a3@2"]}],"seq":4})"});
  ASSERT_TRUE(read);
  const auto& entry = std::get<target_entry>(read.value());
  EXPECT_EQ(entry.id, "i-7f");
  EXPECT_TRUE(entry.draining);
  EXPECT_EQ(entry.adapters[0].name.str(), "m/a3");
  EXPECT_EQ(entry.adapters[0].version, 2U);
  const auto version = d_->read_item(
      {"op/version/m.a3", 3, R"({"model":"m","adapter":"a3","cfg_ver":5})"});
  EXPECT_EQ(std::get<adapter_version>(version.value()).version, 5U);
  const auto report = d_->read_report(
      R"({"phase":"both","models":[{"name":"m","cfg_ver":1,"adapters":)"
      R"(["a1@1"]}],"busy":true,"seq":2,"queued":1,"running":12,)"
      R"("pending":["m/a2@3"]})");
  ASSERT_TRUE(report);
  EXPECT_TRUE(report.value().busy);
  EXPECT_EQ(report.value().pending[0].name.str(), "m/a2");
  EXPECT_EQ(report.value().pending[0].version, 3U);
}

// A report of another target at a reused address was taken for this one's.
TEST_F(platform, asks_one_target_for_its_report) {
  const auto headers = d_->question_headers("i-7f");
  ASSERT_EQ(headers.size(), 1U);
  EXPECT_EQ(headers[0].name, "X-Expect-Replica");
  EXPECT_EQ(headers[0].value, "i-7f");
}

TEST_F(platform, writes_orders) {
  engine_order order;
  order.what = {"m", "a3"};
  order.version = 2;
  order.holder = "node-7";
  order.fence = 41;
  EXPECT_EQ(d_->order_body(order),
            R"({"adapter":"a3","cfg_ver":2,"fence":41,"holder":"node-7",)"
            R"("model":"m","op":"load"})");
  EXPECT_EQ(d_->order_status(412), engine_order_status::fenced);
  EXPECT_EQ(d_->order_status(0), engine_order_status::unanswered);
}

/** A configuration with these workspaces and nothing else. */
store_item with_workspaces(const std::string& list) {
  return {"op/config", 9,
          R"({"cfg_ver":4,"routes":[],"svcs":[],"tenants":)" + list + "}"};
}

TEST_F(platform, reads_workspaces) {
  const auto read = d_->read_item(with_workspaces(
      R"([{"name":"red","api_keys":["k1","k2"],"prio":1,"unit":"tokens",)"
      R"("raw_tokens":200,"rate_per_s":2700,"burst":900},)"
      R"({"name":"blue","api_keys":["k3"]}])"));
  ASSERT_TRUE(read);
  const auto& config = std::get<configuration>(read.value());
  ASSERT_TRUE(config.is_keyed());
  const auto* red = config.find_workspace("k2");
  ASSERT_NE(red, nullptr);
  EXPECT_EQ(red->name, "red");
  EXPECT_EQ(red->rank, 1U);
  EXPECT_EQ(red->quota.unit, quota_unit::tokens);
  EXPECT_EQ(red->quota.tokens_if_untold, 200U);
  EXPECT_EQ(red->quota.rate, 2700);
  EXPECT_EQ(red->quota.burst, 900);
  const auto* blue = config.find_workspace("k3");
  ASSERT_NE(blue, nullptr);
  EXPECT_FALSE(blue->rank);
  EXPECT_EQ(blue->quota.rate, 0);
  EXPECT_EQ(config.find_workspace("k4"), nullptr);
}

TEST_F(platform, refuses_whole_a_configuration_with_bad_workspaces) {
  for (const char* list : {
           R"([{"api_keys":["k"]}])",
           R"([{"name":"","api_keys":["k"]}])",
           R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])",
           R"([{"name":"a","api_keys":[""]}])",
           R"([{"name":"a","rate_per_s":-1}])",
           R"([{"name":"a","burst":-1}])",
           R"([{"name":"a","raw_tokens":-1}])",
           R"([{"name":"a","unit":"bytes"}])",
       }) {
    const auto read = d_->read_item(with_workspaces(list));
    ASSERT_FALSE(read) << list;
    EXPECT_EQ(read.error().code, errc::bad_value);
    EXPECT_EQ(read.error().detail.find("\"k\""), std::string::npos);
  }
}

TEST_F(platform, reads_a_key_and_passes_none_on_where_callers_need_them) {
  const std::vector<http_header> from{{"X-Request-Id", "1"},
                                      {"authorization", "bearer  k1"},
                                      {"x-TENANT", "forged"}};
  const auto facts = d_->read_request(from);
  ASSERT_TRUE(facts);
  EXPECT_EQ(facts.value().key, "k1");
  call_facts call;
  call.is_keyed = true;
  call.workspace = "red";
  const auto keyed = d_->call_headers(from, call);
  EXPECT_EQ(*find(keyed, "X-Tenant"), "red");
  EXPECT_EQ(find(keyed, "authorization"), nullptr);
  EXPECT_EQ(find(keyed, "x-TENANT"), nullptr);
  call.is_keyed = false;
  call.workspace.clear();
  const auto open = d_->call_headers(from, call);
  EXPECT_EQ(*find(open, "authorization"), "bearer  k1");
  EXPECT_EQ(find(open, "x-TENANT"), nullptr);
}

}  // namespace
}  // namespace seamglade::gateway
