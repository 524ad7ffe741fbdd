// seamglade - reading, checking and resolving the tree of settings
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/settings.h"

// The texts are UTF-8 and stay so.
#define SI_NO_CONVERSION
#include <SimpleIni.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <set>

#include "seamglade/rendezvous.h"

namespace seamglade {
namespace {

constexpr std::string_view kDocumentSection = "document";
constexpr std::size_t kMaxDocumentBytes = 1 << 20;

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return {};
  const auto last = text.find_last_not_of(" \t\r");
  return text.substr(first, last - first + 1);
}

const key_spec* find_key(std::string_view name) {
  for (const auto& key : settings_schema()) {
    if (key.name == name) return &key;
  }
  return nullptr;
}

std::uint8_t key_number(std::string_view name) {
  return static_cast<std::uint8_t>(find_key(name) - settings_schema().data());
}

std::optional<tree_level> level_of(std::string_view path) {
  if (path == "/") return tree_level::root;
  if (path.empty() || path[0] != '/' || path.back() == '/' ||
      path.find("//") != std::string_view::npos) {
    return std::nullopt;
  }
  const auto depth = std::count(path.begin(), path.end(), '/');
  if (depth > 4) return std::nullopt;
  return static_cast<tree_level>(depth);
}

std::string_view parent_of(std::string_view path) {
  if (path == "/") return {};
  const auto slash = path.rfind('/');
  return slash == 0 ? std::string_view("/") : path.substr(0, slash);
}

bool is_below(std::string_view path, std::string_view branch) {
  if (branch == "/") return true;
  return path.substr(0, branch.size()) == branch &&
         (path.size() == branch.size() || path[branch.size()] == '/');
}

std::uint64_t to_number(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/** Collects the faults of one document. */
class checker {
 public:
  checker(const std::string& text, std::vector<failure>& failures)
      : text_(text), failures_(failures) {}

  void fail(errc code, std::string detail, std::string_view section,
            std::string_view key = {}) {
    failures_.push_back(
        {code, std::move(detail), find_line(text_, section, key)});
  }

  void check_header(const ini_section& section, settings_document& document) {
    for (const auto& [key, value] : section.entries) {
      if (key == "version" && to_number(value) > 0) {
        document.stamp.version = to_number(value);
      } else if (key == "branch" && level_of(value)) {
        document.branch = value;
      } else if (key == "version" || key == "branch") {
        fail(errc::bad_value,
             fmt::format("{}: accepted: {}", key,
                         key == "version" ? "a whole number from 1"
                                          : "a path such as /site/service"),
             section.name, key);
      } else {
        fail(errc::unknown_key, key, section.name, key);
      }
    }
  }

  void check_node(const ini_section& section, const std::string& branch) {
    const auto level = level_of(section.name);
    if (!level) {
      return fail(errc::bad_value,
                  fmt::format("section {}: accepted: a path of at most four "
                              "names, as /site/service/model/adapter",
                              section.name),
                  section.name);
    }
    if (!is_below(section.name, branch)) {
      return fail(
          errc::outside_branch,
          fmt::format("section {} is not below {}", section.name, branch),
          section.name);
    }
    std::set<std::string_view> seen;
    for (const auto& entry : section.entries) {
      check_entry(section, entry, *level);
      if (!seen.insert(entry.key).second) {
        fail(errc::bad_value, entry.key + ": set twice in one section",
             section.name, entry.key);
      }
    }
    if (*level == tree_level::adapter && !seen.contains("versions")) {
      fail(errc::missing_key, "versions", section.name);
    }
  }

 private:
  void check_entry(const ini_section& section, const ini_entry& entry,
                   tree_level level) {
    const auto* key = find_key(entry.key);
    if (key == nullptr) {
      return fail(errc::unknown_key, entry.key, section.name, entry.key);
    }
    if (level < key->highest || level > key->deepest) {
      return fail(
          errc::wrong_level,
          fmt::format("{}: accepted from level {} to level {}", key->name,
                      to_string(key->highest), to_string(key->deepest)),
          section.name, entry.key);
    }
    const auto checked = check_value(*key, entry.value);
    if (!checked) {
      fail(checked.error().code, checked.error().detail, section.name,
           entry.key);
    }
  }

  const std::string& text_;
  std::vector<failure>& failures_;
};

}  // namespace

int find_line(const std::string& text, std::string_view section,
              std::string_view key) {
  std::string_view rest = text;
  bool inside = false;
  for (int line = 1; !rest.empty(); ++line) {
    const auto end = std::min(rest.find('\n'), rest.size() - 1);
    const auto current = trim(rest.substr(0, end + 1 - (rest[end] == '\n')));
    rest.remove_prefix(end + 1);
    if (!current.empty() && current.front() == '[') {
      inside = trim(current.substr(1, current.find(']') - 1)) == section;
      if (inside && key.empty()) return line;
    } else if (inside && !key.empty() &&
               trim(current.substr(0, current.find('='))) == key) {
      return line;
    }
  }
  return 0;
}

std::vector<ini_section> read_ini(const std::string& text,
                                  std::vector<failure>& failures) {
  std::vector<ini_section> sections;
  if (text.size() > kMaxDocumentBytes) {
    failures.push_back({errc::bad_ini, "document above 1048576 bytes", 0});
    return sections;
  }
  if (text.find('\0') != std::string::npos) {
    failures.push_back({errc::bad_ini, "document holds a zero byte", 0});
    return sections;
  }
  CSimpleIniCaseA ini(/*utf8=*/true, /*multi_key=*/true);
  ini.SetAllowKeyOnly(true);
  if (ini.LoadData(text) < 0) {
    failures.push_back({errc::bad_ini, "not an INI document", 0});
    return sections;
  }
  CSimpleIniCaseA::TNamesDepend names;
  ini.GetAllSections(names);
  names.sort(CSimpleIniCaseA::Entry::LoadOrder());
  for (const auto& name : names) {
    std::vector<std::pair<int, ini_entry>> ordered;
    for (const auto& [key, value] : *ini.GetSection(name.pItem)) {
      ordered.push_back({key.nOrder, {key.pItem, value}});
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    ini_section section{name.pItem, {}};
    for (auto& [order, entry] : ordered) {
      section.entries.push_back(std::move(entry));
    }
    if (!section.name.empty() || !section.entries.empty()) {
      sections.push_back(std::move(section));
    }
  }
  return sections;
}

document_check check_document(std::string name, std::string text,
                              std::uint64_t index) {
  document_check outcome;
  settings_document document;
  document.name = std::move(name);
  document.sections = read_ini(text, outcome.failures);
  document.stamp.index = index;
  document.stamp.digest = stable_hash(text);
  checker check(text, outcome.failures);
  auto& sections = document.sections;
  const auto header =
      std::find_if(sections.begin(), sections.end(),
                   [](const auto& s) { return s.name == kDocumentSection; });
  if (header != sections.end()) {
    check.check_header(*header, document);
    sections.erase(header);
  }
  if (outcome.failures.empty() && document.stamp.version == 0) {
    check.fail(errc::missing_key, "[document] version", kDocumentSection);
  }
  if (outcome.failures.empty() && document.branch.empty()) {
    check.fail(errc::missing_key, "[document] branch", kDocumentSection);
  }
  for (const auto& section : sections) {
    check.check_node(section, document.branch);
  }
  if (!outcome.failures.empty()) return outcome;
  document.text = std::make_shared<const std::string>(std::move(text));
  outcome.document = std::move(document);
  return outcome;
}

settings_tree::settings_tree(
    const std::map<std::string, settings_document>& documents) {
  std::vector<const settings_document*> order;
  for (const auto& [name, document] : documents) order.push_back(&document);
  // A node that two documents hold comes from the one with the deeper
  // branch, whatever order they arrived in.
  std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) {
    return a->branch.size() < b->branch.size();
  });
  for (const auto* document : order) {
    for (const auto& section : document->sections) {
      node values;
      for (const auto& [key, value] : section.entries) {
        values.push_back({key_number(key), value});
      }
      nodes_[section.name] = std::move(values);
    }
  }
  for (const auto& [path, values] : nodes_) {
    if (level_of(path) != tree_level::model) continue;
    const auto base = path.substr(path.rfind('/') + 1);
    services_[base].emplace_back(parent_of(path));
  }
  for (auto& [base, paths] : services_) std::sort(paths.begin(), paths.end());
}

const std::string* settings_tree::find(std::string_view path,
                                       std::uint8_t key) const {
  const auto it = nodes_.find(std::string(path));
  if (it == nodes_.end()) return nullptr;
  for (const auto& slot : it->second) {
    if (slot.key == key) return &slot.value;
  }
  return nullptr;
}

explained_value settings_tree::value(std::string_view path,
                                     std::string_view key) const {
  const auto* spec = find_key(key);
  if (spec == nullptr) return {key, "", "unknown key"};
  for (auto at = path; !at.empty(); at = parent_of(at)) {
    if (const auto* found = find(at, key_number(key))) {
      return {spec->name, *found, std::string(at)};
    }
  }
  return {spec->name, std::string(spec->fallback), "default"};
}

std::vector<explained_value> settings_tree::explain(
    std::string_view path) const {
  std::vector<explained_value> values;
  const auto level = level_of(path);
  if (!level) return values;
  for (const auto& key : settings_schema()) {
    if (*level >= key.highest) values.push_back(value(path, key.name));
  }
  return values;
}

const service_settings& settings_tree::at(std::string_view path) const {
  if (const auto it = resolved_.find(path); it != resolved_.end()) {
    return it->second;
  }
  const auto text = [&](std::string_view key) {
    return value(path, key).value;
  };
  const auto yes = [&](std::string_view key) { return text(key) == "yes"; };
  const auto number = [&](std::string_view key) {
    return static_cast<std::uint32_t>(to_number(text(key)));
  };
  const auto time = [&](std::string_view key) { return parse_span(text(key)); };
  service_settings s;
  s.managed = yes("managed");
  s.plain = text("kind") == "plain";
  s.checks_orders = yes("checks_orders");
  s.slots = number("slots");
  s.max_concurrency = number("max_concurrency");
  s.max_queue = number("max_queue");
  s.service_concurrency = number("service_concurrency");
  s.caller_concurrency = number("caller_concurrency");
  s.max_body = number("max_body");
  s.request_limit = time("request_limit");
  s.urgent_deadline = time("urgent_deadline");
  s.deferred_deadline = time("deferred_deadline");
  s.weight_store = text("weight_store");
  s.store_rate = number("store_rate");
  s.store_parallel = number("store_parallel");
  s.load_estimate = time("load_estimate");
  s.load_timeout = time("load_timeout");
  s.load_backoff = time("load_backoff");
  s.load_backoff_max = time("load_backoff_max");
  s.eject_failures = number("eject_failures");
  s.eject_time = time("eject_time");
  s.stall_weight = number("stall_weight");
  s.batch_weight = number("batch_weight");
  s.peak_stall_weight = number("peak_stall_weight");
  s.peak_batch_weight = number("peak_batch_weight");
  s.replicas_max = number("replicas_max");
  s.lease = time("lease");
  s.clock_margin = time("clock_margin");
  s.list_wait = time("list_wait");
  s.retry_budget = number("retry_budget");
  s.key_skew = time("key_skew");
  if (const auto peak = text("peak_hours"); !peak.empty()) {
    const auto minute = [&](std::size_t at) {
      return static_cast<std::uint32_t>(
          to_number(std::string_view(peak).substr(at, 2)) * 60 +
          to_number(std::string_view(peak).substr(at + 3, 2)));
    };
    s.peak_from = minute(0);
    s.peak_to = minute(6);
  }
  return resolved_.emplace(std::string(path), std::move(s)).first->second;
}

bool settings_tree::has(std::string_view path) const {
  return nodes_.contains(std::string(path));
}

bool settings_tree::declares(std::string_view service,
                             const adapter_ref& adapter) const {
  const auto* versions =
      find(fmt::format("{}/{}/{}", service, adapter.base, adapter.name),
           key_number("versions"));
  if (versions == nullptr) return false;
  return fmt::format(" {} ", *versions)
             .find(fmt::format(" {} ", adapter.version)) != std::string::npos;
}

bool settings_tree::pinned(std::string_view service,
                           const adapter_ref& adapter) const {
  const auto* pin =
      find(fmt::format("{}/{}/{}", service, adapter.base, adapter.name),
           key_number("pinned"));
  return pin != nullptr && *pin == "yes";
}

std::vector<std::string> settings_tree::services_of(
    std::string_view base) const {
  const auto it = services_.find(base);
  return it == services_.end() ? std::vector<std::string>{} : it->second;
}

}  // namespace seamglade
