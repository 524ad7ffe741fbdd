// seamglade - how the end of an answer is marked, and how it came
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/answer_end.h"

namespace seamglade::gateway {

std::string_view to_string(body_framing framing) {
  switch (framing) {
    case body_framing::length:
      return "length";
    case body_framing::chunked:
      return "chunked";
    case body_framing::close_delimited:
      break;
  }
  return "close_delimited";
}

std::string_view to_string(call_end end) {
  switch (end) {
    case call_end::complete:
      return "complete";
    case call_end::not_sent:
      return "not_sent";
    case call_end::no_room:
      return "no_room";
    case call_end::closed:
      return "closed";
    case call_end::reset:
      return "reset";
    case call_end::malformed:
      return "malformed";
    case call_end::too_large:
      return "too_large";
    case call_end::within_event:
      break;
  }
  return "within_event";
}

std::string_view to_string(answer_fault fault) {
  switch (fault) {
    case answer_fault::none:
      return "none";
    case answer_fault::status_line:
      return "status_line";
    case answer_fault::field:
      return "field";
    case answer_fault::folded_line:
      return "folded_line";
    case answer_fault::coding:
      return "coding";
    case answer_fault::length:
      return "length";
    case answer_fault::chunk:
      return "chunk";
    case answer_fault::cut_head:
      return "cut_head";
    case answer_fault::too_long:
      return "too_long";
    case answer_fault::other_call:
      break;
  }
  return "other_call";
}

}  // namespace seamglade::gateway
