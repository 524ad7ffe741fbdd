// seamglade - checking the published list
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/fleet.h"

#include <fmt/format.h>

#include <array>

#include "seamglade/rendezvous.h"

namespace seamglade {
namespace {

constexpr std::string_view kInstancePrefix = "instance ";
constexpr std::string_view kTargetPrefix = "target ";

constexpr key_spec list_key(std::string_view name, value_kind kind,
                            std::string_view words = "") {
  return {name, kind, 0, 0, words, "", tree_level::root, tree_level::root, ""};
}
constexpr auto kAddress = list_key("address", value_kind::address);
constexpr auto kZone = list_key("zone", value_kind::text);
constexpr auto kBase = list_key("base", value_kind::text);
constexpr auto kName = list_key("name", value_kind::text);
constexpr auto kState = list_key("state", value_kind::choice, "live|leaving");

/** Reads one section of the list and collects its faults. */
class section_reader {
 public:
  section_reader(const std::string& text, const ini_section& section,
                 std::vector<failure>& failures)
      : text_(text), section_(section), failures_(failures) {}

  std::string take(const key_spec& key, bool required = true) {
    for (const auto& entry : section_.entries) {
      if (entry.key != key.name) continue;
      if (!check_value(key, entry.value)) {
        fail(errc::bad_value,
             fmt::format("{}: accepted: {}", key.name, accepted_range(key)),
             key.name);
      }
      return entry.value;
    }
    if (required) fail(errc::missing_key, std::string(key.name), {});
    return {};
  }

  std::string take_path() {
    for (const auto& entry : section_.entries) {
      if (entry.key == "service") return entry.value;
    }
    fail(errc::missing_key, "service", {});
    return {};
  }

  member_state take_state() {
    return take(kState, false) == "leaving" ? member_state::leaving
                                            : member_state::live;
  }

  /** Reads what instances and targets have in common. */
  template <typename Entry>
  void take_common(Entry& entry) {
    check_name(entry.id);
    entry.zone = take(kZone);
    entry.address = take(kAddress);
    entry.state = take_state();
  }

  void check_name(const std::string& name) {
    if (!check_value(kName, name)) {
      fail(errc::bad_value, "name: accepted: " + accepted_range(kName), {});
    }
  }

  template <std::size_t N>
  void check_keys(const std::array<std::string_view, N>& known) {
    for (const auto& entry : section_.entries) {
      if (std::find(known.begin(), known.end(), entry.key) == known.end()) {
        fail(errc::unknown_key, entry.key, entry.key);
      }
    }
  }

 private:
  void fail(errc code, std::string detail, std::string_view key) {
    failures_.push_back(
        {code, std::move(detail), find_line(text_, section_.name, key)});
  }

  const std::string& text_;
  const ini_section& section_;
  std::vector<failure>& failures_;
};

}  // namespace

fleet_check check_fleet(std::string text, std::uint64_t index) {
  fleet_check outcome;
  fleet_list list;
  list.stamp = {0, index, stable_hash(text)};
  for (const auto& section : read_ini(text, outcome.failures)) {
    section_reader read(text, section, outcome.failures);
    const std::string_view name = section.name;
    if (name.starts_with(kInstancePrefix)) {
      read.check_keys(
          std::array<std::string_view, 3>{"zone", "address", "state"});
      instance_entry entry;
      entry.id = name.substr(kInstancePrefix.size());
      read.take_common(entry);
      list.instances[entry.id] = entry;
    } else if (name.starts_with(kTargetPrefix)) {
      read.check_keys(std::array<std::string_view, 5>{
          "zone", "address", "state", "service", "base"});
      target_entry entry;
      entry.id = name.substr(kTargetPrefix.size());
      read.take_common(entry);
      entry.service = read.take_path();
      entry.base = read.take(kBase, false);
      list.targets[entry.id] = entry;
    } else {
      outcome.failures.push_back({errc::bad_value,
                                  "accepted: [instance NAME] or [target NAME]",
                                  find_line(text, name, {})});
    }
  }
  if (!outcome.failures.empty()) return outcome;
  list.text = std::make_shared<const std::string>(std::move(text));
  outcome.list = std::move(list);
  return outcome;
}

}  // namespace seamglade
