// seamglade - frames and documents under random and mutated input
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "connection/caller_protocol.h"
#include "connection/target_protocol.h"
#include "seamglade/fleet.h"
#include "seamglade/wire.h"

namespace seamglade {
namespace {

result<frame> decode_whole(const encoded_frame& sent) {
  const auto lengths = decode_prefix(sent.head);
  if (!lengths) return lengths.error();
  EXPECT_EQ(kFramePrefix + lengths.value().header, sent.head.size());
  return decode(std::string(sent.head.substr(kFramePrefix)), sent.payload);
}

std::shared_ptr<const std::string> text_of(const std::string& text) {
  return std::make_shared<const std::string>(text);
}

/** One message of each kind. */
std::vector<message> all_messages(const std::string& text, std::uint32_t n) {
  submit s;
  s.id = {n, n};
  s.target = text;
  s.spec.service = text;
  s.spec.adapter = adapter_ref{"llama", "a", n % 7 + 1};
  s.spec.headers = {{"a", text}, {"b", ""}};
  s.spec.body = text_of(text + "x");
  s.spec.repeatable = n % 2 == 0;
  s.start_within = duration(n);
  part p{{n, 1}, {n, 200, {{"h", text}}, text_of(text + "y"), n % 2 == 0}};
  return {s,
          p,
          refuse{{n, 2}, {outcome_kind::not_run, refusal_reason::deadline, 1s}},
          cancel{{n, 3}},
          query{{n, 4}, n, n, duration(n)},
          acknowledge{{n, 5}},
          heartbeat{n, true, n, {{n, n, n, n}}},
          settings_have{{{text, {n, n, n}}}, true, false},
          settings_push{text, {n, n, n}, text_of(text + "z")},
          permit_request{text, n, n, n, duration(n)},
          permit_grant{text, n, duration(n)},
          handover{text, {n, n, text}, {text, text}},
          handover_done{text, {n, n, text}}};
}

RC_GTEST_PROP(wire, gives_back_what_was_sent,
              (const std::string& text, std::uint32_t n)) {
  for (const auto& sent : all_messages(text, n)) {
    const auto first = encode(sent);
    const auto got = decode_whole(first);
    RC_ASSERT(bool(got));
    // The same bytes again: nothing was lost on the way.
    const auto again = encode(std::get<message>(got.value()));
    RC_ASSERT(again.head == first.head);
    RC_ASSERT(std::get<message>(got.value()).index() == sent.index());
  }
}

RC_GTEST_PROP(
    wire, refuses_or_reads_mutated_frames,
    (const std::string& text, std::uint32_t n,
     const std::vector<std::pair<std::uint16_t, std::uint8_t>>& changes)) {
  for (const auto& sent : all_messages(text, n)) {
    auto mutated = encode(sent);
    for (const auto& [at, byte] : changes) {
      mutated.head[at % mutated.head.size()] = static_cast<char>(byte);
    }
    const auto lengths = decode_prefix(mutated.head);
    if (!lengths) continue;
    // The network layer hands over as many bytes as the prefix says.
    auto header = mutated.head.substr(kFramePrefix);
    header.resize(std::min<std::size_t>(lengths.value().header, 1 << 16));
    static_cast<void>(decode(header, mutated.payload));
  }
}

RC_GTEST_PROP(wire, refuses_or_reads_random_bytes, (const std::string& bytes)) {
  static_cast<void>(decode(bytes, nullptr));
  static_cast<void>(decode_prefix(bytes));
}

TEST(wire, refuses_a_frame_above_the_size_limit) {
  const std::string prefix("\x10\0\0\0\xff\xff\xff\xff", kFramePrefix);
  const auto lengths = decode_prefix(prefix);
  ASSERT_FALSE(lengths);
  EXPECT_EQ(lengths.error().code, errc::frame_too_large);
}

constexpr const char* kDocument =
    "[document]\nversion = 1\nbranch = /a\n[/a]\nslots = 4\nlease = 2s\n"
    "[/a/b]\nkind = engine\npeak_hours = 09:00-16:00\n[/a/b/c]\n"
    "[/a/b/c/d]\nversions = 1 2\n";

RC_GTEST_PROP(
    documents, survive_mutation,
    (const std::vector<std::pair<std::uint16_t, std::uint8_t>>& changes)) {
  std::string text = kDocument;
  for (const auto& [at, byte] : changes) {
    text[at % text.size()] = static_cast<char>(byte);
  }
  const auto checked = check_document("d", text, 1);
  // Either in force as a whole, or refused with a reason.
  RC_ASSERT(checked.document.has_value() == checked.failures.empty());
  if (checked.document) {
    settings_tree({{"d", *checked.document}}).at("/a/b/c");
  }
}

RC_GTEST_PROP(documents, survive_random_text, (const std::string& text)) {
  check_document("d", text, 1);
  check_fleet(text, 1);
}

RC_GTEST_PROP(protocols, survive_random_text, (const std::string& text)) {
  detail::parse_report(text);
  detail::parse_documents(text, {}, "");
  detail::fence_from_header(text);
  detail::says_not_loaded(404, text);
  const settings_tree tree({});
  detail::raw_request raw{
      "POST", text, {{"Idempotency-Key", text}}, text_of(text), "127.0.0.1"};
  detail::parse_request(raw, tree);
  raw.target = "/v1/completions";
  raw.headers.clear();
  detail::parse_request(raw, tree);
}

RC_GTEST_PROP(base64, gives_back_what_was_encoded, (const std::string& bytes)) {
  RC_ASSERT(detail::base64_decode(detail::base64_encode(bytes)) == bytes);
}

}  // namespace
}  // namespace seamglade
