// seamglade - the settings of an instance of the direct path, from its INI file
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/gateway_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <set>

#include "seamglade/instance_config.h"

namespace seamglade {
namespace {

constexpr std::string_view kSection = "gateway";
constexpr std::string_view kSeeds = "seeds";
constexpr std::string_view kRetryRatio = "retry_ratio";
constexpr std::string_view kRetryExtra = "retry_extra";
constexpr std::string_view kKeyBound = "key_bound";
constexpr std::string_view kQuotaExcess = "quota_excess";
constexpr std::string_view kQuotaSlack = "quota_slack";
constexpr std::string_view kRegions = "regions";
constexpr std::string_view kColdExcess = "cold_excess";
constexpr std::string_view kColdSlack = "cold_slack";
constexpr std::string_view kMemoryLimit = "memory_limit";
constexpr std::string_view kDescriptorLimit = "descriptor_limit";
constexpr std::string_view kNone = "none";
constexpr std::string_view kAuto = "auto";
constexpr std::string_view kMegabytes = "MB";
/** Less does not hold an instance, and no machine has more. */
constexpr std::size_t kLeastMemory = 16UL << 20U;
constexpr std::size_t kMostMemory = 1UL << 44U;
constexpr std::size_t kLeastDescriptors = 32;

constexpr key_spec file_key(std::string_view name, value_kind kind,
                            std::string_view fallback, std::string_view help) {
  return {
      name, kind, 1, 3600000, "", fallback, tree_level::root, tree_level::root,
      help};
}

constexpr std::string_view kNumber = "a number from 0";
constexpr std::string_view kAddresses = "IP:port, divided by commas";
constexpr std::string_view kMemory =
    "bytes, or megabytes such as 260MB, from 16MB; or auto";
constexpr std::string_view kDescriptors = "a whole number from 32; or auto";
constexpr std::string_view kRegionPairs = "DOMAIN:REGION, divided by commas";

/** A key whose form is its own. */
constexpr key_spec special_key(std::string_view name, std::string_view accepted,
                               std::string_view fallback,
                               std::string_view help) {
  auto out = file_key(name, value_kind::text, fallback, help);
  out.words = accepted;
  return out;
}

constexpr std::array kSchema{
    file_key("id", value_kind::text, "", "name of the instance"),
    file_key("failure_domain", value_kind::text, "", "where the instance runs"),
    special_key(kRegions, kRegionPairs, kNone,
                "the region of each failure domain; else it is its own"),
    file_key("caller_address", value_kind::address, "",
             "where callers reach it"),
    file_key("ready_address", value_kind::address, "",
             "answers whether it takes new connections"),
    file_key("peer_address", value_kind::address, "",
             "where other instances reach it, over TCP and UDP"),
    file_key("metrics_address", value_kind::address, "", "metrics and status"),
    file_key("store_address", value_kind::address, "", "the platform's store"),
    special_key(kSeeds, kAddresses, kNone, "peers to join through"),
    file_key("lease", value_kind::span, "3s",
             "silence after which another may give orders to a target"),
    file_key("fenced", value_kind::boolean, "yes",
             "whether targets refuse orders under a lower fence"),
    special_key(kRetryRatio, kNumber, "0.2",
                "share of requests that the fleet may send twice"),
    special_key(kRetryExtra, kNumber, "50",
                "repeats that the fleet may send beyond that, in a window"),
    file_key("retry_window", value_kind::span, "10s", "that window"),
    file_key(kKeyBound, value_kind::span, kNone,
             "how long a key may work that operators took away"),
    file_key("quota_window", value_kind::span, "8s",
             "span over which a workspace's limit is judged"),
    special_key(kQuotaExcess, kNumber, "0.25",
                "part of a limit by which the fleet may pass it"),
    special_key(kQuotaSlack, kNumber, "0",
                "units by which the fleet may pass a limit beside"),
    special_key(kColdExcess, kNumber, "1",
                "how much of the rate that it bears a cold target may get"),
    special_key(kColdSlack, kNumber, "0",
                "requests a second that a cold target may get beside"),
    file_key("admission", value_kind::boolean, "yes",
             "whether plain targets get only what they can serve in time"),
    file_key("grace", value_kind::span, "8s",
             "how long the platform waits for a planned stop"),
    special_key(kMemoryLimit, kMemory, kAuto,
                "memory that the process may use; auto: its own limit"),
    special_key(kDescriptorLimit, kDescriptors, kAuto,
                "descriptors that it may have; auto: its own limit"),
};

std::string* text_member(gateway_config& config, std::string_view key) {
  if (key == "id") return &config.id;
  if (key == "failure_domain") return &config.failure_domain;
  if (key == "caller_address") return &config.caller_address;
  if (key == "ready_address") return &config.ready_address;
  if (key == "peer_address") return &config.peer_address;
  if (key == "metrics_address") return &config.metrics_address;
  if (key == "store_address") return &config.store_address;
  return nullptr;
}

result<void> bad(std::string_view key, std::string_view accepted) {
  return failure{errc::bad_value,
                 fmt::format("{}: accepted: {}", key, accepted), 0};
}

result<void> read_number(double& into, std::string_view key,
                         const std::string& text) {
  double value = 0;
  if (!boost::conversion::try_lexical_convert(text, value) || value < 0) {
    return bad(key, kNumber);
  }
  into = value;
  return outcome::success();
}

result<void> read_memory(gateway_config& config, const std::string& text) {
  if (text == kAuto) return outcome::success();
  const bool is_in_megabytes = text.ends_with(kMegabytes);
  const auto digits =
      is_in_megabytes ? text.substr(0, text.size() - kMegabytes.size()) : text;
  const std::size_t unit = is_in_megabytes ? 1UL << 20U : 1;
  std::size_t value = 0;
  if (digits.starts_with('-') ||
      !boost::conversion::try_lexical_convert(digits, value) ||
      value < kLeastMemory / unit || value > kMostMemory / unit) {
    return bad(kMemoryLimit, kMemory);
  }
  config.memory_limit = value * unit;
  return outcome::success();
}

result<void> read_descriptors(gateway_config& config, const std::string& text) {
  if (text == kAuto) return outcome::success();
  std::size_t value = 0;
  if (text.starts_with('-') ||
      !boost::conversion::try_lexical_convert(text, value) ||
      value < kLeastDescriptors) {
    return bad(kDescriptorLimit, kDescriptors);
  }
  config.descriptor_limit = value;
  return outcome::success();
}

result<void> read_seeds(gateway_config& config, const std::string& text) {
  if (text.empty() || text == kNone) return outcome::success();
  std::vector<std::string> seeds;
  boost::algorithm::split(seeds, text, boost::algorithm::is_any_of(","));
  const auto address = file_key(kSeeds, value_kind::address, "", "");
  for (const auto& seed : seeds) {
    if (!check_value(address, seed)) {
      return bad(kSeeds, kAddresses);
    }
  }
  config.seeds = std::move(seeds);
  return outcome::success();
}

result<void> read_regions(gateway_config& config, const std::string& text) {
  if (text.empty() || text == kNone) return outcome::success();
  std::vector<std::string> pairs;
  boost::algorithm::split(pairs, text, boost::algorithm::is_any_of(","));
  for (const auto& pair : pairs) {
    const auto colon = pair.find(':');
    const bool is_whole =
        colon != std::string::npos && colon > 0 && colon + 1 < pair.size();
    if (!is_whole) return bad(kRegions, kRegionPairs);
    config.regions[pair.substr(0, colon)] = pair.substr(colon + 1);
  }
  return outcome::success();
}

result<void> set(gateway_config& config, const key_spec& key,
                 const std::string& value) {
  if (key.name == kSeeds) return read_seeds(config, value);
  if (key.name == kRegions) return read_regions(config, value);
  if (key.name == kMemoryLimit) return read_memory(config, value);
  if (key.name == kDescriptorLimit) return read_descriptors(config, value);
  if (key.name == kColdExcess) {
    return read_number(config.cold_excess, key.name, value);
  }
  if (key.name == kColdSlack) {
    return read_number(config.cold_slack, key.name, value);
  }
  if (key.name == kRetryRatio) {
    return read_number(config.retry_ratio, key.name, value);
  }
  if (key.name == kRetryExtra) {
    return read_number(config.retry_extra, key.name, value);
  }
  if (key.name == kQuotaExcess) {
    return read_number(config.quota_excess, key.name, value);
  }
  if (key.name == kQuotaSlack) {
    return read_number(config.quota_slack, key.name, value);
  }
  if (key.name == kKeyBound && value == kNone) {
    config.key_bound = {};
    return outcome::success();
  }
  if (auto checked = check_value(key, value); !checked) return checked;
  if (key.name == "lease") {
    config.lease = parse_span(value);
  } else if (key.name == "fenced") {
    config.fenced = value == "yes";
  } else if (key.name == kKeyBound) {
    config.key_bound = parse_span(value);
  } else if (key.name == "quota_window") {
    config.quota_window = parse_span(value);
  } else if (key.name == "admission") {
    config.admission = value == "yes";
  } else if (key.name == "retry_window") {
    config.retry_window = parse_span(value);
  } else if (key.name == "grace") {
    config.grace = parse_span(value);
  } else {
    *text_member(config, key.name) = value;
  }
  return outcome::success();
}

}  // namespace

std::span<const key_spec> gateway_schema() { return kSchema; }

bool is_gateway_config(const std::string& text) {
  std::vector<failure> ignored;
  const auto sections = read_ini(text, ignored);
  return std::any_of(sections.begin(), sections.end(),
                     [](const auto& s) { return s.name == kSection; });
}

gateway_config_check check_gateway_config(const std::string& text) {
  gateway_config_check outcome;
  std::set<std::string_view> seen;
  const auto fail = [&](failure why, std::string_view section,
                        std::string_view key) {
    why.line = find_line(text, section, key);
    outcome.failures.push_back(std::move(why));
  };
  for (const auto& section : read_ini(text, outcome.failures)) {
    if (is_end(section)) continue;
    if (section.name != kSection) {
      fail({errc::unknown_key, "section: accepted: [gateway]", 0}, section.name,
           {});
      continue;
    }
    for (const auto& entry : section.entries) {
      const auto spec =
          std::find_if(kSchema.begin(), kSchema.end(),
                       [&](const auto& s) { return s.name == entry.key; });
      if (spec == kSchema.end()) {
        fail({errc::unknown_key, entry.key, 0}, kSection, entry.key);
        continue;
      }
      seen.insert(spec->name);
      if (auto done = set(outcome.config, *spec, entry.value); !done) {
        fail(done.error(), kSection, entry.key);
      }
    }
  }
  for (const auto& spec : kSchema) {
    if (seen.contains(spec.name)) continue;
    if (spec.fallback.empty()) {
      fail(
          {errc::missing_key,
           fmt::format("{}: accepted: {}", spec.name, accepted_range(spec)), 0},
          kSection, {});
      continue;
    }
    if (auto done = set(outcome.config, spec, std::string(spec.fallback));
        !done) {
      fail(done.error(), kSection, {});
    }
  }
  return outcome;
}

}  // namespace seamglade
