// seamglade - what the files of the direct path's world share
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_FAKES_GATEWAY_WORLD_IMPL_H_
#define SEAMGLADE_FAKES_GATEWAY_WORLD_IMPL_H_

#include <fmt/format.h>

#include <algorithm>
#include <deque>

#include "gateway_world.h"

namespace seamglade::fakes {

using namespace gateway;  // NOLINT: the world is made of the gateway's types
namespace event = gateway::event;
namespace action = gateway::action;
using gateway::any_action;
using gateway::any_event;

inline constexpr duration kLinkDelay = 1ms;
/** What a datagram takes longer where regions are named: 2 and 8 ms in all. */
inline constexpr duration kRegionDelay = 1ms;
inline constexpr duration kFarDelay = 7ms;
/** A caller gives up so long after the time its call was to be held. */
inline constexpr duration kStoreTimeout = 1500ms;
/** ... and so long after it asked for a copy. */
inline constexpr duration kCopyTimeout = 1000ms;
/** Bytes of the IP and UDP heads. */
inline constexpr std::size_t kDatagramHead = 28;
inline constexpr std::string_view kModel = "m0";
/** Unix time at which a world begins. */
inline constexpr std::uint64_t kFirstStartMs = 1'790'000'000'000;

inline std::string header_of(const std::vector<http_header>& headers,
                             std::string_view name) {
  for (const auto& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

/** Returns the caller that an action answers; none: another action. */
std::optional<caller_id> relayed_caller(const any_action& any);

/** A connection of an instance to the store or to another instance. */
struct fake_connection {
  /** How often open connections had fallen silent when it was opened. */
  std::size_t silences = 0;
  /** Of the instance that it leads to. */
  std::uint64_t life = 0;
};

/** An instance's idle connections, by what they lead to. */
class kept_connections {
 public:
  /** In place of a member's address. */
  static constexpr member_address kStore = 0;

  /** Returns the connection used last, or `opened` where none is kept. */
  fake_connection take(member_address to, const fake_connection& opened);
  void keep(member_address to, const fake_connection& c) {
    idle_[to].push_back(c);
  }
  void close(member_address to) { idle_.erase(to); }
  void close_all() { idle_.clear(); }

 private:
  std::map<member_address, std::vector<fake_connection>> idle_;
};

struct gateway_world::instance {
  member_address address = 0;
  std::string domain;
  std::unique_ptr<gateway_core> core;
  std::uint64_t life = 0;
  bool cut = false;
  /** Instances of different sides do not reach each other. */
  int side = 0;
  bool store_denied = false;
  bool connections_denied = false;
  kept_connections kept;
  /** A call to the store under way, and what carries it. */
  struct store_call {
    store_watch watch;
    fake_connection by;
    /** When it is given up. */
    time_point until;
  };
  std::map<store_call_id, store_call> store_calls;
  target_cut targets_cut = target_cut::none;
  time_point frozen_until;
  time_point disturbed;
  /** Its last start, or the end of its last freeze. */
  time_point halted;
  /** A planned stop has begun: by the rules' words it is out of touch. */
  bool stopping = false;
  std::set<call_id> cancelled;
  /** What the orders of a series are about, and the last series of each. */
  using ordered_adapter = std::pair<target_id, gateway::adapter_name>;
  std::map<std::uint64_t, ordered_adapter> series;
  std::map<ordered_adapter, std::uint64_t> last_series;
  /** What was sent before has left by then. */
  time_point link_free_at;
};

/** A stream that an engine sends. */
struct gateway_world::stream_run {
  member_address who = 0;
  std::uint64_t life = 0;
  call_id call = 0;
  std::string request;
  target* at = nullptr;
  std::size_t blackouts = 0;
  fake_stream how;
  std::string text;
  /** Where its events end. */
  std::vector<std::size_t> event_ends;
  std::size_t sent = 0;
  bool is_begun = false;
  bool is_over = false;
  /** Bytes that the caller had before. */
  std::size_t had = 0;
};

struct gateway_world::target {
  std::string id;
  std::string service;
  std::string address;
  std::string domain;
  bool engine = false;
  std::string software;
  /** Its start in Unix ms, and how often it has written its entry since. */
  std::uint64_t born_ms = 0;
  std::uint64_t beats = 0;
  bool listed = true;
  bool draining = false;
  time_point leaves_after;
  bool broken = false;
  double lost_answers = 0;
  /** Without power; how often it was: answers under way are lost then. */
  bool dark = false;
  std::size_t blackouts = 0;
  /** It has ended: connections to it are refused. */
  bool down = false;
  /** Calls that are not answered yet. */
  struct open_call {
    member_address who = 0;
    std::uint64_t life = 0;
    call_id call = 0;
    std::string content;
    /** Of what is sent piece by piece. */
    std::shared_ptr<stream_run> stream = {};
  };
  std::vector<open_call> open_calls;
  /** Its answers say that it leaves, whatever its entry says. */
  bool says_leaving = false;
  /** Until then it turns all requests away, in these words. */
  time_point turns_away_until;
  fake_rest rest;
  fake_limit limit;
  std::size_t answers = 0;
  /** The limits it named, since when; the first of each naming judges. */
  std::vector<std::pair<time_point, double>> limits;
  struct arrival {
    time_point when;
    /** From an instance that had been told of the limit. */
    bool is_told = false;
  };
  std::deque<arrival> arrivals;
  /** What an instance was told by an answer, in one life. */
  struct heard_word {
    std::uint64_t life = 0;
    time_point leaving_since = time_point::max();
    /** It is to get nothing from `rest_from` to `rest_until`. */
    time_point rest_from = time_point::max();
    time_point rest_until;
    std::size_t in_rest = 0;
    time_point limit_since = time_point::max();
  };
  std::map<member_address, heard_word> told;
  duration slower{};
  double cut_streams = 0;
  std::optional<fake_stream> streams;
  bool has_model = true;
  bool busy = false;
  std::map<std::string, std::uint32_t> adapters;
  std::map<std::string, std::pair<time_point, std::uint32_t>> pending;
  std::map<std::string, std::size_t> running;
  /** Tokens that it keeps of each part of prompts, by adapter. */
  std::map<std::string, std::map<std::string, std::uint64_t>> contents;
  /** It does not answer who asks for these. */
  bool fails_lists = false;
  std::uint64_t sequence = 0;
  std::uint64_t highest_fence = 0;
  std::map<std::uint64_t, std::string> fence_holders;
  std::string last_holder;
  time_point last_order;
  bool last_in_touch = false;
  std::size_t holder_changes = 0;
  std::size_t runs = 0;
  std::size_t orders = 0;
  time_point cold_until;
  /** All have had time to hear that it is cold. */
  time_point cold_known_from;
  /** When requests came while it was known to be cold, of the last second. */
  std::deque<time_point> cold_arrivals;
  /** When each request at a plain target is done. */
  std::vector<time_point> ends;
  /** Reports are as old as the first of these. */
  std::vector<std::pair<time_point, engine_report>> history;

  /** A version that replaces another takes no place of its own. */
  std::size_t places_taken() const {
    std::size_t taken = adapters.size();
    for (const auto& [name, load] : pending) {
      if (!adapters.contains(name)) ++taken;
    }
    return taken;
  }

  engine_report report() const {
    engine_report out;
    out.sequence = sequence;
    out.busy = busy;
    if (has_model) out.models.push_back({std::string(kModel), 1});
    for (const auto& [name, version] : adapters) {
      out.adapters.push_back({{std::string(kModel), name}, version});
    }
    for (const auto& [name, load] : pending) {
      out.pending.push_back({{std::string(kModel), name}, load.second});
    }
    return out;
  }
};

}  // namespace seamglade::fakes

#endif  // SEAMGLADE_FAKES_GATEWAY_WORLD_IMPL_H_
