// seamglade - calls whose answer is wanted whole, bounded in time and bytes
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_ANSWER_COLLECTOR_H_
#define SEAMGLADE_SRC_CONNECTION_ANSWER_COLLECTOR_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "connection/call_client.h"

namespace seamglade::detail {

/** An answer that was read to its end. */
struct collected_answer {
  /** None: there was none, it was not whole, too late or too large. */
  std::optional<int> status;
  std::vector<http_header> headers;
  std::string body;
  answer_carrier carrier;
  /** Why what came is no answer. */
  answer_defect defect;
  /** One had begun that took more bytes or time than it may. */
  bool is_beyond_bounds = false;
};

/** What an answer may take. */
struct answer_bounds {
  duration time{};
  /** Of the body. */
  std::size_t bytes = 0;
};

/** Makes a call; `done` runs once, from the loop. */
void collect_answer(event_base* base, call_client& client, outgoing_call call,
                    const answer_bounds& bounds,
                    std::function<void(collected_answer)> done);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_ANSWER_COLLECTOR_H_
