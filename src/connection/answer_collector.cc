// seamglade - calls whose answer is wanted whole, bounded in time and bytes
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/answer_collector.h"

#include <utility>

namespace seamglade::detail {
namespace {

/** One call; its handlers own it. */
struct pending_answer {
  call_client* client = nullptr;
  call_client::token token = 0;
  event_handle timer;
  collected_answer answer;
  std::function<void(collected_answer)> done;

  /** Ends the call, which frees this. */
  void give_up(bool is_beyond_bounds = false) {
    const auto finished = std::exchange(done, {});
    timer.reset();
    client->cancel(token);
    collected_answer none;
    none.is_beyond_bounds = is_beyond_bounds;
    finished(std::move(none));
  }
};

}  // namespace

void collect_answer(event_base* base, call_client& client, outgoing_call call,
                    const answer_bounds& bounds,
                    std::function<void(collected_answer)> done) {
  auto pending = std::make_shared<pending_answer>();
  pending->client = &client;
  pending->done = std::move(done);
  call_client::handlers on;
  on.head = [pending](const answer_head& head, const answer_carrier& carrier) {
    pending->answer.status = head.status;
    pending->answer.headers = head.headers;
    pending->answer.carrier = carrier;
  };
  on.data = [pending, most = bounds.bytes](
                const std::shared_ptr<const std::string>& data) {
    pending->answer.body += *data;
    // The client keeps the handlers of a call until they return.
    if (pending->answer.body.size() > most) pending->give_up(true);
  };
  on.defect = [pending](const answer_defect& why) {
    pending->answer.defect = why;
  };
  on.end = [pending](call_end end) {
    pending->timer.reset();
    const auto finished = std::exchange(pending->done, {});
    if (end == call_end::complete) return finished(std::move(pending->answer));
    collected_answer none;
    none.defect = std::move(pending->answer.defect);
    finished(std::move(none));
  };
  const auto late = [](evutil_socket_t, short, void* arg) {
    auto* waiting = static_cast<pending_answer*>(arg);
    waiting->give_up(waiting->answer.status.has_value());
  };
  pending->timer.reset(event_new(base, -1, 0, late, pending.get()));
  const auto wait = to_timeval(bounds.time);
  event_add(pending->timer.get(), &wait);
  pending->token = client.start(std::move(call), std::move(on));
}

}  // namespace seamglade::detail
