// seamglade - answers that break the protocol, for all that read answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_BROKEN_ANSWERS_H_
#define SEAMGLADE_TEST_BROKEN_ANSWERS_H_

#include <ostream>
#include <string>
#include <vector>

namespace seamglade::detail {

/** Bytes that a target sends in place of an answer, before it closes. */
struct broken_answer {
  std::string name;
  std::string bytes;
};

inline std::ostream& operator<<(std::ostream& to, const broken_answer& what) {
  return to << what.name;
}

/** Returns an answer with this status line and a body of a known length. */
inline broken_answer with_status_line(std::string name, std::string line) {
  return {std::move(name), std::move(line) + "\r\nContent-Length: 2\r\n\r\nok"};
}

/** Returns an answer of 200 with these lines before a body of a known length.
 */
inline broken_answer with_field(std::string name, std::string lines) {
  return {std::move(name), "HTTP/1.1 200 OK\r\n" + std::move(lines) +
                               "\r\nContent-Length: 2\r\n\r\nok"};
}

/** Returns an answer of 200 with these lines, and a body as it stands here. */
inline broken_answer with_framing(std::string name, std::string lines,
                                  std::string body) {
  return {std::move(name), "HTTP/1.1 200 OK\r\n" + std::move(lines) +
                               "\r\n\r\n" + std::move(body)};
}

/** Returns answers of which none may be taken for one. */
inline std::vector<broken_answer> broken_answers() {
  using std::string_literals::operator""s;
  const auto chunks = "2\r\nok\r\n0\r\n\r\n"s;
  return {
      with_status_line("status_000", "HTTP/1.1 000 Trouble"),
      {"status_000_up_to_the_close", "HTTP/1.1 000 Trouble\r\n\r\nok"},
      with_status_line("status_099", "HTTP/1.1 099 Trouble"),
      with_status_line("status_600", "HTTP/1.1 600 Trouble"),
      with_status_line("status_999", "HTTP/1.1 999 Trouble"),
      with_status_line("status_of_two_digits", "HTTP/1.1 20 OK"),
      with_status_line("status_of_four_digits", "HTTP/1.1 2000 OK"),
      with_status_line("status_with_a_letter", "HTTP/1.1 2x0 OK"),
      with_status_line("no_status", "HTTP/1.1"),
      with_status_line("no_blank_behind_the_status", "HTTP/1.1 200"),
      with_status_line("other_version", "HTTP/3.7 200 OK"),
      with_status_line("other_protocol", "HTPP/1.1 200 OK"),
      with_status_line("control_byte_in_the_reason", "HTTP/1.1 200 O\x01K"),
      {"cut_in_the_version", "HTTP/1."},
      {"cut_in_the_status", "HTTP/1.1 20"},
      {"cut_in_the_head", "HTTP/1.1 200 OK\r\nX-Y: 1\r\n"},
      with_field("blank_in_a_name", "X Y: 1"),
      with_field("blank_before_the_colon", "X-Y : 1"),
      with_field("control_byte_in_a_name", "X\x01Y: 1"),
      with_field("tab_in_a_name", "X\tY: 1"),
      with_field("delete_in_a_name", "X\x7fY: 1"),
      with_field("nul_in_a_name", "X\0Y: 1"s),
      with_field("high_byte_in_a_name", "X\xe9Y: 1"),
      with_field("no_name", ": 1"),
      with_field("no_colon", "X-Y"),
      with_field("folded_first_line", " X-Y: 1"),
      with_field("folded_line", "X-Y: 1\r\n Z: 2"),
      {"folded_length",
       "HTTP/1.1 200 OK\r\nX-Y: 1\r\n Content-Length: 2\r\n\r\nok"},
      {"line_folded_by_a_tab",
       "HTTP/1.1 200 OK\r\nX-Y: 1\r\n\tContent-Length: 2\r\n\r\nok"},
      with_field("nul_in_a_value", "X-Y: a\0b"s),
      with_field("control_byte_in_a_value", "X-Y: a\x01b"),
      with_field("bare_return_in_a_value", "X-Y: a\rb"),
      with_framing("two_lengths", "Content-Length: 2\r\nContent-Length: 3",
                   "okk"),
      with_framing("signed_length", "Content-Length: +2", "ok"),
      with_framing("list_of_lengths", "Content-Length: 2, 3", "okk"),
      with_framing("hexadecimal_length", "Content-Length: 0x2", "ok"),
      with_framing("length_over_64_bits",
                   "Content-Length: 18446744073709551618", "ok"),
      with_framing("blank_before_the_colon_of_a_length", "Content-Length : 2",
                   "ok"),
      with_framing("length_beside_chunks",
                   "Content-Length: 2\r\nTransfer-Encoding: chunked", chunks),
      with_framing("other_coding", "Transfer-Encoding: xchunked", chunks),
      with_framing("chunked_twice", "Transfer-Encoding: chunked, chunked",
                   chunks),
      with_framing("two_codings", "Transfer-Encoding: gzip, chunked", chunks),
      with_framing("coding_behind_chunked", "Transfer-Encoding: chunked, gzip",
                   chunks),
      with_framing("coding_in_two_fields",
                   "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                   chunks),
      with_framing("identity_beside_chunked",
                   "Transfer-Encoding: identity, chunked", chunks),
      with_framing("signed_chunk_size", "Transfer-Encoding: chunked",
                   "+2\r\nok\r\n0\r\n\r\n"),
      with_framing("blank_before_a_chunk_size", "Transfer-Encoding: chunked",
                   " 2\r\nok\r\n0\r\n\r\n"),
      with_framing("chunk_longer_than_told", "Transfer-Encoding: chunked",
                   "2\r\nokk\r\n0\r\n\r\n"),
      with_framing("blank_in_the_name_of_a_trailer",
                   "Transfer-Encoding: chunked",
                   "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n"),
  };
}

/** Returns answers that look odd and are sound; each has a body of "ok". */
inline std::vector<broken_answer> odd_answers() {
  return {
      with_status_line("no_reason", "HTTP/1.1 200 "),
      with_status_line("reason_of_blanks", "HTTP/1.1 200  "),
      with_status_line("version_1_0", "HTTP/1.0 200 OK"),
      with_status_line("unknown_status", "HTTP/1.1 299 Odd"),
      with_field("empty_value", "X-Y:"),
      with_field("blanks_around_a_value", "X-Y: \t 1 \t"),
      with_field("high_byte_in_a_value", "X-Y: caf\xe9"),
      with_field("all_signs_of_names", "!#$%&'*+-.^_`|~09aZ: 1"),
      with_framing("upper_case_coding", "Transfer-Encoding: CHUNKED",
                   "2\r\nok\r\n0\r\n\r\n"),
      with_framing("extension_of_a_chunk", "Transfer-Encoding: chunked",
                   "2;a=b\r\nok\r\n0\r\n\r\n"),
      with_framing("trailer", "Transfer-Encoding: chunked",
                   "2\r\nok\r\n0\r\nX-Y: 1\r\n\r\n"),
      with_framing("blank_that_begins_a_body", "Content-Length: 2", "ok"),
  };
}

}  // namespace seamglade::detail

#endif  // SEAMGLADE_TEST_BROKEN_ANSWERS_H_
