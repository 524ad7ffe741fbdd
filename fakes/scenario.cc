// seamglade - the small fleet that failure tests and benchmarks start from
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "scenario.h"

#include <fmt/format.h>

#include <algorithm>

#include "world_impl.h"

namespace seamglade::fakes {
namespace {

/** The root document tells its version by a setting, so that what is in
 * force can be seen. */
constexpr int kVersionMark = 1000;

/** Adapters that fit a document of a megabyte. */
constexpr int kAdaptersPerDocument = 6000;

}  // namespace

std::string root_document(int version) {
  return fmt::format(
      "[document]\nversion = {0}\nbranch = /\n[/]\n"
      "request_limit = 4s\nlist_wait = 1s\ndeferred_deadline = 12s\n"
      "caller_concurrency = {1}\n",
      version, kVersionMark + version);
}

int root_version(const world& w, const instance_id& id) {
  const auto mark = w.setting(id, "/", "caller_concurrency");
  return mark.empty() ? 0 : std::max(0, std::stoi(mark) - kVersionMark);
}

std::string site_document(int version, const fleet_shape& shape) {
  std::string text = fmt::format(
      "[document]\nversion = {}\nbranch = /site\n"
      "[{}]\nkind = plain\n"
      "[{}]\nmanaged = yes\nchecks_orders = {}\nslots = 2\n"
      "max_concurrency = 4\nload_estimate = 200ms\nload_timeout = 2s\n"
      "store_rate = 20\nstore_parallel = 4\n{}"
      "[{}/llama]\n",
      version, kPlainService, kEngineService,
      shape.checks_orders ? "yes" : "no", shape.settings, kEngineService);
  for (int i = 0; i < std::min(shape.adapters, kAdaptersPerDocument); ++i) {
    text += fmt::format("[{}/llama/a{}]\nversions = 1 2\n", kEngineService, i);
  }
  return text;
}

void build_fleet(world& w, const fleet_shape& shape) {
  const auto zone = [&](int i) { return fmt::format("z{}", i % shape.zones); };
  for (int i = 0; i < shape.instances; ++i) {
    w.add_instance(fmt::format("i{}", i), zone(i));
  }
  for (int i = 0; i < shape.engines; ++i) {
    target_options engine;
    engine.service = kEngineService;
    engine.base = "llama";
    engine.zone = zone(i);
    engine.checks_orders = shape.checks_orders;
    w.add_target(fmt::format("e{}", i), engine);
  }
  target_options plain;
  plain.service = kPlainService;
  plain.zone = zone(0);
  w.add_target("p0", plain);
  w.publish("root", root_document(1));
  w.publish("site", site_document(1, shape));
  // More adapters than one document holds stand below further base models.
  for (int first = kAdaptersPerDocument; first < shape.adapters;
       first += kAdaptersPerDocument) {
    const auto branch = fmt::format("{}/base{}", kEngineService, first);
    auto text = fmt::format("[document]\nversion = 1\nbranch = {}\n", branch);
    const auto last = std::min(shape.adapters, first + kAdaptersPerDocument);
    for (int i = first; i < last; ++i) {
      text += fmt::format("[{}/a{}]\nversions = 1 2\n", branch, i);
    }
    w.publish(fmt::format("adapters-{}", first), text);
  }
  w.publish_fleet();
}

std::string model_name(int adapter, int version) {
  return fmt::format("llama/a{}@{}", adapter, version);
}

std::string key_at(time_point now, std::uint64_t number) {
  const auto ms = static_cast<std::uint64_t>(wall_ms(now));
  return fmt::format("{:08x}-{:04x}-7000-8000-{:012x}", ms >> 16, ms & 0xffff,
                     number);
}

std::vector<std::string> broken_guarantees(const world& w,
                                           std::uint32_t tokens) {
  auto broken = w.target_faults();
  std::map<std::string, int> runs;
  std::map<std::string, int> key_runs;
  std::map<std::string, std::string> model_of;
  for (const auto& [id, caller] : w.callers())
    model_of[caller.tag] = caller.model;
  for (const auto& run : w.runs()) {
    ++runs[run.tag];
    if (!run.key.empty()) ++key_runs[run.key];
    const auto& named = model_of[run.tag];
    const bool plain = named == kPlainService;
    if (!plain && run.model != named) {
      broken.push_back(fmt::format("1: {} named {} and ran on {}", run.tag,
                                   named, run.model));
    }
  }
  for (const auto& [key, count] : key_runs) {
    if (count > 1) {
      broken.push_back(fmt::format("5: key {} ran {} times", key, count));
    }
  }
  for (const auto& [id, c] : w.callers()) {
    if (!c.over()) {
      broken.push_back(fmt::format("3: {} got no final answer", c.tag));
      continue;
    }
    const auto model = c.model == kPlainService ? std::string() : c.model;
    if (c.complete && c.text != world::full_text(c.tag, model, tokens)) {
      broken.push_back(fmt::format("3: {} got {}", c.tag, c.text));
    }
    if (c.complete && c.out_of_order) {
      broken.push_back(fmt::format("3: {} got pieces out of order", c.tag));
    }
    if (c.refused && c.refused->outcome == outcome_kind::not_run &&
        runs[c.tag] > 0) {
      broken.push_back(fmt::format("4: {} was refused as not run ({}) and ran",
                                   c.tag, to_string(c.refused->reason)));
    }
    if (!c.repeatable && runs[c.tag] > 1) {
      broken.push_back(fmt::format("5: {} ran {} times", c.tag, runs[c.tag]));
    }
  }
  return broken;
}

}  // namespace seamglade::fakes
