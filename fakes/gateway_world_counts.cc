// seamglade - what the direct path's world counts of the word between instances
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

/** Headers of IPv4 and UDP. */
constexpr std::size_t kHeaderBytes = 28;
/** As old as word of a busy engine may be that is asked for anew. */
constexpr std::int64_t kFreshWordMs = 150;

struct kind_name {
  std::string operator()(const gateway::heartbeat&) const {
    return "heartbeat";
  }
  std::string operator()(const interest_message&) const { return "interest"; }
  std::string operator()(const residency_message&) const { return "residency"; }
  std::string operator()(const probe_answer&) const { return "probe_answer"; }
  std::string operator()(const word_message&) const { return "word"; }
  std::string operator()(const grant_request&) const { return "grant"; }
  std::string operator()(const grant_answer&) const { return "grant"; }
  template <typename Other>
  std::string operator()(const Other&) const {
    return "other";
  }
};

}  // namespace

void gateway_world::count_traffic(const peer_message& message,
                                  std::size_t bytes) {
  auto& kind = traffic_by_kind_[std::visit(kind_name{}, message)];
  ++kind.datagrams;
  kind.bytes += bytes + kHeaderBytes;
}

void gateway_world::count_word_age(const action::log_line& line) {
  if (line.event != "dispatch") return;
  bool is_engine = false;
  std::int64_t age_ms = -1;
  for (const auto& field : line.fields) {
    if (field.name == "adapter") {
      is_engine = !std::get<std::string>(field.value).empty();
    }
    if (field.name == "load_age_ms") {
      age_ms = std::get<std::int64_t>(field.value);
    }
  }
  if (!is_engine) return;
  ++word_ages_.dispatched;
  if (age_ms < 0 || age_ms >= kFreshWordMs) ++word_ages_.stale;
}

}  // namespace seamglade::fakes
