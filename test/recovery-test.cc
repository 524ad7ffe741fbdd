// seamglade - planned stops, leaving targets, takeover and configuration in
// time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "scenario.h"

namespace seamglade {
namespace {

using fakes::world;

constexpr std::uint32_t kTokens = 6;

/** Sends a steady load of requests to the instances that are not draining. */
void send_steadily(world& w, const std::vector<instance_id>& entries,
                   duration time) {
  for (int i = 0; i * 50ms < time; ++i) {
    w.at(w.now() + i * 50ms, [&w, i, entries] {
      const auto& entry = entries[static_cast<std::size_t>(i) % entries.size()];
      const auto tag = fmt::format("s{}-{}", i, w.callers().size());
      if (i % 4 == 0) {
        w.call(entry, fakes::kPlainService, tag, false);
      } else {
        w.call(entry, fakes::model_name(i % 3), tag, i % 2 == 0);
      }
    });
  }
}

struct losses {
  int unknown = 0;
  int aborted = 0;
  int lost = 0;
  int not_run = 0;
};

losses count_losses(const world& w) {
  losses out;
  for (const auto& [id, c] : w.callers()) {
    out.aborted += c.aborted ? 1 : 0;
    out.lost += c.entry_lost || !c.over() ? 1 : 0;
    if (!c.refused) continue;
    const bool not_run = c.refused->outcome == outcome_kind::not_run;
    ++(not_run ? out.not_run : out.unknown);
  }
  return out;
}

class recovery : public testing::TestWithParam<std::uint64_t> {
 protected:
  void start(int instances, const mechanism_switches& switches = {}) {
    w = std::make_unique<world>(GetParam(), switches);
    fakes::fleet_shape shape;
    shape.instances = instances;
    fakes::build_fleet(*w, shape);
    w->boot_all();
    w->run_for(6s);
  }

  std::unique_ptr<world> w;
};

TEST_P(recovery, a_planned_stop_of_each_instance_cuts_off_nothing) {
  start(4);
  send_steadily(*w, w->instances(), 40s);
  for (int i = 0; i < 4; ++i) {
    const auto id = fmt::format("i{}", i);
    w->at(w->now() + 1s + i * 10s, [this, id] { w->drain(id); });
    w->at(w->now() + 9s + i * 10s, [this, id] {
      EXPECT_TRUE(w->is_finished(id)) << id;
      w->boot(id);
    });
  }
  w->run_for(80s);
  const auto lost = count_losses(*w);
  EXPECT_EQ(lost.unknown, 0);
  EXPECT_EQ(lost.aborted, 0);
  EXPECT_EQ(fakes::broken_guarantees(*w, kTokens), std::vector<std::string>{});
}

TEST_P(recovery, without_waiting_a_planned_stop_cuts_requests_off) {
  mechanism_switches switches;
  switches.drain_waits = false;
  start(4, switches);
  send_steadily(*w, w->instances(), 20s);
  for (int i = 0; i < 4; ++i) {
    const auto id = fmt::format("i{}", i);
    w->at(w->now() + 1s + i * 4s, [this, id] { w->drain(id); });
  }
  w->run_for(60s);
  EXPECT_GT(count_losses(*w).aborted, 0);
}

/** Starts requests on a target after the list said that it leaves. */
int runs_after_leaving(world& w, const target_id& target, duration allowed) {
  const auto left_at = w.now();
  w.mark_target(target, member_state::leaving);
  w.publish_fleet();
  w.run_for(40s);
  int late = 0;
  for (const auto& run : w.runs()) {
    late += run.target == target && run.begun > left_at + allowed ? 1 : 0;
  }
  return late;
}

TEST_P(recovery, a_leaving_target_gets_no_new_work_after_two_seconds) {
  start(3);
  send_steadily(*w, w->instances(), 20s);
  w->run_for(3s);
  w->set_service_stale("i1", true);  // learns from its peers alone
  EXPECT_EQ(runs_after_leaving(*w, "e1", 2s), 0);
  EXPECT_EQ(fakes::broken_guarantees(*w, kTokens), std::vector<std::string>{});
}

TEST_P(recovery, without_refusal_a_leaving_target_gets_new_work) {
  mechanism_switches switches;
  switches.refuse_leaving = false;
  start(3, switches);
  send_steadily(*w, w->instances(), 20s);
  w->run_for(3s);
  EXPECT_GT(runs_after_leaving(*w, "p0", 2s), 0);
}

TEST_P(recovery, a_configuration_is_in_force_everywhere_within_seven_seconds) {
  start(7);
  w->set_service_stale("i2", true);
  w->cut("i3", "i0");
  w->publish("root", fakes::root_document(9));
  w->run_for(7s);
  for (const auto& id : w->instances()) {
    EXPECT_EQ(fakes::root_version(*w, id), 9) << id;
  }
}

TEST_P(recovery, a_bad_document_leaves_the_accepted_one_in_force) {
  start(3);
  w->publish("root", fakes::root_document(9));
  w->run_for(7s);
  w->publish("root", "[document]\nversion = 10\nbranch = /\n[/]\nslots = x\n");
  w->publish("root", fakes::root_document(3));
  w->run_for(7s);
  for (const auto& id : w->instances()) {
    EXPECT_EQ(fakes::root_version(*w, id), 9) << id;
  }
}

TEST_P(recovery, the_next_owner_serves_a_dead_owners_targets) {
  start(3);
  const auto owner = w->holder("e0").substr(0, 2);
  w->kill(owner);
  const auto died = w->now();
  const auto entry = owner == "i0" ? "i1" : "i0";
  for (int i = 0; i < 40; ++i) {
    w->at(w->now() + i * 250ms, [this, entry, i] {
      w->call(entry, fakes::model_name(i % 8), fmt::format("t{}", i));
    });
  }
  w->run_for(30s);
  EXPECT_NE(w->holder("e0").substr(0, 2), owner);
  auto first = time_point::max();
  for (const auto& run : w->runs()) {
    if (run.target == "e0" && run.begun > died) {
      first = std::min(first, run.begun);
    }
  }
  // Lease and margin, a look every half to whole lease, and one load.
  EXPECT_LT(first - died, 8s);
  EXPECT_EQ(fakes::broken_guarantees(*w, kTokens), std::vector<std::string>{});
}

TEST_P(recovery, overload_is_refused_at_once_with_when_to_come_back) {
  start(3);
  for (int i = 0; i < 2000; ++i) {
    w->at(w->now() + i * 2ms, [this, i] {
      w->call("i0", fakes::model_name(0), fmt::format("o{}", i), true, {},
              urgency::urgent, 3s);
    });
  }
  w->run_for(30s);
  int refused = 0;
  for (const auto& [id, c] : w->callers()) {
    if (!c.refused) continue;
    ++refused;
    EXPECT_EQ(c.refused->outcome, outcome_kind::not_run);
    EXPECT_GT(c.refused->retry_after, duration::zero()) << c.tag;
    EXPECT_LE(c.ended - c.issued, 3s + 10ms) << c.tag;
  }
  EXPECT_GT(refused, 500);
  EXPECT_EQ(fakes::broken_guarantees(*w, kTokens), std::vector<std::string>{});
}

TEST_P(recovery, failed_loads_back_off) {
  start(3);
  for (const auto& id : {"e0", "e1", "e2"}) w->fail_loads(id, 100000);
  for (int i = 0; i < 200; ++i) {
    w->at(w->now() + i * 100ms, [this, i] {
      w->call("i0", fakes::model_name(0), fmt::format("f{}", i), true, {},
              urgency::urgent, 1s);
    });
  }
  w->run_for(30s);
  std::uint64_t loads = 0;
  for (const auto& id : w->instances()) loads += w->status(id).loads;
  // Three engines, each with waits that double from half a second.
  EXPECT_LE(loads, 30U);
  EXPECT_EQ(count_losses(*w).not_run, 200);
  EXPECT_EQ(w->runs().size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, recovery, testing::Values(1, 2, 3));

}  // namespace
}  // namespace seamglade
