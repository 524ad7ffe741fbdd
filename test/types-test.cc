// seamglade - tests of the small shared values
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/types.h"

#include <gtest/gtest.h>

namespace seamglade {
namespace {

TEST(adapter_ref, keeps_base_name_and_version) {
  const auto parsed = parse_adapter_ref("llama/tickets@4");
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed.value(), (adapter_ref{"llama", "tickets", 4}));
  EXPECT_EQ(parsed.value().str(), "llama/tickets@4");
}

TEST(adapter_ref, refuses_what_names_no_exact_version) {
  for (const auto* text :
       {"", "llama", "llama/tickets", "llama/tickets@", "llama/tickets@0",
        "llama/tickets@04", "llama/tickets@-1", "llama/tickets@x", "/tickets@1",
        "llama/@1", "llama/a/b@1", "llama/tickets@99999999999"}) {
    EXPECT_FALSE(parse_adapter_ref(text)) << text;
  }
}

TEST(fence, orders_by_configuration_then_count_then_holder) {
  EXPECT_LT((fence{1, 9, "z"}), (fence{2, 1, "a"}));
  EXPECT_LT((fence{2, 1, "z"}), (fence{2, 2, "a"}));
  EXPECT_LT((fence{2, 2, "a"}), (fence{2, 2, "b"}));
}

}  // namespace
}  // namespace seamglade
