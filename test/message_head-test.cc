// seamglade - heads of messages: what is given arrives, or nothing is written
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/message_head.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

namespace seamglade {
namespace {

constexpr std::string_view kOdd("\r\n\t :\0%#&+= \x7f\xC3\xA9xA", 17);

rc::Gen<std::string> any_text() {
  return rc::gen::container<std::string>(
      rc::gen::weightedOneOf<char>({{1, rc::gen::arbitrary<char>()},
                                    {1, rc::gen::elementOf(std::string(kOdd))},
                                    {3, rc::gen::inRange<char>('a', 'z')}}));
}

struct read_field {
  std::string name;
  std::string value;
};

/** Reads `head` as RFC 9112 has it: a first line, then fields, no folding. */
std::vector<read_field> fields_of(std::string_view head) {
  std::vector<read_field> out;
  head.remove_prefix(head.find('\n') + 1);
  while (!head.empty()) {
    const auto end = head.find('\n');
    auto line = head.substr(0, end);
    head.remove_prefix(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) break;
    const auto colon = line.find(':');
    auto value = line.substr(colon + 1);
    const auto first = value.find_first_not_of(" \t");
    value = first == std::string_view::npos ? "" : value.substr(first);
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    out.push_back({std::string(line.substr(0, colon)), std::string(value)});
  }
  return out;
}

TEST(message_head, is_written_as_given) {
  auto head = head_writer("GET", "/a?b=c")
                  .field("Host", "h:1")
                  .fields({{"A", ""}, {"B", "x\ty \xC3\xA9 z"}})
                  .field("Content-Length", 3U)
                  .finish();
  ASSERT_TRUE(head);
  EXPECT_EQ(head.value(),
            "GET /a?b=c HTTP/1.1\r\nHost: h:1\r\nA: \r\n"
            "B: x\ty \xC3\xA9 z\r\nContent-Length: 3\r\n\r\n");
}

TEST(message_head, tells_which_part_cannot_be_carried) {
  EXPECT_EQ(head_writer("G T", "/").finish().error(), head_fault::method);
  EXPECT_EQ(head_writer("", "/").finish().error(), head_fault::method);
  EXPECT_EQ(head_writer("GET", "/\r\nA: b").finish().error(),
            head_fault::target);
  EXPECT_EQ(head_writer(200, "O\rK").finish().error(), head_fault::reason);
  EXPECT_EQ(head_writer(200, "").field("A:", "1").finish().error(),
            head_fault::field_name);
  EXPECT_EQ(head_writer(200, "").field("A", "1\n").finish().error(),
            head_fault::field_value);
}

RC_GTEST_PROP(message_head, carries_what_was_given_or_is_not_written, ()) {
  const auto name = *any_text();
  const auto value = *any_text();
  const auto head =
      head_writer("GET", "/").field(name, value).field("Last", "1").finish();
  if (!head) return;
  RC_ASSERT(head.value().find('\0') == std::string::npos);
  const auto read = fields_of(head.value());
  RC_ASSERT(read.size() == 2U);
  RC_ASSERT(read[0].name == name);
  RC_ASSERT(read[0].value == value);
  RC_ASSERT(read[1].name == "Last");
}

RC_GTEST_PROP(message_head, writes_each_text_without_controls, ()) {
  auto value = *any_text();
  std::erase_if(value, [](char c) {
    return (static_cast<unsigned char>(c) < ' ') || c == '\x7f';
  });
  RC_ASSERT(
      bool(head_writer("GET", "/").field("A", "x" + value + "x").finish()));
}

}  // namespace
}  // namespace seamglade
