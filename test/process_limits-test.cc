// seamglade - what a process may use, and how it is divided
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/process_limits.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

namespace seamglade::detail {
namespace {

TEST(process_limits, divides_descriptors_among_all_that_need_some) {
  for (const std::size_t limit : {32U, 48U, 64U, 256U, 1024U, 4100U, 65536U}) {
    const auto share = divide_descriptors(limit);
    EXPECT_LE(share.callers + share.peers + share.ready + share.metrics +
                  share.calls + share.own,
              limit);
    EXPECT_GE(share.callers, 1U);
    EXPECT_GE(share.peers, 1U);
    EXPECT_GE(share.ready, 1U);
    EXPECT_GE(share.metrics, 1U);
    EXPECT_GE(share.calls, 1U);
  }
}

TEST(process_limits, divides_memory_and_keeps_some) {
  const auto share = divide_memory(260UL << 20U);
  EXPECT_EQ(share.held, 130UL << 20U);
  EXPECT_LT(share.held + share.answers, 260UL << 20U);
}

TEST(process_limits, are_those_of_the_settings) {
  gateway_config config;
  config.memory_limit = 1UL << 28U;
  config.descriptor_limit = 48;
  const auto limits = limits_of(config);
  EXPECT_EQ(limits.memory, 1UL << 28U);
  EXPECT_EQ(limits.descriptors, 48U);
}

TEST(process_limits, are_bounded_by_those_of_the_process) {
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  auto few = before;
  few.rlim_cur = 40;
  setrlimit(RLIMIT_NOFILE, &few);
  gateway_config config;
  const auto unset = limits_of(config);
  config.descriptor_limit = 4100;
  const auto set = limits_of(config);
  setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_EQ(unset.descriptors, 40U);
  EXPECT_EQ(set.descriptors, 40U);
  EXPECT_GT(unset.memory, 0U);
}

TEST(process_limits, are_read_from_a_file) {
  const std::string least =
      "[gateway]\nid = g1\nfailure_domain = z1\n"
      "caller_address = 127.0.0.1:1\nready_address = 127.0.0.1:2\n"
      "peer_address = 127.0.0.1:3\nmetrics_address = 127.0.0.1:4\n"
      "store_address = 127.0.0.1:5\n";
  const auto read = [&](const std::string& further) {
    return check_gateway_config(least + further);
  };
  EXPECT_TRUE(read("").failures.empty());
  EXPECT_EQ(read("").config.memory_limit, 0U);
  EXPECT_EQ(read("memory_limit = 260MB\n").config.memory_limit, 260UL << 20U);
  EXPECT_EQ(read("memory_limit = 272629760\n").config.memory_limit,
            260UL << 20U);
  EXPECT_EQ(read("descriptor_limit = 4100\n").config.descriptor_limit, 4100U);
  EXPECT_EQ(read("memory_limit = auto\n").config.memory_limit, 0U);
  for (const auto* wrong :
       {"memory_limit = 260", "memory_limit = much", "memory_limit = MB",
        "memory_limit = -1MB", "memory_limit = 99999999999999999999MB",
        "memory_limit = 20000000000000MB", "descriptor_limit = 4",
        "descriptor_limit = some"}) {
    EXPECT_EQ(read(wrong).failures.size(), 1U) << wrong;
  }
}

}  // namespace
}  // namespace seamglade::detail
