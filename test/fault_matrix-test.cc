// seamglade - the fault matrix: every fault at every step, guarantees on the
// trace
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

#include "scenario.h"

namespace seamglade {
namespace {

using fakes::step;
using fakes::world;

constexpr std::uint32_t kTokens = 6;
constexpr int kInstances = 3;

/** A fault, brought about where a step has just happened. */
struct fault {
  const char* name;
  std::function<void(world&, const instance_id&, const target_id&)> strike;
};

target_id some_target(const target_id& at) { return at.empty() ? "e0" : at; }

instance_id other_than(const instance_id& at) {
  return at == "i0" ? "i1" : "i0";
}

void reboot_later(world& w, const instance_id& at) {
  w.at(w.now() + 3s, [&w, at] {
    if (!w.is_running(at)) w.boot(at);
  });
}

void heal_later(world& w, duration wait) {
  w.at(w.now() + wait, [&w] { w.heal(); });
}

const std::vector<fault>& faults() {
  using W = world&;
  using I = const instance_id&;
  using T = const target_id&;
  static const std::vector<fault> all{
      {"none", [](W, I, T) {}},
      {"kill", [](W w, I at, T) { w.kill(at); }},
      {"restart_empty",
       [](W w, I at, T) {
         w.kill(at);
         reboot_later(w, at);
       }},
      {"freeze_late_wake", [](W w, I at, T) { w.freeze(at, 6s); }},
      {"freeze_short", [](W w, I at, T) { w.freeze(at, 1900ms); }},
      {"cut_one_way",
       [](W w, I at, T) {
         w.cut(at, other_than(at));
         heal_later(w, 8s);
       }},
      {"cut_both_ways",
       [](W w, I at, T) {
         w.cut(at, other_than(at));
         w.cut(other_than(at), at);
         heal_later(w, 8s);
       }},
      {"cut_from_target",
       [](W w, I at, T target) {
         w.cut(at, some_target(target));
         w.cut(some_target(target), at);
         heal_later(w, 8s);
       }},
      {"slow",
       [](W w, I, T target) { w.slow_target(some_target(target), 20); }},
      {"target_restarts",
       [](W w, I, T target) { w.restart_target(some_target(target)); }},
      {"target_dies",
       [](W w, I, T target) { w.stop_target(some_target(target)); }},
      {"load_failure",
       [](W w, I, T target) { w.fail_loads(some_target(target), 3); }},
      {"messages_lost_late_twice",
       [](W w, I, T) {
         w.disturb({0.1, 0.2, 0.3});
         w.at(w.now() + 10s, [&w] { w.disturb({}); });
       }},
      {"stale_list_and_configuration",
       [](W w, I at, T) {
         w.set_service_stale(at, true);
         w.publish("root", fakes::root_document(2));
       }},
      {"service_down",
       [](W w, I, T) {
         w.set_service_down(true);
         w.at(w.now() + 10s, [&w] { w.set_service_down(false); });
       }},
      {"service_flaps",
       [](W w, I, T) {
         for (int i = 0; i < 10; ++i) {
           w.at(w.now() + i * 1s, [&w, i] { w.set_service_down(i % 2 == 0); });
         }
       }},
      {"operators_race",
       [](W w, I, T) {
         w.publish("site", fakes::site_document(3, {}));
         w.publish("site", fakes::site_document(2, {}));
         w.publish("site", "[document]\nversion = 4\nbranch = nowhere\n");
       }},
      {"wall_clock_jump", [](W w, I at, T) { w.wall_jump(at, -3600s); }},
      {"reports_lag",
       [](W w, I, T target) {
         w.set_reports_frozen(some_target(target), true);
       }},
      {"leaves",
       [](W w, I, T target) {
         w.mark_target(some_target(target), member_state::leaving);
         w.publish_fleet();
       }},
      {"caller_hangs_up",
       [](W w, I, T) {
         if (!w.callers().empty()) w.hang_up(w.callers().rbegin()->first);
       }},
      {"planned_stop", [](W w, I at, T) { w.drain(at); }},
  };
  return all;
}

/** One cell's conditions. */
struct cell {
  std::vector<std::pair<step, std::size_t>> strikes;  // step and fault
  std::uint64_t seed = 1;
  bool checks_orders = true;
  mechanism_switches switches;
};

/** Requests of all kinds for the time in which the faults strike. */
void drive_load(world& w, std::uint64_t seed) {
  std::mt19937_64 random(seed * 7919 + 1);
  for (int i = 0; i < 120; ++i) {
    const auto when = w.now() + std::chrono::milliseconds(100 * i);
    const auto entry = fmt::format("i{}", random() % kInstances);
    const auto kind = random() % 10;
    const auto adapter = static_cast<int>(random() % 8 * (random() % 8) / 7);
    const auto version = static_cast<int>(1 + random() % 2);
    w.at(when, [&w, i, entry, kind, adapter, version] {
      const auto tag = fmt::format("r{}", i);
      if (kind < 2) {
        w.call(entry, fakes::kPlainService, tag, false);
      } else if (kind < 4) {
        // The same key twice, as a caller that asks again would.
        const auto key = fakes::key_at(w.now(), static_cast<unsigned>(i));
        w.call(entry, fakes::kPlainService, tag, false, key);
        const auto again = entry == "i0" ? "i1" : "i0";
        w.at(w.now() + 700ms, [&w, again, tag, key] {
          w.call(again, fakes::kPlainService, tag + "again", false, key);
        });
      } else {
        w.call(entry, fakes::model_name(adapter, version), tag, kind != 4, {},
               kind == 9 ? urgency::deferred : urgency::urgent);
      }
    });
  }
}

/** Runs one cell; returns what broke. */
std::vector<std::string> run_cell(const cell& c, bool* struck = nullptr) {
  world w(c.seed, c.switches);
  fakes::fleet_shape shape;
  shape.checks_orders = c.checks_orders;
  fakes::build_fleet(w, shape);
  w.boot_all();
  w.run_for(6s);
  std::vector<int> left(c.strikes.size());
  for (std::size_t i = 0; i < left.size(); ++i) {
    left[i] = static_cast<int>(c.seed % 3) + 1;
  }
  bool armed = false;
  std::map<instance_id, int> newest;
  std::vector<std::string> broken;
  w.on_step = [&](step which, const instance_id& at, const target_id& target) {
    // Before it is ready, an instance does nothing under what it has.
    const bool in_force = w.is_running(at) && w.status(at).ready;
    if (which == step::config_accepted && in_force) {
      const auto version = fakes::root_version(w, at);
      if (version < newest[at]) broken.push_back("8: configuration went back");
      newest[at] = version;
    }
    for (std::size_t i = 0; armed && i < c.strikes.size(); ++i) {
      if (c.strikes[i].first != which || --left[i] != 0) continue;
      if (struck != nullptr) *struck = true;
      faults()[c.strikes[i].second].strike(w, at, target);
    }
  };
  w.at(w.now() + 2s, [&armed] { armed = true; });
  // Steps that the load alone does not bring about.
  w.at(w.now() + 4s, [&w] { w.publish("root", fakes::root_document(5)); });
  w.at(w.now() + 6s, [&w] {
    if (w.is_running("i2")) w.drain("i2");
  });
  w.at(w.now() + 10s, [&w] {
    if (w.is_finished("i2") || !w.is_running("i2")) w.boot("i2");
  });
  drive_load(w, c.seed);
  w.run_for(60s);
  w.on_step = nullptr;
  for (const auto& id : w.instances()) {
    if (!w.is_running(id) || w.is_finished(id)) continue;
    if (fakes::root_version(w, id) != 5) {
      broken.push_back("8: " + id + " has no newest configuration");
    }
  }
  auto rest = fakes::broken_guarantees(w, kTokens);
  broken.insert(broken.end(), rest.begin(), rest.end());
  return broken;
}

std::string listed(const std::vector<std::string>& broken) {
  std::string text;
  for (const auto& line : broken) text += line + "\n";
  return text;
}

/** Runs every fault at a step under some conditions; tells what broke. */
std::string run_step(step which, bool checks_orders) {
  std::string text;
  for (std::size_t f = 0; f < faults().size(); ++f) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const auto broken = run_cell({{{which, f}}, seed, checks_orders, {}});
      if (broken.empty()) continue;
      text += fmt::format("{} at {}, seed {}\n{}", faults()[f].name,
                          to_string(which), seed, listed(broken));
    }
  }
  return text;
}

class fault_matrix : public testing::TestWithParam<int> {};

TEST_P(fault_matrix, keeps_the_guarantees_at_every_step) {
  EXPECT_EQ(run_step(static_cast<step>(GetParam()), true), "");
}

TEST_P(fault_matrix, keeps_them_where_targets_check_no_orders) {
  EXPECT_EQ(run_step(static_cast<step>(GetParam()), false), "");
}

TEST_P(fault_matrix, keeps_them_under_two_faults) {
  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  for (int i = 0; i < 60; ++i) {
    const auto draw = [&](std::size_t below) { return random() % below; };
    const cell c{
        {{static_cast<step>(GetParam()), draw(faults().size())},
         {static_cast<step>(draw(fakes::kStepCount)), draw(faults().size())}},
        random() % 1000,
        true,
        {}};
    EXPECT_EQ(listed(run_cell(c)), "")
        << faults()[c.strikes[0].second].name << " at "
        << to_string(c.strikes[0].first) << " and "
        << faults()[c.strikes[1].second].name << " at "
        << to_string(c.strikes[1].first) << ", seed " << c.seed;
  }
}

INSTANTIATE_TEST_SUITE_P(steps, fault_matrix,
                         testing::Range(0, static_cast<int>(fakes::kStepCount)),
                         [](const auto& which) {
                           return std::string(
                               to_string(static_cast<step>(which.param)));
                         });

RC_GTEST_PROP(drawn_schedules, keep_the_guarantees, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 5);
  cell c;
  for (std::size_t i = 0; i < count; ++i) {
    c.strikes.emplace_back(
        static_cast<step>(*rc::gen::inRange<int>(0, fakes::kStepCount)),
        *rc::gen::inRange<std::size_t>(0, faults().size()));
  }
  c.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  RC_ASSERT(listed(run_cell(c)).empty());
}

TEST(policies, both_give_the_same_answers_and_keep_the_guarantees) {
  std::set<std::string> answered[2];
  for (const bool naive : {false, true}) {
    world w(11);
    w.naive_policy = naive;
    fakes::build_fleet(w, {});
    w.boot_all();
    w.run_for(6s);
    drive_load(w, 5);
    w.run_for(60s);
    EXPECT_EQ(listed(fakes::broken_guarantees(w, kTokens)), "");
    for (const auto& [id, c] : w.callers()) {
      if (c.complete) answered[naive].insert(c.tag + "=" + c.text);
    }
  }
  EXPECT_EQ(answered[0], answered[1]);
  EXPECT_GE(answered[0].size(), 120U);
}

/** A mechanism switched off, and what must be seen to break without it. */
struct missing_mechanism {
  const char* name;
  bool mechanism_switches::*which;
  const char* broken;
};

void PrintTo(const missing_mechanism& m, std::ostream* out) { *out << m.name; }

class without : public testing::TestWithParam<missing_mechanism> {};

TEST_P(without, the_mechanism_the_matrix_fails) {
  mechanism_switches switches;
  switches.*GetParam().which = false;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    for (std::size_t s = 0; s < fakes::kStepCount; ++s) {
      for (std::size_t f = 0; f < faults().size(); ++f) {
        const auto broken = listed(
            run_cell({{{static_cast<step>(s), f}}, seed, true, switches}));
        if (broken.find(GetParam().broken) != std::string::npos) {
          SUCCEED() << broken;
          return;
        }
      }
    }
  }
  FAIL() << "no cell broke: " << GetParam().broken;
}

INSTANTIATE_TEST_SUITE_P(
    mechanisms, without,
    testing::Values(
        missing_mechanism{"exact_version", &mechanism_switches::exact_version,
                          "1: "},
        missing_mechanism{"tell_unknown", &mechanism_switches::tell_unknown,
                          "4: "},
        missing_mechanism{"pin_running", &mechanism_switches::pin_running,
                          "while in use"},
        missing_mechanism{"inherit_pins", &mechanism_switches::inherit_pins,
                          "while in use"},
        missing_mechanism{"lease_gate", &mechanism_switches::lease_gate,
                          "after its lease"},
        missing_mechanism{"fence_orders", &mechanism_switches::fence_orders,
                          "after its lease"},
        missing_mechanism{"retry_only_not_run",
                          &mechanism_switches::retry_only_not_run, "5: "},
        missing_mechanism{"order_parts", &mechanism_switches::order_parts,
                          "3: "},
        missing_mechanism{"forward_only", &mechanism_switches::forward_only,
                          "8: "}),
    [](const auto& m) { return std::string(m.param.name); });

}  // namespace
}  // namespace seamglade
