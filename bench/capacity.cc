// seamglade - slopes of state, messages and time against the size of the fleet
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

// Prints tab-separated tables: control traffic, processor time and memory of
// an instance, then recovery times. Everything but processor time and memory
// is virtual time and the same on every run.
// With --full also 120 and 350 instances; that takes minutes.
#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <numeric>

#include "scenario.h"
#include "seamglade/wire.h"

namespace {

using namespace seamglade;
using fakes::world;

constexpr int kSeeds = 5;

fakes::fleet_shape shape_of(int instances, int adapters) {
  fakes::fleet_shape shape;
  shape.instances = instances;
  shape.engines = (instances * 22 + 9) / 10;  // 780 targets to 350 instances
  shape.zones = instances < 6 ? 2 : 6;
  shape.adapters = adapters;
  shape.settings = "max_queue = 64\n";
  return shape;
}

std::unique_ptr<world> start(std::uint64_t seed,
                             const fakes::fleet_shape& shape) {
  auto w = std::make_unique<world>(seed);
  w->measure = [](const message& body) { return encode(body).size(); };
  fakes::build_fleet(*w, shape);
  w->boot_all();
  w->run_for(15s);
  return w;
}

void send(world& w, int per_second, duration time, int adapters) {
  std::mt19937_64 random(7);
  const auto entries = w.instances();
  const auto gap = duration(1s) / per_second;
  for (int i = 0; i * gap < time; ++i) {
    // A few adapters take most requests.
    const double u = static_cast<double>(random() >> 11) / 9007199254740992.0;
    const auto adapter = static_cast<int>(u * u * u * adapters);
    const auto& entry = entries[random() % entries.size()];
    w.at(w.now() + i * gap, [&w, i, adapter, entry] {
      w.call(entry, fakes::model_name(adapter), fmt::format("b{}", i));
    });
  }
}

struct usage {
  double bytes = 0;
  double bytes_max = 0;
  double messages = 0;
  double cpu_ms = 0;
};

/** What an instance spends a second, over a minute. */
usage measure(world& w, int requests_per_second, int adapters) {
  constexpr int kSeconds = 60;
  if (requests_per_second > 0) {
    send(w, requests_per_second, std::chrono::seconds(kSeconds), adapters);
  }
  std::map<instance_id, std::pair<world::control_traffic, duration>> before;
  for (const auto& id : w.instances()) {
    before[id] = {w.control_sent(id), w.processor_time(id)};
  }
  w.run_for(std::chrono::seconds(kSeconds));
  usage all;
  for (const auto& [id, was] : before) {
    const auto traffic = w.control_sent(id);
    const double bytes =
        static_cast<double>(traffic.bytes - was.first.bytes) / kSeconds;
    all.bytes += bytes;
    all.bytes_max = std::max(all.bytes_max, bytes);
    all.messages +=
        static_cast<double>(traffic.messages - was.first.messages) / kSeconds;
    all.cpu_ms += std::chrono::duration<double, std::milli>(
                      w.processor_time(id) - was.second)
                      .count() /
                  kSeconds;
  }
  const auto n = static_cast<double>(before.size());
  return {all.bytes / n, all.bytes_max, all.messages / n, all.cpu_ms / n};
}

void control_row(int instances, int adapters, int requests_per_instance) {
  const auto heap = mallinfo2().uordblks;
  const auto shape = shape_of(instances, adapters);
  auto w = start(1, shape);
  const double memory =
      static_cast<double>(mallinfo2().uordblks - heap) / instances / 1048576;
  const auto calls = w->service_calls();
  const auto u = measure(*w, requests_per_instance * instances, adapters);
  fmt::print("{}\t{}\t{}\t{}\t{:.0f}\t{:.0f}\t{:.1f}\t{:.2f}\t{:.2f}\t{}\n",
             instances, shape.engines, adapters, requests_per_instance, u.bytes,
             u.bytes_max, u.messages, u.cpu_ms, memory,
             w->service_calls() - calls);
}

void control_tables(bool full) {
  fmt::print(
      "instances\tengines\tadapters\treq/s each\tcontrol B/s sent"
      "\tmost B/s\tmessages/s\tcpu ms/s\tMiB each\tservice calls/min\n");
  for (const int n : {3, 7, 15, 30, 60}) control_row(n, 1000, 0);
  if (full) {
    for (const int n : {120, 350}) control_row(n, 1000, 0);
  }
  for (const int n : {3, 7, 15, 30}) control_row(n, 1000, 5);
  for (const int a : {1000, 5000, 36000}) control_row(7, a, 0);
}

double seconds(duration d) { return std::chrono::duration<double>(d).count(); }

/** Time from a publication until every instance has it in force. */
double configuration_time(world& w) {
  w.publish("root", fakes::root_document(9));
  const auto from = w.now();
  const auto everywhere = [&] {
    const auto all = w.instances();
    return std::all_of(all.begin(), all.end(), [&](const auto& id) {
      return fakes::root_version(w, id) == 9;
    });
  };
  while (!everywhere() && w.now() < from + 60s) w.run_for(10ms);
  return seconds(w.now() - from);
}

struct outcome_counts {
  int requests = 0;
  int unknown = 0;
  int cut = 0;
  int not_run = 0;
};

outcome_counts count(const world& w, const instance_id& besides) {
  outcome_counts out;
  for (const auto& [id, c] : w.callers()) {
    if (c.entry == besides) continue;
    ++out.requests;
    out.cut += c.aborted || !c.over() ? 1 : 0;
    if (!c.refused) continue;
    ++(c.refused->outcome == outcome_kind::not_run ? out.not_run : out.unknown);
  }
  return out;
}

void recovery_row(int instances) {
  std::vector<double> takeover;
  std::vector<double> configuration;
  outcome_counts killed;
  outcome_counts stopped;
  const auto add = [](outcome_counts& to, const outcome_counts& more) {
    to.requests += more.requests;
    to.unknown += more.unknown;
    to.cut += more.cut;
    to.not_run += more.not_run;
  };
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto shape = shape_of(instances, 8);
    {
      auto w = start(seed, shape);
      configuration.push_back(configuration_time(*w));
    }
    for (const bool kill : {true, false}) {
      auto w = start(seed, shape);
      const auto holder = w->holder("e0");
      const auto owner = holder.substr(0, holder.find('#'));
      send(*w, 10 * instances, 10s, 8);
      w->run_for(5s);
      const auto from = w->now();
      if (kill) {
        w->kill(owner);
      } else {
        w->drain(owner);
      }
      w->run_for(40s);
      add(kill ? killed : stopped, count(*w, kill ? owner : ""));
      if (!kill) continue;
      auto first = time_point::max();
      for (const auto& run : w->runs()) {
        if (run.target == "e0" && run.begun > from + 10ms) {
          first = std::min(first, run.begun);
        }
      }
      if (first != time_point::max()) takeover.push_back(seconds(first - from));
    }
  }
  const auto most = [](const std::vector<double>& v) {
    return v.empty() ? 0 : *std::max_element(v.begin(), v.end());
  };
  const auto mean = [](const std::vector<double>& v) {
    return v.empty() ? 0
                     : std::accumulate(v.begin(), v.end(), 0.0) /
                           static_cast<double>(v.size());
  };
  fmt::print(
      "{}\t{:.2f}\t{:.2f}\t{:.2f}\t{:.2f}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\n",
      instances, mean(takeover), most(takeover), mean(configuration),
      most(configuration), killed.requests, killed.unknown, killed.cut,
      killed.not_run, stopped.requests, stopped.unknown, stopped.cut,
      stopped.not_run);
}

void recovery_tables() {
  fmt::print(
      "\ninstances\ttakeover s mean\tmost\tconfiguration s mean\tmost"
      "\tkill: requests\tunknown\tcut\tnot run"
      "\tstop: requests\tunknown\tcut\tnot run\n");
  for (const int n : {3, 7, 15}) recovery_row(n);
}

}  // namespace

int main(int argc, char** argv) {
  const bool full = argc > 1 && std::string(argv[1]) == "--full";
  control_tables(full);
  recovery_tables();
  return 0;
}
