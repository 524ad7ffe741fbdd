// seamglade - whether an answer may come that belongs to no call under way
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_REPEATED_ANSWERS_H_
#define SEAMGLADE_SRC_CONNECTION_REPEATED_ANSWERS_H_

#include <cstdint>

namespace seamglade::detail {

/** Whether the other side of a connection may send an answer again. */
enum class repeated_answers : std::uint8_t {
  /** At any later time: before, during or behind the calls that follow. */
  possible,
  /** It answers each call once, in order. */
  never
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_REPEATED_ANSWERS_H_
