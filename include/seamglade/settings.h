// seamglade - the checked tree of settings that operators publish
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SETTINGS_H_
#define SEAMGLADE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "seamglade/types.h"

namespace seamglade {

/** Levels of the tree; a node inherits from the node one level up. */
enum class tree_level : std::uint8_t { root, site, service, model, adapter };

std::string_view to_string(tree_level level);

enum class value_kind : std::uint8_t {
  boolean,   // yes or no
  integer,   // whole number in [low, high]
  span,      // 250ms, 2s, 5min or 1h, in [low, high] milliseconds
  text,      // letters, digits, dot, dash and underscore
  choice,    // one of the words in `words`, divided by |
  versions,  // whole numbers from 1, divided by spaces
  hours,     // HH:MM-HH:MM, or empty
  address    // IP number and port
};

/** What a key of a document may hold, and where it may stand. */
struct key_spec {
  std::string_view name;
  value_kind kind;
  std::int64_t low;
  std::int64_t high;
  std::string_view words;
  std::string_view fallback;
  tree_level highest;
  tree_level deepest;
  std::string_view help;
};

/** Returns the keys of the tree of settings. */
std::span<const key_spec> settings_schema();

/** Returns the accepted range of a key, for a person. */
std::string accepted_range(const key_spec& key);

/** Checks one value; fails with bad_value and the accepted range. */
result<void> check_value(const key_spec& key, std::string_view text);

/** Parses a checked span such as 250ms. */
duration parse_span(std::string_view text);

/** Orders the editions of a document; only a higher one is accepted. */
struct document_stamp {
  /** The number its authors gave it. */
  std::uint64_t version = 0;
  /** The index under which the configuration service published it. */
  std::uint64_t index = 0;
  std::uint64_t digest = 0;

  friend auto operator<=>(const document_stamp&,
                          const document_stamp&) = default;
};

/** One key of one section, with the line it stands on. */
struct ini_entry {
  std::string key;
  std::string value;
};
struct ini_section {
  std::string name;
  std::vector<ini_entry> entries;
};

/** Reads an INI text; failures carry the line. */
std::vector<ini_section> read_ini(const std::string& text,
                                  std::vector<failure>& failures);

/** Returns the line of a key of a section (of the section, if no key). */
int find_line(const std::string& text, std::string_view section,
              std::string_view key);

/** A document of the tree that has passed its checks. */
struct settings_document {
  std::string name;
  std::string branch;
  document_stamp stamp;
  std::vector<ini_section> sections;
  std::shared_ptr<const std::string> text;
};

/** The outcome of a check: a document, or every fault found in it. */
struct document_check {
  std::optional<settings_document> document;
  std::vector<failure> failures;
};

/** Checks a whole document; `index` is its publication index. */
document_check check_document(std::string name, std::string text,
                              std::uint64_t index);

/** The settings in force for a service or one of its models. */
struct service_settings {
  bool managed = false;
  bool plain = false;
  bool checks_orders = false;
  std::uint32_t slots = 0;
  std::uint32_t max_concurrency = 0;
  std::uint32_t max_queue = 0;
  std::uint32_t service_concurrency = 0;
  std::uint32_t caller_concurrency = 0;
  std::uint64_t max_body = 0;
  duration request_limit{};
  duration urgent_deadline{};
  duration deferred_deadline{};
  std::string weight_store;
  std::uint32_t store_rate = 0;
  std::uint32_t store_parallel = 0;
  duration load_estimate{};
  duration load_timeout{};
  duration load_backoff{};
  duration load_backoff_max{};
  std::uint32_t eject_failures = 0;
  duration eject_time{};
  std::uint32_t stall_weight = 0;
  std::uint32_t batch_weight = 0;
  std::uint32_t peak_stall_weight = 0;
  std::uint32_t peak_batch_weight = 0;
  /** Minutes of the day; both zero where no hours are set. */
  std::uint32_t peak_from = 0;
  std::uint32_t peak_to = 0;
  std::uint32_t replicas_max = 0;
  duration lease{};
  duration clock_margin{};
  duration list_wait{};
  std::uint32_t retry_budget = 0;
  duration key_skew{};
};

/** A value and the node of the tree that it came from. */
struct explained_value {
  std::string_view key;
  std::string value;
  /** Path of the node, or "default". */
  std::string origin;
};

/** The tree that the accepted documents make together; immutable. */
class settings_tree {
 public:
  explicit settings_tree(
      const std::map<std::string, settings_document>& documents);

  /** Returns a value and where it came from; the path need not be a node. */
  explained_value value(std::string_view path, std::string_view key) const;
  /** Returns every value in force at a path. */
  std::vector<explained_value> explain(std::string_view path) const;
  /** Returns the typed settings of a service or model; kept once made. */
  const service_settings& at(std::string_view path) const;
  /** Returns whether a path is a node of the tree. */
  bool has(std::string_view path) const;
  /** Returns whether an adapter at one version is declared below a service. */
  bool declares(std::string_view service, const adapter_ref& adapter) const;
  /** Returns whether an adapter is never to be unloaded. */
  bool pinned(std::string_view service, const adapter_ref& adapter) const;
  /** Returns the services that have a node for a base model, in order. */
  std::vector<std::string> services_of(std::string_view base) const;
  std::size_t size() const { return nodes_.size(); }

 private:
  struct value_slot {
    std::uint8_t key;
    std::string value;
  };
  using node = std::vector<value_slot>;

  const std::string* find(std::string_view path, std::uint8_t key) const;

  std::unordered_map<std::string, node> nodes_;
  std::map<std::string, std::vector<std::string>, std::less<>> services_;
  mutable std::map<std::string, service_settings, std::less<>> resolved_;
};

}  // namespace seamglade

#endif  // SEAMGLADE_SETTINGS_H_
