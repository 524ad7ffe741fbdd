// seamglade - text of callers in what is told to targets and other instances
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <nlohmann/json.hpp>

#include "gateway_checks.h"
#include "seamglade/dialect.h"

namespace seamglade {
namespace {

using gateway::engine_order;

constexpr int kBadRequest = 400;

/** Texts that are no UTF-8: JSON can't bear them. */
const std::vector<std::string> kNoUtf8{"\xff", "a\xc3", "\xed\xa0\x80",
                                       "\xc0\xaf", "\xf8\x88\x80\x80\x80"};

TEST(outside_text, an_order_can_be_written_whatever_the_adapter_is_called) {
  const auto dialect = gateway::make_platform_dialect();
  for (const auto& name : kNoUtf8) {
    engine_order order;
    order.what = {"m", name};
    std::string body;
    EXPECT_NO_THROW(body = dialect->order_body(order));
    EXPECT_TRUE(nlohmann::json::accept(body));
  }
}

TEST(outside_text, no_load_is_ordered_of_a_name_that_is_no_text) {
  for (const auto& name : kNoUtf8) {
    gateway_world w({});
    w.run_for(kSettled);
    const auto& call = w.call_engine(w.instances()[0], name);
    const auto& other = w.call_engine(w.instances()[0], "a1");
    w.run_for(2s);
    EXPECT_EQ(call.status, kBadRequest);
    EXPECT_EQ(other.status, kOk);
    EXPECT_EQ(w.loads(), 1U);
    expect_rules_kept(w);
  }
}

TEST(outside_text, an_adapter_may_have_a_name_beyond_ascii) {
  gateway_world w({});
  w.run_for(kSettled);
  const auto& call =
      w.call_engine(w.instances()[0], "a\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80");
  w.run_for(2s);
  EXPECT_EQ(call.status, kOk);
  expect_rules_kept(w);
}

}  // namespace
}  // namespace seamglade
