// seamglade - the interface to a platform's own names and encodings
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_DIALECT_H_
#define SEAMGLADE_DIALECT_H_

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "seamglade/gateway_types.h"

namespace seamglade::gateway {

/** An item that the gateway has no use for. */
struct unrelated_item {};

/** What an item of the platform's store stands for. */
using item_content = std::variant<unrelated_item, configuration, target_entry,
                                  adapter_version, evacuation>;

/**
 * Translates between the product's types and a platform's protocol.
 *
 * Pure functions: no state, no I/O, no decisions. An implementation lives in
 * platform/; nothing else knows the platform's names.
 */
class dialect {
 public:
  virtual ~dialect() = default;

  /** Reads a caller's headers; fails with bad_value. */
  virtual result<request_facts> read_request(
      const std::vector<http_header>& headers) const = 0;
  /** Returns the header that carries a request's id, also in answers. */
  virtual std::string_view request_id_header() const = 0;
  virtual answer_facts read_answer(
      int status, const std::vector<http_header>& headers) const = 0;
  /** Reads what any answer of a target says of it, also to an order. */
  virtual target_word read_word(
      int status, const std::vector<http_header>& headers) const = 0;
  /** Returns the headers that a target gets for a caller's request. */
  virtual std::vector<http_header> call_headers(
      const std::vector<http_header>& from_caller,
      const call_facts& facts) const = 0;

  /**
   * Returns the headers with which a caller's request is handed on to another
   * instance. `last_event`: empty, the caller's own stands.
   */
  virtual std::vector<http_header> relay_headers(
      const std::vector<http_header>& from_caller, duration remaining,
      const std::string& last_event) const = 0;

  /** Paths of the store: changes behind a revision, all items in pages. */
  virtual std::string watch_path(store_scope scope, std::uint64_t after,
                                 duration wait) const = 0;
  virtual std::string range_path(store_scope scope,
                                 std::string_view after_key) const = 0;
  /** Returns the epoch that an answer of the store names; 0: none. */
  virtual store_epoch read_store_epoch(
      const std::vector<http_header>& headers) const = 0;
  /**
   * Reads an answer of the store, without the items that the gateway has no use
   * for; fails with bad_value.
   */
  virtual result<store_answer> read_store(std::string_view body) const = 0;
  /** Tells whether the gateway has a use for the item of a key. */
  virtual bool is_read(std::string_view key) const = 0;
  /** Returns what an item means; fails with bad_value. */
  virtual result<item_content> read_item(const store_item& item) const = 0;
  /** Returns the target that a key stands for; none: no target. */
  virtual std::optional<target_id> target_of_key(
      std::string_view key) const = 0;
  /**
   * Returns the failure domain that a key asks to evacuate; it is taken back
   * when the item goes. None: another key.
   */
  virtual std::optional<std::string> evacuated_by_key(
      std::string_view key) const = 0;

  virtual std::string report_path() const = 0;
  /** Returns the headers of a question to one target. */
  virtual std::vector<http_header> question_headers(
      const target_id& target) const = 0;
  virtual result<engine_report> read_report(std::string_view body) const = 0;
  /** Path of the list of the parts of prompts that a target keeps. */
  virtual std::string contents_path() const = 0;
  virtual result<std::vector<prompt_part>> read_contents(
      std::string_view body) const = 0;
  virtual std::string order_path() const = 0;
  virtual std::string order_body(const engine_order& order) const = 0;
  /** Returns the headers of an order to one target. */
  virtual std::vector<http_header> order_headers(
      const target_id& target) const = 0;
  virtual engine_order_status order_status(int status) const = 0;
};

/** Returns the dialect of the users' platform. */
std::unique_ptr<dialect> make_platform_dialect();

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_DIALECT_H_
