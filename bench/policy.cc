// seamglade - placement policies on the teams' workloads under virtual time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

// Prints a tab-separated table: for each workload, event and policy the wait
// of urgent requests for a start, batch fill, loads and refusals, as the mean
// of the seeds and the spread of the 99th percentile. With --csv FILE also
// one line for each run. Everything is virtual time: the same on every run.
#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <fstream>
#include <iostream>
#include <numeric>
#include <set>
#include <utility>

#include "scenario.h"

namespace {

using namespace seamglade;
using fakes::world;

constexpr int kAdapters = 5000;
constexpr duration kWarmUp = 60s;
constexpr duration kMeasured = 240s;
/** A wait below this is no stall but the way to the target. */
constexpr double kStallSeconds = 0.05;

struct workload {
  const char* name;
  double urgent_per_second;
  double deferred_per_second;
  double zipf;
  std::uint32_t store_parallel;
  duration load_least;
  duration load_most;
  std::uint32_t tokens;
  const char* settings;
};

constexpr workload kWorkloads[] = {
    {"desk, market open", 5, 1, 1.2, 2, 600ms, 900ms, 20, ""},
    {"desk, afternoon", 1, 9, 1.2, 2, 600ms, 900ms, 30,
     "stall_weight = 1\nbatch_weight = 10\n"},
    {"checkout, Saturday", 7, 0, 1.2, 10, 500ms, 4s, 6, ""},
    {"Zipf, mixed", 3, 3, 1.1, 2, 600ms, 900ms, 20, ""},
};

enum class happening : std::uint8_t {
  steady,
  shift,
  restart,
  failed_loads,
  lagging_reports
};
constexpr const char* kHappenings[] = {"steady", "shift", "engine restart",
                                       "failed loads", "lagging reports"};

/** Draws adapters so that the k-th popular one has weight 1/k^s. */
class zipf_draw {
 public:
  explicit zipf_draw(double s) {
    double sum = 0;
    for (int k = 1; k <= kAdapters; ++k) {
      sum += 1.0 / std::pow(k, s);
      shares_.push_back(sum);
    }
  }
  int operator()(std::mt19937_64& random) const {
    const double u = static_cast<double>(random() >> 11) / 9007199254740992.0 *
                     shares_.back();
    return static_cast<int>(
        std::lower_bound(shares_.begin(), shares_.end(), u) - shares_.begin());
  }

 private:
  std::vector<double> shares_;
};

struct figures {
  double stall_mean = 0;
  double stall_p50 = 0;
  double stall_p99 = 0;
  double stalled_share = 0;
  double batch = 0;
  double loads_per_request = 0;
  double refused_share = 0;
  double missed_share = 0;
  /** Of the requests, whatever the policy. */
  double bound_mean = 0;
  double bound_stalled = 0;
  double bound_loads = 0;
};

/**
 * What no policy that loads on demand can beat on these requests: the share
 * that misses if all engines' slots are one pool and the adapter that is
 * needed last is evicted, each miss waiting for its load alone.
 */
struct bound {
  double stalled_share = 0;
  double stall_mean = 0;
  double loads_per_request = 0;
};

constexpr std::size_t kEngines = 12;
constexpr std::size_t kSlots = 8;

duration load_time_of(const workload& load, const std::string& name) {
  const auto part = std::hash<std::string>()(name) % 1000;
  return load.load_least + (load.load_most - load.load_least) *
                               static_cast<std::int64_t>(part) / 1000;
}

bound offline_bound(const world& w, const workload& load, time_point from,
                    time_point until) {
  std::vector<const fakes::caller_record*> order;
  for (const auto& [id, c] : w.callers()) order.push_back(&c);
  std::vector<std::size_t> next(order.size(), order.size());
  std::map<std::string, std::size_t> seen;
  for (std::size_t i = order.size(); i-- > 0;) {
    const auto [it, fresh] = seen.try_emplace(order[i]->model, i);
    if (!fresh) next[i] = std::exchange(it->second, i);
  }
  std::map<std::string, std::size_t> held;  // adapter to next use
  std::set<std::pair<std::size_t, std::string>> by_use;
  double urgent = 0;
  double misses = 0;
  double loads = 0;
  double requests = 0;
  double seconds = 0;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const auto& c = *order[i];
    const bool counts = c.issued >= from && c.issued < until;
    const bool is_urgent = c.tag[0] == 'u';
    requests += counts ? 1 : 0;
    urgent += counts && is_urgent ? 1 : 0;
    if (const auto it = held.find(c.model); it != held.end()) {
      by_use.erase({it->second, c.model});
    } else {
      loads += counts ? 1 : 0;
      if (counts && is_urgent) {
        ++misses;
        seconds +=
            std::chrono::duration<double>(load_time_of(load, c.model)).count();
      }
      if (held.size() == kEngines * kSlots) {
        held.erase(std::prev(by_use.end())->second);
        by_use.erase(std::prev(by_use.end()));
      }
    }
    held[c.model] = next[i];
    by_use.emplace(next[i], c.model);
  }
  return {misses / urgent, seconds / urgent, loads / requests};
}

std::unique_ptr<world> make_world(const workload& load, bool naive,
                                  std::uint64_t seed) {
  auto w = std::make_unique<world>(seed);
  w->naive_policy = naive;
  w->set_weight_store(3, load.store_parallel);
  w->load_time_of = [&load](const std::string& name) {
    return load_time_of(load, name);
  };
  for (int i = 0; i < 6; ++i) {
    w->add_instance(fmt::format("i{}", i), fmt::format("z{}", i % 3));
  }
  for (std::size_t i = 0; i < kEngines; ++i) {
    fakes::target_options engine;
    engine.service = fakes::kEngineService;
    engine.base = "llama";
    engine.zone = fmt::format("z{}", i % 3);
    engine.slots = kSlots;
    engine.tokens = load.tokens;
    w->add_target(fmt::format("e{:02}", i), engine);
  }
  std::string text = fmt::format(
      "[document]\nversion = 1\nbranch = /\n[/]\n[{}]\nmanaged = yes\n"
      "checks_orders = yes\nslots = 8\nmax_concurrency = 16\n"
      "max_queue = 256\nurgent_deadline = 30s\ndeferred_deadline = 3min\n"
      "store_rate = 3\nstore_parallel = {}\nload_estimate = {}ms\n{}"
      "[{}/llama]\n",
      fakes::kEngineService, load.store_parallel,
      std::chrono::duration_cast<std::chrono::milliseconds>(
          (load.load_least + load.load_most) / 2)
          .count(),
      load.settings, fakes::kEngineService);
  for (int i = 0; i < kAdapters; ++i) {
    text +=
        fmt::format("[{}/llama/a{}]\nversions = 1\n", fakes::kEngineService, i);
  }
  w->publish("root", text);
  w->publish_fleet();
  w->boot_all();
  w->run_for(10s);
  return w;
}

void schedule(world& w, const workload& load, happening what,
              std::uint64_t seed, const zipf_draw& draw) {
  std::mt19937_64 random(seed * 101 + 7);
  const double total = load.urgent_per_second + load.deferred_per_second;
  const auto begin = w.now();
  const auto shift_at = begin + kWarmUp + kMeasured / 4;
  auto when = begin;
  for (int i = 0; when < begin + kWarmUp + kMeasured; ++i) {
    const double u =
        (static_cast<double>(random() >> 11) + 1) / 9007199254740993.0;
    when += duration(static_cast<std::int64_t>(-std::log(u) / total * 1e6));
    auto adapter = draw(random);
    // Without warning the rare ones are popular and the popular ones rare.
    if (what == happening::shift && when > shift_at) {
      adapter = (adapter + kAdapters / 2) % kAdapters;
    }
    const bool urgent = static_cast<double>(random() % 1000) / 1000.0 * total <
                        load.urgent_per_second;
    const auto entry = fmt::format("i{}", random() % 6);
    w.at(when, [&w, i, adapter, urgent, entry] {
      w.call(entry, fakes::model_name(adapter),
             fmt::format("{}{}", urgent ? 'u' : 'd', i), true, {},
             urgent ? urgency::urgent : urgency::deferred);
    });
  }
  const auto at = [&](duration wait, std::function<void()> task) {
    w.at(begin + kWarmUp + wait, std::move(task));
  };
  switch (what) {
    case happening::restart:
      at(60s, [&w] { w.restart_target("e03"); });
      at(120s, [&w] { w.restart_target("e07"); });
      break;
    case happening::failed_loads:
      for (int i = 0; i < 12; ++i) {
        at(30s + i * 15s,
           [&w, i] { w.fail_loads(fmt::format("e{:02}", i), 4); });
      }
      break;
    case happening::lagging_reports:
      for (int i = 0; i < 12; ++i) {
        at(i * 20s,
           [&w, i] { w.set_reports_frozen(fmt::format("e{:02}", i), true); });
        at(i * 20s + 15s,
           [&w, i] { w.set_reports_frozen(fmt::format("e{:02}", i), false); });
      }
      break;
    case happening::steady:
    case happening::shift:
      break;
  }
}

figures run(const workload& load, happening what, bool naive,
            std::uint64_t seed, const zipf_draw& draw) {
  auto w = make_world(load, naive, seed);
  schedule(*w, load, what, seed, draw);
  w->run_for(kWarmUp);
  const auto from = w->now();
  const auto loads_of = [&] {
    std::uint64_t sum = 0;
    for (const auto& id : w->instances()) sum += w->status(id).loads;
    return sum;
  };
  const auto batch_of = [&] {
    world::batch_use sum;
    for (const auto& id : w->targets()) {
      const auto use = w->batches(id);
      sum.busy_seconds += use.busy_seconds;
      sum.request_seconds += use.request_seconds;
    }
    return sum;
  };
  const auto loads = loads_of();
  const auto batch = batch_of();
  w->run_for(kMeasured);
  const auto until = w->now();
  figures out;
  const auto used = batch_of();
  out.batch = (used.request_seconds - batch.request_seconds) /
              (used.busy_seconds - batch.busy_seconds);
  const auto new_loads = static_cast<double>(loads_of() - loads);
  w->run_for(200s);

  std::map<std::string, time_point> begun;
  for (const auto& r : w->runs()) begun.emplace(r.tag, r.begun);
  std::vector<double> stalls;
  double requests = 0;
  double refused = 0;
  double missed = 0;
  for (const auto& [id, c] : w->callers()) {
    if (c.issued < from || c.issued >= until) continue;
    ++requests;
    if (c.refused) ++refused;
    if (c.refused && c.refused->reason == refusal_reason::deadline) ++missed;
    if (c.tag[0] != 'u') continue;
    const auto start = begun.find(c.tag);
    // A refused request waited until it was refused.
    const auto end = start == begun.end() ? c.ended : start->second;
    const double wait = std::chrono::duration<double>(end - c.issued).count();
    stalls.push_back(wait < kStallSeconds ? 0 : wait);
  }
  std::sort(stalls.begin(), stalls.end());
  const auto at = [&](double share) {
    return stalls.empty() ? 0
                          : stalls[static_cast<std::size_t>(
                                share * (stalls.size() - 1.0))];
  };
  out.stall_mean = std::accumulate(stalls.begin(), stalls.end(), 0.0) /
                   static_cast<double>(stalls.size());
  out.stall_p50 = at(0.5);
  out.stall_p99 = at(0.99);
  out.stalled_share =
      static_cast<double>(std::count_if(stalls.begin(), stalls.end(),
                                        [](double s) { return s > 0; })) /
      static_cast<double>(stalls.size());
  out.loads_per_request = new_loads / requests;
  out.refused_share = refused / requests;
  out.missed_share = missed / requests;
  const auto least = offline_bound(*w, load, from, until);
  out.bound_mean = least.stall_mean;
  out.bound_stalled = least.stalled_share;
  out.bound_loads = least.loads_per_request;
  return out;
}

void print_row(const workload& load, happening what, bool naive,
               const std::vector<figures>& runs) {
  const auto mean = [&](double figures::*f) {
    double sum = 0;
    for (const auto& r : runs) sum += r.*f;
    return sum / static_cast<double>(runs.size());
  };
  const auto [low, high] = std::minmax_element(
      runs.begin(), runs.end(),
      [](const auto& a, const auto& b) { return a.stall_p99 < b.stall_p99; });
  fmt::print(
      "{}\t{}\t{}\t{:.3f}\t{:.3f}\t{:.2f}\t{:.2f}-{:.2f}\t{:.3f}\t{:.2f}"
      "\t{:.3f}\t{:.4f}\t{:.4f}\t{:.3f}\t{:.3f}\t{:.3f}\n",
      load.name, kHappenings[static_cast<std::size_t>(what)],
      naive ? "naive" : "segmented", mean(&figures::stall_mean),
      mean(&figures::stall_p50), mean(&figures::stall_p99), low->stall_p99,
      high->stall_p99, mean(&figures::stalled_share), mean(&figures::batch),
      mean(&figures::loads_per_request), mean(&figures::refused_share),
      mean(&figures::missed_share), mean(&figures::bound_mean),
      mean(&figures::bound_stalled), mean(&figures::bound_loads));
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::uint64_t seeds = 0;
  std::size_t events = 0;
  std::string csv;
  std::string only;
  po::options_description all("options");
  all.add_options()("help", "show this text")(
      "seeds", po::value(&seeds)->default_value(5), "runs of each cell")(
      "csv", po::value(&csv), "file for one line a run")(
      "events", po::value(&events)->default_value(std::size(kHappenings)),
      "events to run, from steady on")(
      "only", po::value(&only), "run only workloads with this in their name");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, all), values);
    if (values.count("help") > 0) {
      std::cout << all;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& wrong) {
    std::cerr << wrong.what() << "\n";
    return 2;
  }
  std::ofstream lines;
  if (!csv.empty()) {
    lines.open(csv);
    lines << "workload,event,policy,seed,mean,p50,p99,stalled,batch,loads,"
             "refused,missed\n";
  }
  fmt::print(
      "workload\tevent\tpolicy\tstall s mean\tp50\tp99\tp99 spread\tstalled"
      "\tbatch\tloads/req\trefused\tdeadline\tbound mean\tbound stalled\tbound "
      "loads\n");
  for (const auto& load : kWorkloads) {
    if (std::string(load.name).find(only) == std::string::npos) continue;
    const zipf_draw draw(load.zipf);
    for (std::size_t h = 0; h < std::min(events, std::size(kHappenings)); ++h) {
      for (const bool naive : {true, false}) {
        std::vector<figures> runs;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
          runs.push_back(
              run(load, static_cast<happening>(h), naive, seed, draw));
          const auto& f = runs.back();
          if (lines) {
            lines << fmt::format(
                "{},{},{},{},{},{},{},{},{},{},{},{}\n", load.name,
                kHappenings[h], naive ? "naive" : "segmented", seed,
                f.stall_mean, f.stall_p50, f.stall_p99, f.stalled_share,
                f.batch, f.loads_per_request, f.refused_share, f.missed_share);
          }
        }
        print_row(load, static_cast<happening>(h), naive, runs);
        std::fflush(stdout);
      }
    }
  }
  return 0;
}
