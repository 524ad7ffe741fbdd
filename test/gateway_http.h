// seamglade - a server of the callers' side and a client, on one loop, for
// tests
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_GATEWAY_HTTP_H_
#define SEAMGLADE_TEST_GATEWAY_HTTP_H_

#include <gtest/gtest.h>

#include "connection/call_client.h"
#include "connection/gateway_server.h"
#include "loop_patience.h"
#include "raw_caller.h"

namespace seamglade::detail {

inline constexpr duration kPatience = 3s;

/** A server that answers by a rule, and a client, on one loop. */
class gateway_http : public testing::Test {
 protected:
  gateway_http()
      : base_(event_base_new()),
        server_(base_.get(),
                {[this](caller_id caller, gateway::caller_message m) {
                   seen_.push_back(std::move(m));
                   on_request_(caller, seen_.back());
                 },
                 [this](caller_id) {
                   ++gone_;
                   stop();
                 },
                 [this](int status) { refused_.push_back(status); }}),
        client_(base_.get(), {}) {
    address_ = server_.listen({"127.0.0.1", 0}).value();
    on_request_ = [this](caller_id caller, const gateway::caller_message& m) {
      answer(caller, 200, "body of " + m.target);
    };
  }

  void answer(caller_id caller, int status, const std::string& body) {
    server_.begin(caller, {status, "", {{"X-Id", "1"}}, body.size()});
    server_.write(caller, std::make_shared<const std::string>(body));
    server_.finish(caller);
  }

  void stop() { event_base_loopbreak(base_.get()); }

  /** Runs the loop until somebody stops it, or the test has failed. */
  void run(duration most = kPatience) { run_loop(base_.get(), most); }

  struct outcome_of_call {
    int status = 0;
    body_framing framing = body_framing::length;
    std::string body;
    std::optional<call_end> end;
  };

  std::shared_ptr<outcome_of_call> call(outgoing_call what) {
    auto out = std::make_shared<outcome_of_call>();
    client_.start(std::move(what),
                  {[out](const answer_head& head, const answer_carrier&) {
                     out->status = head.status;
                     out->framing = head.framing;
                   },
                   [out](const std::shared_ptr<const std::string>& data) {
                     out->body += *data;
                   },
                   [this, out](call_end end) {
                     out->end = end;
                     stop();
                   }});
    return out;
  }

  outgoing_call get(const std::string& target) {
    outgoing_call what;
    what.address = address_.str();
    what.method = "GET";
    what.target = target;
    return what;
  }

  /** Sends raw bytes and returns all that comes back until the close. */
  std::string raw(const std::string& bytes) {
    const auto got = call_raw(base_.get(), address_, bytes);
    raw_was_reset_ = got.was_reset;
    return got.bytes;
  }

  base_handle base_;
  std::vector<gateway::caller_message> seen_;
  std::vector<int> refused_;
  int gone_ = 0;
  /** The connection of the last raw() ended by a reset. */
  bool raw_was_reset_ = false;
  std::function<void(caller_id, const gateway::caller_message&)> on_request_;
  gateway_server server_;
  call_client client_;
  endpoint address_;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_TEST_GATEWAY_HTTP_H_
