// seamglade - the text of answers: status lines and header fields
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_ANSWER_TEXT_H_
#define SEAMGLADE_SRC_CONNECTION_ANSWER_TEXT_H_

#include <event2/buffer.h>

#include <string>
#include <string_view>
#include <vector>

#include "seamglade/types.h"

namespace seamglade::detail {

inline void append_text(evbuffer* to, std::string_view text) {
  evbuffer_add(to, text.data(), text.size());
}

/** Appends one line for each header. */
inline void add_fields(std::string& to,
                       const std::vector<http_header>& headers) {
  for (const auto& header : headers) {
    to += header.name;
    to += ": ";
    to += header.value;
    to += "\r\n";
  }
}

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_ANSWER_TEXT_H_
