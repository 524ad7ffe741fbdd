// seamglade - instances start before a store that answers in pages
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_checks.h"

namespace seamglade {
namespace {

/** How the store answers ranges. */
struct paged_play {
  std::size_t instances = 0;
  std::size_t page = 500;
  std::size_t refused = 0;
  std::size_t empty = 0;
};

void PrintTo(const paged_play& play, std::ostream* out) {
  *out << play.instances << " instances, pages of " << play.page
       << ", refused each " << play.refused << ", empty each " << play.empty;
}

class paged_store : public testing::TestWithParam<paged_play> {
 protected:
  paged_store() : world_(options()) {
    world_.run_for(kLargeSettled);
    world_.publish_configuration(2, "/llm/");
    world_.run_for(2s);
  }

  static gateway_world_options options() {
    gateway_world_options out;
    out.instances = GetParam().instances;
    out.engines = 9;
    out.plain_targets = 4;
    out.store_page = GetParam().page;
    out.refused_page = GetParam().refused;
    out.empty_page = GetParam().empty;
    return out;
  }

  void start_all_anew() {
    for (const auto who : world_.instances()) world_.kill(who);
    world_.run_for(200ms);
    for (const auto who : world_.instances()) world_.start(who);
  }

  /** Pages of one read, refused and empty ones too. */
  std::size_t pages_of_read() const {
    const std::size_t items = 9 + 4 + 1;
    const auto good = items / GetParam().page + 2;
    return good * 3;
  }

  gateway_world world_;
};

TEST_P(paged_store, is_read_whole_after_a_kill_of_all) {
  const auto before = world_.range_calls();
  start_all_anew();
  world_.run_for(10s);
  for (const auto who : world_.instances()) {
    const auto status = world_.status(who);
    EXPECT_EQ(status.targets, 13U) << who;
    EXPECT_EQ(status.configuration, 2U) << who;
  }
  const auto calls = world_.range_calls() - before;
  EXPECT_LE(calls, world_.instances().size() * pages_of_read());
  expect_rules_kept(world_);
}

INSTANTIATE_TEST_SUITE_P(
    plays, paged_store,
    testing::Values(paged_play{5, 1}, paged_play{5, 2}, paged_play{5, 3},
                    paged_play{5, 7}, paged_play{5, 3, 3}, paged_play{5, 2, 2},
                    paged_play{5, 3, 0, 2}, paged_play{5, 2, 0, 3},
                    paged_play{5, 2, 3, 5}, paged_play{24, 3, 3, 5}));

}  // namespace
}  // namespace seamglade
