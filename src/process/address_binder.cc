// seamglade - an instance's own addresses: bound side by side, tried again
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/address_binder.h"

#include <algorithm>
#include <array>
#include <boost/outcome/try.hpp>

namespace seamglade::detail {

std::string_view to_string(listen_role role) {
  static constexpr std::array<std::string_view, 6> names{
      "callers", "ready", "peers", "datagrams", "metrics", "operators"};
  return names.at(static_cast<std::size_t>(role));
}

address_binder::address_binder(event_base* base, handlers on)
    : base_(base), on_(std::move(on)) {}

result<void> address_binder::start(std::vector<own_address> addresses) {
  for (auto& one : addresses) {
    BOOST_OUTCOME_TRY(where, parse_endpoint(one.address));
    items_.push_back({std::move(one), std::move(where), false, {}, {}});
  }
  started_ = boot_now();
  BOOST_OUTCOME_TRY(try_all());
  counts_.waits = static_cast<std::uint64_t>(
      std::count_if(items_.begin(), items_.end(),
                    [](const auto& one) { return !one.is_bound; }));
  const auto again = [](evutil_socket_t, short, void* self) {
    static_cast<address_binder*>(self)->try_again();
  };
  timer_.reset(event_new(base_, -1, 0, again, this));
  arm();
  tell();
  on_.bound();
  return outcome::success();
}

result<void> address_binder::try_all() {
  for (auto& one : items_) {
    if (one.is_bound) continue;
    if (const auto bound = one.what.bind(one.where); !bound) {
      one.why = bound.error();
      if (one.why.code != errc::cannot_listen_yet) return one.why;
      continue;
    }
    one.is_bound = true;
    last_bound_ = boot_now();
  }
  return outcome::success();
}

void address_binder::try_again() {
  const auto is_unbound = [](const auto& one) { return !one.is_bound; };
  const auto before = std::count_if(items_.begin(), items_.end(), is_unbound);
  counts_.retries += static_cast<std::uint64_t>(before);
  if (const auto tried = try_all(); !tried) {
    on_.failed(tried.error());
    return;
  }
  arm();
  tell();
  if (std::count_if(items_.begin(), items_.end(), is_unbound) < before) {
    on_.bound();
  }
}

void address_binder::arm() {
  if (all_bound()) return;
  const auto wait = to_timeval(kStartRetry);
  event_add(timer_.get(), &wait);
}

void address_binder::tell() {
  const auto now = boot_now();
  for (auto& one : items_) {
    if (one.is_bound || !one.notice.is_due(now)) continue;
    on_.waiting({one.what.role, one.what.address, one.why, now - started_});
  }
}

bool address_binder::is_bound(listen_role role) const {
  return std::any_of(items_.begin(), items_.end(), [&](const auto& one) {
    return one.what.role == role && one.is_bound;
  });
}

bool address_binder::all_bound() const {
  return std::all_of(items_.begin(), items_.end(),
                     [](const auto& one) { return one.is_bound; });
}

}  // namespace seamglade::detail
