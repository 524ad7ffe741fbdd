// seamglade - targets of requests: any bytes arrive as they were given
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/request_target.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <memory>
#include <vector>

#include "store_query.h"

namespace seamglade {
namespace {

using standin::read_query;

constexpr int kByteValues = 256;

std::string all_bytes() {
  std::string out;
  for (int i = 0; i < kByteValues; ++i) out += static_cast<char>(i);
  return out;
}

/** Any bytes, and more often than by chance those that a target treats. */
rc::Gen<std::string> any_text() {
  return rc::gen::container<std::string>(rc::gen::weightedOneOf<char>(
      {{1, rc::gen::arbitrary<char>()},
       {1, rc::gen::elementOf(std::string("%#&+=?/ \r\n\t.;:@A0\0", 18))}}));
}

/** Whether only unreserved bytes and whole escapes stand in a text. */
bool is_encoded(std::string_view text) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (std::isalnum(c) != 0 ||
        std::string_view("-._~").find(text[i]) != std::string_view::npos) {
      continue;
    }
    if (text[i] != '%' || i + 2 >= text.size()) return false;
    if (std::isxdigit(static_cast<unsigned char>(text[i + 1])) == 0 ||
        std::isxdigit(static_cast<unsigned char>(text[i + 2])) == 0) {
      return false;
    }
    i += 2;
  }
  return true;
}

/** The query as libevent's own reader has it; it ends texts at a NUL byte. */
std::vector<std::pair<std::string, std::string>> read_by_libevent(
    const std::string& target) {
  std::vector<std::pair<std::string, std::string>> out;
  const std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)> uri(
      evhttp_uri_parse(target.c_str()), &evhttp_uri_free);
  if (!uri) return out;
  evkeyvalq read{};
  if (evhttp_parse_query_str(evhttp_uri_get_query(uri.get()), &read) != 0) {
    return out;
  }
  for (const auto* at = read.tqh_first; at != nullptr; at = at->next.tqe_next) {
    out.emplace_back(at->key, at->value);
  }
  evhttp_clear_headers(&read);
  return out;
}

TEST(request_target, writes_the_programs_own_text_as_it_stands) {
  EXPECT_EQ(request_target("/report").str(), "/report");
  EXPECT_EQ(request_target("/a").query("after", 18446744073709551615U).str(),
            "/a?after=18446744073709551615");
  EXPECT_EQ(request_target("/a").query("p", "").query("q", "x").str(),
            "/a?p=&q=x");
  EXPECT_EQ(request_target("/v1/kv").segments("seam/glade/").str(),
            "/v1/kv/seam/glade/");
  EXPECT_EQ(request_target("/v1/kv").segment("a/b c").str(),
            "/v1/kv/a%2Fb%20c");
}

TEST(request_target, carries_each_byte_in_a_value) {
  const auto sent = all_bytes();
  const auto read = read_query(request_target("/a").query("k", sent).str());
  ASSERT_TRUE(read);
  EXPECT_EQ(read->path, "/a");
  EXPECT_EQ(read->text("k"), sent);
  EXPECT_EQ(read->parameters.size(), 1U);
}

RC_GTEST_PROP(request_target, gives_a_strict_reader_what_was_given, ()) {
  const auto segment = *any_text();
  const auto name = "n" + *any_text();
  const auto first = *any_text();
  const auto second = *any_text();
  const auto target = request_target("/a")
                          .segment(segment)
                          .query(name, first)
                          .query("second", second)
                          .str();
  const auto read = read_query(target);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->path == "/a/" + segment);
  RC_ASSERT(read->text("second") == second);
  if (name != "second") RC_ASSERT(read->text(name) == first);
  RC_ASSERT(read->parameters.size() == 2U);
}

RC_GTEST_PROP(request_target, gives_libevents_reader_what_was_given, ()) {
  auto value = *any_text();
  std::erase(value, '\0');
  const auto target =
      request_target("/a").query("k", value).query("last", 7U).str();
  const std::vector<std::pair<std::string, std::string>> given{{"k", value},
                                                               {"last", "7"}};
  RC_ASSERT(read_by_libevent(target) == given);
}

RC_GTEST_PROP(request_target, holds_no_byte_that_has_a_meaning, ()) {
  const auto text = *any_text();
  RC_ASSERT(is_encoded(request_target("").query("k", text).str().substr(3)));
  RC_ASSERT(is_encoded(request_target("").segment(text).str().substr(1)));
}

RC_GTEST_PROP(request_target, parts_a_path_at_slashes_only, ()) {
  const auto text = *any_text();
  const auto target = request_target("").segments(text).str();
  const auto read = read_query(target);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->path == "/" + text);
  RC_ASSERT(std::count(target.begin(), target.end(), '/') ==
            1 + std::count(text.begin(), text.end(), '/'));
}

}  // namespace
}  // namespace seamglade
