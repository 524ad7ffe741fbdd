// seamglade - parts of the direct path, each alone
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

#include "process/event_log.h"
#include "process/gateway_metrics.h"
#include "process/gateway_shell.h"
#include "process/retry_budget.h"
#include "process/roster.h"
#include "process/target_table.h"
#include "request/event_stream.h"
#include "seamglade/gateway_config.h"

namespace seamglade::gateway {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

roster make_roster(member_address self,
                   std::vector<member_address> seeds = {}) {
  roster_options options;
  options.self = self;
  options.incarnation = 1;
  options.seeds = std::move(seeds);
  return roster(std::move(options));
}

TEST(roster, a_member_lives_while_its_beat_rises) {
  auto r = make_roster(1);
  r.beat(kStart);
  r.merge(kStart, 2, {{2, 0, 1, 1, false}});
  EXPECT_TRUE(r.is_alive(kStart, 2));
  const auto later = kStart + r.patience() + 1ms;
  r.merge(later, 3, {{3, 0, 1, 1, false}, {2, 0, 1, 1, false}});
  EXPECT_FALSE(r.is_alive(later, 2));
  r.merge(later, 3, {{2, 0, 1, 2, false}});
  EXPECT_TRUE(r.is_alive(later, 2));
}

TEST(roster, hearsay_of_an_unknown_member_is_no_sign_of_life) {
  auto r = make_roster(1);
  r.merge(kStart, 2, {{2, 0, 1, 1, false}, {3, 0, 1, 7, false}});
  EXPECT_FALSE(r.is_alive(kStart, 3));
  r.merge(kStart + 300ms, 2, {{3, 0, 1, 8, false}});
  EXPECT_TRUE(r.is_alive(kStart + 300ms, 3));
}

TEST(roster, outdoes_what_is_told_of_its_former_life) {
  auto r = make_roster(1);
  r.merge(kStart, 2, {{2, 0, 1, 1, false}, {1, 0, 50, 9, false}});
  EXPECT_GT(r.sample().front().incarnation, 50U);
}

TEST(roster, one_that_hears_too_few_is_isolated) {
  auto r = make_roster(1);
  r.beat(kStart);
  for (member_address m = 2; m <= 5; ++m) {
    r.merge(kStart, m, {{m, 0, 1, 1, false}});
  }
  EXPECT_FALSE(r.is_isolated(kStart));
  const auto later = kStart + r.patience() + 1ms;
  EXPECT_TRUE(r.is_isolated(later));
  r.merge(later, 2, {{2, 0, 1, 2, false}});
  r.merge(later, 3, {{3, 0, 1, 2, false}});
  EXPECT_FALSE(r.is_isolated(later));
}

TEST(roster, new_members_known_by_hearsay_make_nobody_isolated) {
  auto r = make_roster(1);
  r.beat(kStart);
  r.merge(kStart, 2, {{2, 0, 1, 1, false}});
  std::vector<member_row> rows{{2, 0, 1, 2, false}};
  for (member_address m = 10; m < 20; ++m) rows.push_back({m, 0, 1, 1, false});
  r.merge(kStart + 100ms, 2, rows);
  EXPECT_FALSE(r.is_isolated(kStart + 100ms));
}

TEST(roster, tells_when_it_last_met_a_member) {
  auto r = make_roster(1);
  EXPECT_FALSE(r.last_met());
  r.merge(kStart, 2, {{2, 0, 1, 1, false}});
  r.merge(kStart + 1s, 2, {{2, 0, 1, 2, false}});
  EXPECT_EQ(r.last_met(), kStart);
}

TEST(roster, one_alone_with_silent_seeds_waits_before_it_trusts_itself) {
  auto r = make_roster(1, {2, 3});
  r.beat(kStart);
  EXPECT_TRUE(r.is_isolated(kStart + 5s));
  EXPECT_FALSE(r.is_isolated(kStart + 20s));
  auto single = make_roster(1, {1});
  single.beat(kStart);
  EXPECT_FALSE(single.is_isolated(kStart + 1s));
}

TEST(target_table, ejects_after_failures_in_a_row_and_lets_back_in) {
  target_table table;
  for (const auto* id : {"a", "b", "c"}) {
    target_entry entry;
    entry.id = id;
    entry.service = "s";
    table.list(kStart, entry);
  }
  auto* bad = table.find("a");
  table.failed(kStart, *bad, false);
  table.failed(kStart, *bad, false);
  EXPECT_EQ(table.usable(kStart, "s").size(), 3U);
  table.failed(kStart, *bad, false);
  EXPECT_EQ(table.usable(kStart, "s").size(), 2U);
  EXPECT_EQ(table.usable(kStart + 10s, "s").size(), 3U);
}

TEST(target_table, failures_are_weighed_among_those_that_pass) {
  target_table table;
  for (const auto* id : {"a", "b", "c"}) {
    target_entry entry;
    entry.id = id;
    entry.service = "s";
    table.list(kStart, entry);
  }
  table.failed(kStart, *table.find("a"), true);
  const auto only_a = [](const target_state& t) { return t.entry.id == "a"; };
  const auto passed = table.usable(kStart, "s", only_a);
  ASSERT_EQ(passed.size(), 1U);
  EXPECT_EQ(passed.front()->entry.id, "a");
}

TEST(target_table, with_most_targets_out_all_are_used) {
  target_table table;
  for (const auto* id : {"a", "b", "c"}) {
    target_entry entry;
    entry.id = id;
    entry.service = "s";
    table.list(kStart, entry);
  }
  table.failed(kStart, *table.find("a"), true);
  table.failed(kStart, *table.find("b"), true);
  EXPECT_EQ(table.usable(kStart, "s").size(), 3U);
}

TEST(retry_budget, grants_a_share_of_requests_and_some_more) {
  retry_budget budget;
  budget.configure(0.1, 10, 10s);
  int granted = 0;
  auto now = kStart;
  for (int i = 0; i < 1000; ++i) {
    budget.request(now);
    if (budget.take(now)) ++granted;
    now += 10ms;
  }
  EXPECT_LE(granted, 1000 / 10 + 10);
  EXPECT_GE(granted, 1000 / 10);
}

TEST(event_stream, hands_out_whole_events_only) {
  event_stream events;
  events.add("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ(events.take_events(), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.take_events(), "");
  events.add("ta: b\n\n");
  EXPECT_EQ(events.take_events(), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
}

TEST(peer_messages, survive_the_wire) {
  heartbeat beat;
  beat.rows = {{1, 2, 3, 4, true},
               {5, 6, 7, 8, false, member_standing::suspect, true}};
  beat.members = 195;
  beat.store_revision = 9;
  beat.epoch = 3;
  beat.store_age = 10ms;
  beat.watching = true;
  beat.claims = {{11, 12, 13}};
  beat.claims_digest = 17;
  beat.loads = {{14, {15, 1200, 400}}};
  beat.quarantined = {{{5, 6}, {{7, 20ms}, {8, 1s}}, 9s}};
  beat.limits = {{7, 1785740686026, 2.3, 40ms}};
  const adapter_name a{"m", "a"};
  const adapter_name b{"m", "b"};
  const adapter_name c{"n", "c"};
  interest_message interest{7,
                            {{hash_of(a), a, 2, 1, 3, 0, 40ms, -5ms},
                             {hash_of(c), c, 0, 2, 0, 2, 0ms, 900ms},
                             // Of what only runs the name is not told.
                             {hash_of(b), {}, 0, 0, 1}},
                            {1, 800, 0},
                            true,
                            {8, 6}};
  residency_message residency{7,
                              8,
                              9,
                              6,
                              {3, 1200, 400},
                              310ms,
                              {{hash_of(a), 2, true}},
                              {hash_of(b)},
                              {3, 0}};
  for (const peer_message& message :
       {peer_message(beat),
        peer_message(interest),
        peer_message(residency),
        peer_message(loads_message{{{14, {2, 900, 30}}}}),
        peer_message(probe_request{4, 5}),
        peer_message(probe_answer{4, beat.rows, beat.claims}),
        peer_message(confirmation_request{9s}),
        peer_message(confirmation_answer{9s, 40ms, 12}),
        peer_message(quota_request{3, 5, 1540}),
        peer_message(quota_answer{3, 5, quota_verdict::empty, 80ms}),
        peer_message(admission_request{4, 6, 250ms, 2, 1s}),
        peer_message(admission_answer{4, 6, true, 70ms, 0ms}),
        peer_message(admission_end{4, 6, admission_outcome::rejected, 3ms}),
        peer_message(domain_alarm{77}),
        peer_message(
            word_message{{{5, 1785740686026, true, 0ms},
                          {6, 0, false, 2999ms},
                          {7, 9, false, 0ms}},
                         {{5, 1785740686026, 0.01, 3s}, {6, 0, 0, 20ms}}}),
        peer_message(grant_request{4, 6, true}),
        peer_message(grant_request{4, 6, false, {6, 9, 0.2, 40ms}}),
        peer_message(grant_answer{4, 6, false, 400ms}),
        peer_message(origin_message{{{5, {6, 7}}, {8, {6, 0}}}}),
        peer_message(origin_request{4, 5, 6}),
        peer_message(origin_answer{4, stream_origin{6, 7}, false}),
        peer_message(origin_answer{4, std::nullopt, true, 9}),
        peer_message(
            blame_message{{{{5, 6}, {{7, 20ms}, {8, 1s}}, std::nullopt},
                           {{1, 2}, {}, 3s},
                           {{1, 4, 2}, {{9, 5ms}}, std::nullopt}}})}) {
    const auto decoded = decode_peer_message(encode_peer_message(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), message);
  }
  EXPECT_FALSE(decode_peer_message("no frame"));
  EXPECT_FALSE(decode_store_changes("no frame"));
}

constexpr const char* kSettings =
    "[gateway]\nid = n1\nfailure_domain = z\ncaller_address = 10.0.0.1:1\n"
    "ready_address = 10.0.0.1:2\npeer_address = 10.0.0.1:3\n"
    "metrics_address = 10.0.0.1:4\nstore_address = 10.0.0.9:5\n";

TEST(gateway_config, reads_what_the_platform_fills_in) {
  const auto checked = check_gateway_config(
      std::string(kSettings) + "seeds = 10.0.0.1:3,10.0.0.2:3\n" +
      "lease = 3000ms\nfenced = no\nretry_ratio = 0.25\nretry_extra = 54\n" +
      "retry_window = 10s\ngrace = 8s\n");
  EXPECT_TRUE(checked.failures.empty());
  EXPECT_EQ(checked.config.seeds.size(), 2U);
  EXPECT_FALSE(checked.config.fenced);
  EXPECT_EQ(checked.config.retry_ratio, 0.25);
  EXPECT_TRUE(is_gateway_config(kSettings));
  EXPECT_FALSE(is_gateway_config("[instance]\nid = n\n"));
}

TEST(gateway_config, reads_bounds_of_keys_and_limits) {
  const auto checked = check_gateway_config(
      std::string(kSettings) + "key_bound = 5000ms\nquota_window = 8s\n" +
      "quota_excess = 0.25\nquota_slack = 11000\nadmission = no\n");
  EXPECT_TRUE(checked.failures.empty());
  EXPECT_EQ(checked.config.key_bound, 5s);
  EXPECT_EQ(checked.config.quota_slack, 11000);
  EXPECT_FALSE(checked.config.admission);
  const auto unbounded =
      check_gateway_config(std::string(kSettings) + "key_bound = none\n");
  EXPECT_TRUE(unbounded.failures.empty());
  EXPECT_EQ(unbounded.config.key_bound, 0s);
  for (const char* bad : {"key_bound = soon\n", "quota_excess = -1\n",
                          "quota_slack = many\n", "quota_window = 0s\n"}) {
    EXPECT_EQ(
        check_gateway_config(std::string(kSettings) + bad).failures.size(), 1U)
        << bad;
  }
}

TEST(gateway_config, names_the_key_and_line_of_each_fault) {
  const auto checked = check_gateway_config(
      std::string(kSettings) + "seeds = nowhere\nlease = soon\nother = 1\n");
  ASSERT_EQ(checked.failures.size(), 3U);
  EXPECT_EQ(checked.failures[0].line, 9);
  EXPECT_EQ(checked.failures[2].code, errc::unknown_key);
  EXPECT_EQ(check_gateway_config("[gateway]\n").failures.size(), 7U);
}

/** A pipe whose reader may stall. */
struct full_pipe {
  full_pipe() { EXPECT_EQ(pipe(ends), 0); }
  ~full_pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string read_all() {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string out;
    char buffer[4096];
    for (ssize_t got = 0; (got = read(ends[0], buffer, sizeof(buffer))) > 0;) {
      out.append(buffer, static_cast<std::size_t>(got));
    }
    return out;
  }
  int ends[2] = {-1, -1};
};

TEST(event_log, writes_json_and_bounds_each_kind) {
  const detail::base_handle base(event_base_new());
  full_pipe pipe;
  detail::event_log log(base.get(), pipe.ends[1], "n\"1");
  for (int i = 0; i < 150; ++i) {
    log.write(kStart, {"dispatch", {{"request", "a\nb"}, {"n", i}}, false});
  }
  EXPECT_EQ(log.dropped(), 50U);
  log.write(kStart + 1s, {"dispatch", {}, false});
  const auto text = pipe.read_all();
  EXPECT_NE(text.find("\"instance\":\"n\\\"1\""), std::string::npos);
  EXPECT_NE(text.find("\"request\":\"a\\u000ab\",\"n\":7}"), std::string::npos);
  EXPECT_NE(text.find("\"event\":\"lines_left_out\",\"kind\":\"dispatch\","
                      "\"lines\":50"),
            std::string::npos);
}

TEST(event_log, a_stalled_reader_stops_nothing_and_memory_stays_bounded) {
  const detail::base_handle base(event_base_new());
  full_pipe pipe;
  detail::event_log log(base.get(), pipe.ends[1], "n1");
  auto now = kStart;
  for (int i = 0; i < 20000; ++i) {
    log.write(now, {"failed", {{"text", std::string(60, 'x')}}, true});
    now += 10ms;
  }
  EXPECT_GT(log.dropped(), 15000U);
}

// Guards against a log that is silent for good once its file was full.
TEST(event_log, goes_on_after_a_file_was_at_its_limit) {
  signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  auto little = before;
  little.rlim_cur = 1000;
  std::FILE* file = std::tmpfile();
  ASSERT_NE(file, nullptr);
  const int fd = fileno(file);
  const detail::base_handle base(event_base_new());
  detail::event_log log(base.get(), fd, "n1");
  setrlimit(RLIMIT_FSIZE, &little);
  for (int i = 0; i < 50; ++i) log.write(kStart, {"failed", {{"n", i}}, true});
  setrlimit(RLIMIT_FSIZE, &before);
  EXPECT_GT(log.dropped(), 20U);
  log.write(kStart, {"back", {}, true});
  std::string text(8192, ' ');
  text.resize(static_cast<std::size_t>(pread(fd, text.data(), 8192, 0)));
  std::fclose(file);
  EXPECT_NE(text.find("\n{\"ms\""), std::string::npos);
  EXPECT_NE(text.find("\"event\":\"lines_lost\",\"lines\":"),
            std::string::npos);
  EXPECT_TRUE(text.ends_with("\"event\":\"back\"}\n"));
  // The line that was cut has an end of its own.
  EXPECT_NE(text.substr(0, 1200).find("\n{", 990), std::string::npos);
}

TEST(gateway_shell, a_closed_connection_does_not_end_the_process) {
  signal(SIGPIPE, SIG_DFL);
  gateway_config config;
  config.id = "n1";
  for (auto* address :
       {&config.caller_address, &config.ready_address, &config.peer_address,
        &config.metrics_address, &config.store_address}) {
    *address = "127.0.0.1:0";
  }
  detail::gateway_shell shell(config, detail::settings_file("/nonexistent"),
                              "");
  ASSERT_TRUE(shell.start());
  struct sigaction now {};
  sigaction(SIGPIPE, nullptr, &now);
  EXPECT_EQ(now.sa_handler, SIG_IGN);
}

TEST(gateway_metrics, are_prometheus_text_and_json) {
  gateway_status status;
  status.requests = 5;
  status.ready = true;
  detail::datagram_bytes datagrams;
  datagrams.add(proximity::other_region, 100);
  datagrams.add(proximity::other_region, 44);
  const auto page = detail::metrics_page(status, {}, 0, datagrams);
  EXPECT_NE(page.find("seamglade_requests_total 5"), std::string::npos);
  EXPECT_NE(page.find("# TYPE seamglade_ready gauge"), std::string::npos);
  const std::string far = R"(seamglade_datagram_bytes_total{distance="other"})";
  EXPECT_NE(page.find(far + " 200"), std::string::npos);
  EXPECT_NE(detail::status_page(status).find("\"ready\":true"),
            std::string::npos);
}

}  // namespace
}  // namespace seamglade::gateway
