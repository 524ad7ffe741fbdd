// seamglade - heads of HTTP/1.1 messages, refused where text can't be carried
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_MESSAGE_HEAD_H_
#define SEAMGLADE_MESSAGE_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "seamglade/types.h"

namespace seamglade {

/** Whether a text is a method or the name of a field (RFC 9110, 5.6.2). */
bool is_token(std::string_view text);
/**
 * Whether a field carries a text as it is (RFC 9110, 5.5): no control but the
 * tab, and no blank at either end, which readers drop.
 */
bool is_field_value(std::string_view text);
/** Whether a text may stand between the blanks of a request's first line. */
bool is_target_text(std::string_view text);
/** Whether a field can be written without breaking the head it stands in. */
bool is_writable(const http_header& field);

/** The part of a head that can't be carried. */
enum class head_fault : std::uint8_t {
  method,
  target,
  reason,
  field_name,
  field_value
};

/** The text of a head, or why there is none. */
using head_text =
    outcome::basic_result<std::string, head_fault, outcome::policy::all_narrow>;

/** Writes one head; its text is given out only if it can be carried. */
class head_writer {
 public:
  /** Begins a request. */
  head_writer(std::string_view method, std::string_view target);
  /** Begins an answer. */
  head_writer(int status, std::string_view reason);

  head_writer& field(std::string_view name, std::string_view value);
  head_writer& field(std::string_view name, std::uint64_t value);
  head_writer& fields(const std::vector<http_header>& all);

  /** Ends the head and returns it, once. */
  head_text finish();

 private:
  void need(bool is_met, head_fault part);

  std::string text_;
  /** The first part that can't be carried. */
  std::optional<head_fault> fault_;
};

}  // namespace seamglade

#endif  // SEAMGLADE_MESSAGE_HEAD_H_
