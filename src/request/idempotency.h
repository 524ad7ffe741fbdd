// seamglade - idempotency keys seen by the owner of a target
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_REQUEST_IDEMPOTENCY_H_
#define SEAMGLADE_SRC_REQUEST_IDEMPOTENCY_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "seamglade/types.h"

namespace seamglade::detail {

using unix_time = std::chrono::milliseconds;

/** Returns the time in a UUIDv7, or nullopt if the text is none. */
std::optional<unix_time> uuid7_time(std::string_view text);

/** How long keys are remembered; older keys are refused unrun. */
inline constexpr auto kKeyMemory = std::chrono::minutes(30);

/**
 * Keys of requests that ran or may have run on one target.
 *
 * A key that is older than this table's knowledge is refused as unknown: a
 * former owner may have run it.
 */
class idempotency_table {
 public:
  /** Sets from when on this table knows every key that was used. */
  void complete_from(unix_time from);

  /** Returns why a key must not run now, or nullopt; clocks may be off by
   * `skew`. */
  std::optional<refusal_reason> check(const std::string& key, unix_time now,
                                      unix_time skew) const;
  /** Remembers a key before its request is sent. */
  void insert(const std::string& key, unix_time now);
  /** Forgets a key whose request is proved not to have run. */
  void erase(const std::string& key);

 private:
  void forget_old(unix_time now);

  std::unordered_map<std::string, unix_time> keys_;
  std::multimap<unix_time, std::string> by_age_;
  unix_time complete_from_{};
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_REQUEST_IDEMPOTENCY_H_
