// seamglade - calls on kept connections to a target that repeats its answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/call_client.h"

#include <gtest/gtest.h>

#include "loop_patience.h"
#include "repeating_target.h"

namespace seamglade::detail {
namespace {

using moment = repeating_target::moment;

constexpr duration kPatience = 3s;

/** Makes calls one after the other; a call has a serial, and maybe a name. */
class repeated_answers_test : public testing::Test {
 protected:
  struct outcome_of_call {
    int status = 0;
    /** Serial of the call whose answer came. */
    std::string serial;
    std::optional<call_end> end;
  };

  repeated_answers_test()
      : base_(event_base_new()),
        target_(base_.get(), [this](const auto& m) { return rule_(m); }),
        client_(base_.get(), kNameHeader) {}

  outgoing_call to_target(const std::string& name) {
    outgoing_call what;
    what.address = target_.address();
    what.method = method_;
    what.target = "/x";
    what.host = std::to_string(++last_serial_);
    what.series = series_;
    what.on_new_connection = on_new_connection_;
    if (name.empty()) return what;
    what.headers = {{kNameHeader, name}};
    what.name = name;
    return what;
  }

  /** Makes a call and waits for its end; an empty name: it has none. */
  outcome_of_call call(const std::string& name) {
    outcome_of_call out;
    call_client::handlers on;
    on.head = [&](const answer_head& head, const answer_carrier&) {
      out.status = head.status;
      out.serial = header_value(head.headers, kSerialHeader);
    };
    on.data = [](const std::shared_ptr<const std::string>&) {};
    on.end = [&](call_end end) {
      out.end = end;
      event_base_loopbreak(base_.get());
    };
    const auto token = client_.start(to_target(name), std::move(on));
    run(kPatience);
    if (!out.end) client_.cancel(token);
    return out;
  }

  void run(duration most) { run_loop(base_.get(), most); }

  void expect_own_answer(const outcome_of_call& got) const {
    EXPECT_EQ(got.end, call_end::complete);
    EXPECT_EQ(got.serial, std::to_string(last_serial_));
  }

  /** The first answer is a refusal that comes again, the next ones succeed. */
  void refuse_first(repeating_target::copy again) {
    rule_ = [this, again](const gateway::caller_message&) {
      repeating_target::reply out;
      if (++answered_ > 1) return out;
      out.status = 421;
      out.copies = {again};
      return out;
    };
  }

  base_handle base_;
  repeating_target::rule rule_ = [](const auto&) {
    return repeating_target::reply();
  };
  repeating_target target_;
  call_client client_;
  std::string method_ = "POST";
  std::uint64_t series_ = 0;
  bool on_new_connection_ = false;
  int last_serial_ = 0;
  int answered_ = 0;
};

// Guards against a call that waits for its deadline behind an answer to nobody.
TEST_F(repeated_answers_test, one_without_a_name_ends_the_first_call) {
  rule_ = [](const auto&) {
    repeating_target::reply out;
    out.status = 500;
    out.name = "";
    return out;
  };
  EXPECT_EQ(call("a").end, call_end::malformed);
  EXPECT_EQ(call("").end, call_end::complete);
}

// A repeated refusal passed for the answer to a second send, and that had run.
TEST_F(repeated_answers_test, a_refusal_is_not_taken_for_the_second_send) {
  refuse_first({moment::before_answer});
  EXPECT_EQ(call("a").status, 421);
  const auto second = call("a");
  expect_own_answer(second);
  EXPECT_EQ(second.status, 200);
}

TEST_F(repeated_answers_test, an_answer_that_is_late_by_two_is_not_taken) {
  refuse_first({moment::before_answer, 2});
  EXPECT_EQ(call("a").status, 421);
  expect_own_answer(call("b"));
  expect_own_answer(call("a"));
}

TEST_F(repeated_answers_test, an_answer_that_came_before_a_call_is_not_taken) {
  refuse_first({moment::on_demand});
  EXPECT_EQ(call("a").status, 421);
  target_.send_on_demand();
  expect_own_answer(call("a"));
}

TEST_F(repeated_answers_test, other_names_go_on_the_same_connection) {
  for (const auto* name : {"a", "b", "c"}) expect_own_answer(call(name));
  EXPECT_EQ(target_.connections(), 1U);
  expect_own_answer(call("b"));
  EXPECT_EQ(target_.connections(), 2U);
}

TEST_F(repeated_answers_test, a_connection_with_an_answer_to_none_is_not_kept) {
  refuse_first({moment::before_answer});
  call("a");
  expect_own_answer(call("b"));
  EXPECT_EQ(client_.counts().skipped_during_call, 1U);
  expect_own_answer(call("c"));
  EXPECT_EQ(target_.connections(), 2U);
}

// A late answer to a request passed for that to an order to unload.
TEST_F(repeated_answers_test, no_answer_is_taken_for_that_of_a_nameless_call) {
  refuse_first({moment::before_answer});
  call("a");
  expect_own_answer(call(""));
}

TEST_F(repeated_answers_test, nameless_answers_are_not_taken_for_each_other) {
  refuse_first({moment::before_answer});
  call("");
  expect_own_answer(call(""));
}

TEST_F(repeated_answers_test,
       a_nameless_call_shares_its_connection_with_named) {
  for (const auto* name : {"a", "", "b"}) expect_own_answer(call(name));
  EXPECT_EQ(target_.connections(), 1U);
  expect_own_answer(call(""));
  EXPECT_EQ(target_.connections(), 2U);
}

TEST_F(repeated_answers_test, a_nameless_answer_is_not_taken_for_a_named_call) {
  refuse_first({moment::before_answer});
  call("");
  expect_own_answer(call("a"));
}

TEST_F(repeated_answers_test, calls_of_one_series_share_a_connection) {
  series_ = 1;
  for (int i = 0; i < 3; ++i) expect_own_answer(call(""));
  EXPECT_EQ(target_.connections(), 1U);
}

TEST_F(repeated_answers_test, no_answer_is_taken_for_that_of_another_series) {
  refuse_first({moment::before_answer});
  series_ = 1;
  call("");
  series_ = 2;
  expect_own_answer(call(""));
  EXPECT_EQ(target_.connections(), 2U);
}

// What follows a repeated answer to HEAD would be taken for its body.
TEST_F(repeated_answers_test, a_connection_that_carried_head_is_not_kept) {
  method_ = "HEAD";
  expect_own_answer(call("a"));
  method_ = "POST";
  expect_own_answer(call("b"));
  EXPECT_EQ(target_.connections(), 2U);
}

// A copy of the first answer would pass for that to the call of its name.
TEST_F(repeated_answers_test, a_nameless_answer_that_bears_a_name_is_the_last) {
  rule_ = [](const auto&) {
    return repeating_target::reply{
        200, {{moment::before_answer}}, std::string("a")};
  };
  expect_own_answer(call(""));
  expect_own_answer(call("a"));
  EXPECT_EQ(target_.connections(), 2U);
}

TEST_F(repeated_answers_test, a_connection_carries_a_bounded_number_of_calls) {
  for (int i = 0; i < 257; ++i) expect_own_answer(call(std::to_string(i)));
  EXPECT_EQ(target_.connections(), 2U);
}

// Each nameless call opens a connection: idle ones filled the target's limit.
TEST_F(repeated_answers_test, few_connections_of_nameless_calls_stay_open) {
  for (int i = 0; i < 30; ++i) expect_own_answer(call(""));
  EXPECT_LE(client_.counts().most_to_one_address, 10U);
}

TEST_F(repeated_answers_test, a_connection_that_was_closed_is_not_written_to) {
  for (const auto* name : {"a", "b", "c"}) {
    expect_own_answer(call(name));
    target_.close_all();
  }
  EXPECT_EQ(client_.counts().opened, 3U);
}

TEST_F(repeated_answers_test, kept_connections_that_may_be_silent_are_left) {
  for (const auto* name : {"a", "b"}) expect_own_answer(call(name));
  EXPECT_EQ(client_.counts().opened, 1U);
  on_new_connection_ = true;
  expect_own_answer(call("c"));
  on_new_connection_ = false;
  expect_own_answer(call("d"));
  EXPECT_EQ(client_.counts().opened, 2U);
  EXPECT_EQ(client_.counts().most_to_one_address, 1U);
}

}  // namespace
}  // namespace seamglade::detail
