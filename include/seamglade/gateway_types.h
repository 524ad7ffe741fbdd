// seamglade - value types of the direct path: targets that guard themselves
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_GATEWAY_TYPES_H_
#define SEAMGLADE_GATEWAY_TYPES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** How far two failure domains are from each other; the nearest first. */
enum class proximity : std::uint8_t { same_domain, same_region, other_region };

std::string_view to_string(proximity distance);

/** Returns what goes with a distance; with the own failure domain nothing. */
template <typename Value>
constexpr Value by_distance(proximity distance, Value same_region,
                            Value other_region) {
  switch (distance) {
    case proximity::same_domain:
      return Value{};
    case proximity::same_region:
      return same_region;
    case proximity::other_region:
      break;
  }
  return other_region;
}

/** A service and its part of a route's requests. */
struct service_share {
  std::string service;
  std::uint32_t weight = 1;
};

/** Where requests of a host below a path prefix go, and how. */
struct route {
  std::string name;
  std::string host;
  std::string prefix;
  /** The answer is a series of events. */
  bool stream = false;
  /** The request may run more than once. */
  bool repeatable = false;
  /** A stream may be taken up behind the last event received. */
  bool resumable = false;
  /** The longest time a request may be held. */
  duration timeout{};
  /** The time within which the first byte earns its full worth. */
  duration objective{};
  /** Rank; 0 is the most urgent. */
  std::uint32_t rank = 0;
  /** Most targets that one request may run on. */
  std::uint32_t attempts = 1;
  /** At least one; requests are spread by weight. */
  std::vector<service_share> shares;
  /** Served without a key, also where workspaces are configured. */
  bool is_public = false;
  /** The only regions whose targets may run its requests; none: all may. */
  std::vector<std::string> regions;
};

/** What a workspace's limit counts. */
enum class quota_unit : std::uint8_t {
  requests,
  /** Of the prompt, and the most of the answer. */
  tokens
};

/** Most that a workspace may ask of the whole fleet. */
struct workspace_quota {
  quota_unit unit = quota_unit::requests;
  /** Units a second; 0: no limit. */
  double rate = 0;
  /** Units that may be spent at once beyond the rate. */
  double burst = 0;
  /** What a request counts that does not tell its tokens. */
  std::uint32_t tokens_if_untold = 0;
};

/** Callers that share keys, a rank and a limit. */
struct workspace {
  std::string name;
  /** Hash of the name, by which instances name it to each other. */
  std::uint64_t hash = 0;
  /** Goes before the rank of its requests' routes; none: theirs counts. */
  std::optional<std::uint32_t> rank;
  workspace_quota quota;
  /** As of a route; a request is bound by its route's and by these. */
  std::vector<std::string> regions;
};

/** A base model that engines of a service can hold. */
struct model_profile {
  std::string name;
  double weights_mb = 0;
  double adapter_mb = 0;
  duration load_time{};
};

/** What every engine of a service has. */
struct engine_profile {
  std::uint32_t slots = 0;
  std::uint64_t cache_tokens = 0;
  double weights_mb = 0;
  std::uint32_t adapter_slots = 0;
  /** Loads a second that the weight store permits to the whole fleet. */
  double store_loads_per_second = 0;
  std::vector<model_profile> models;

  const model_profile* find(std::string_view model) const;
};

struct service_profile {
  std::string name;
  std::string health_path;
  /** Connections that a target accepts from all callers together. */
  std::uint32_t max_connections = 0;
  /** None for a plain service. */
  std::optional<engine_profile> engine;
  /** How long a target is cold after its start; zero: it never is. */
  duration cold_time{};
  /** Requests a second that a cold target bears; it fails well above that. */
  double cold_rate = 0;
};

/** Bounds on what a caller may send, and how long it may take or rest. */
struct caller_limits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  duration header_timeout = 3s;
  duration idle_timeout = 15s;
};

/** The operators' configuration, whole; immutable once read. */
struct configuration {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service_profile, std::less<>> services;
  std::vector<workspace> workspaces;
  /** Index of the workspace that holds a key. */
  std::map<std::string, std::size_t, std::less<>> keys;
  caller_limits limits;

  /** Returns whether requests need a key, but those of public routes. */
  bool is_keyed() const { return !workspaces.empty(); }
  /** Returns the workspace that holds a key; null: none does. */
  const workspace* find_workspace(std::string_view key) const;
  /** Returns the route of the longest prefix of a path; null if none. */
  const route* find_route(std::string_view host, std::string_view path) const;
  const service_profile* find_service(std::string_view name) const;
};

struct adapter_name {
  std::string model;
  /** Empty: the base model itself. */
  std::string adapter;

  /** Returns model/adapter, or the model alone. */
  std::string str() const;
  friend auto operator<=>(const adapter_name&, const adapter_name&) = default;
};

/**
 * Names an adapter in short between instances. Two of one hash would be taken
 * for each other: the worst is a call to a target that refuses what it does not
 * hold, and an adapter that stays loaded for the other's sake.
 */
enum class adapter_hash : std::uint64_t {};

/** Returns the hash of an adapter's full name; the same on every instance. */
adapter_hash hash_of(const adapter_name& name);

/** An adapter that a target holds, at a version. */
struct held_adapter {
  adapter_name name;
  std::uint32_t version = 0;
  friend bool operator==(const held_adapter&, const held_adapter&) = default;
};

/** A base model that a target holds. */
struct held_model {
  std::string name;
  std::uint32_t version = 0;
  friend bool operator==(const held_model&, const held_model&) = default;
};

/** What the platform's store says of one target. */
struct target_entry {
  target_id id;
  std::string service;
  /** IP:port. */
  std::string address;
  std::string failure_domain;
  /** Version of the target's own software; empty: not told. */
  std::string software;
  bool draining = false;
  std::uint32_t slots = 0;
  /** How much longer it was cold when this was written. */
  duration cold_left{};
  /** Unix milliseconds of its start; 0: not told. */
  std::uint64_t started_ms = 0;
  /** Rises with what the target writes in one life; 0: not told. */
  std::uint64_t sequence = 0;
  std::vector<held_model> models;
  std::vector<held_adapter> adapters;
};

/** An operator's word that an adapter is to be used at a version from now. */
struct adapter_version {
  adapter_name name;
  std::uint32_t version = 0;
};

/** The operators' word that a failure domain's targets are to get nothing. */
struct evacuation {
  std::string failure_domain;
};

/** What a target reports of itself. */
struct engine_report {
  /** Orders carried out since the target's start. */
  std::uint64_t sequence = 0;
  /** An order about a base model is under way. */
  bool busy = false;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::vector<held_model> models;
  std::vector<held_adapter> adapters;
  /** Loads of adapters that are under way. */
  std::vector<held_adapter> pending;
};

/** A part of a prompt, as a request names it or as a target keeps it. */
struct prompt_part {
  /** Empty: none. */
  std::string id;
  std::uint64_t tokens = 0;

  friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

enum class engine_order_kind : std::uint8_t { load, unload };

/** An order to a target about a base model or an adapter. */
struct engine_order {
  engine_order_kind kind = engine_order_kind::load;
  adapter_name what;
  /** None: the newest. */
  std::optional<std::uint32_t> version;
  instance_id holder;
  std::uint64_t fence = 0;
};

enum class engine_order_status : std::uint8_t {
  started,    // under way
  done,       // holds already
  busy,       // another order is under way, or no place for one more load
  fenced,     // a higher fence was seen
  misplaced,  // another target has the address
  rejected,   // no such order
  unanswered  // it may have been taken
};

std::string_view to_string(engine_order_status status);

/**
 * Names a history of the platform's store. It rises each time that the store is
 * restored from a copy: revisions after that one were lost, and are given out
 * again for other changes. 0: not told.
 */
using store_epoch = std::uint64_t;

/** How far the store has come: of two, the later epoch counts first. */
struct store_position {
  store_epoch epoch = 0;
  std::uint64_t revision = 0;

  friend auto operator<=>(const store_position&,
                          const store_position&) = default;
};

/** One item of the platform's store; no value: it was deleted. */
struct store_item {
  std::string key;
  std::uint64_t revision = 0;
  std::optional<std::string> value;

  friend bool operator==(const store_item&, const store_item&) = default;
};

/** Items in the order of their revisions, and how far they reach. */
struct store_answer {
  std::vector<store_item> items;
  std::uint64_t revision = 0;
  /** A range that goes on behind its last key. */
  bool more = false;
  /** Key of the last item that came, read here or not; empty: none came. */
  std::string last_key;
  /** Items that came, read here or not. */
  std::size_t received = 0;

  /** Nothing has changed, not even an item that is not read here. */
  bool is_quiet() const { return received == 0 && items.empty(); }
};

/** A part of the store. */
enum class store_scope : std::uint8_t {
  everything,
  /** What the operators write: seldom, and to be in force soon. */
  operators,
  /** The entries of targets. */
  targets
};

/** How far an instance knows the store. */
struct copy_extent {
  /** Everything up to this revision. */
  std::uint64_t revision = 0;
  /** What the operators wrote, up to this one. */
  std::uint64_t operators = 0;

  friend bool operator==(const copy_extent&, const copy_extent&) = default;
};

/** What the platform's headers say of a caller's request. */
struct request_facts {
  std::string id;
  std::optional<duration> deadline;
  /** Empty for a plain service. */
  adapter_name adapter;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  /** The two above were told. */
  bool tells_tokens = false;
  /** What the caller shows to be let in; empty: nothing. Never logged. */
  std::string key;
  /** The shared part of the prompt that ends last; empty: none. */
  std::string prompt_prefix;
  /** Parts of the prompt but the last, which is the request's own; in order. */
  std::vector<std::string> prompt_parts;
  /** The last part of the prompt: the request's own, or its session's. */
  prompt_part last_part;
  /** Tokens of all its parts. */
  std::uint64_t parts_tokens = 0;
  /** The last event that the caller has; empty: none. */
  std::string last_event;
  /** The earlier request that brought the stream's first event; empty: none. */
  std::string resumes;

  /** Whether the caller goes on with a stream of an earlier request. */
  bool takes_up() const { return !resumes.empty() || !last_event.empty(); }
};

/** What a target says of itself beside its answer to one request. */
struct target_word {
  /** It ends soon, and is to get nothing new. */
  bool is_leaving = false;
  /** It wants no request from this instance for so long; zero: not said. */
  duration rest{};
  /**
   * It takes so many requests a second of all instances together; none: not
   * said. Above zero.
   */
  std::optional<double> limit = {};

  friend bool operator==(const target_word&, const target_word&) = default;
};

/** What the platform's headers say of a target's answer. */
struct answer_facts {
  std::string request_id;
  bool is_signed = false;
  /** The target says that it did not run the request. */
  bool not_run = false;
  target_word word;
};

/** What a target is told beside the caller's own headers. */
struct call_facts {
  target_id target;
  /** Callers show keys, which are not for targets. */
  bool is_keyed = false;
  /** The workspace that holds the caller's key; empty: none. */
  std::string workspace;
  duration remaining{};
  std::optional<std::uint32_t> adapter_version;
  std::optional<std::uint32_t> priority;
  std::string last_event;
};

/**
 * Names what may end the targets that run it, on each of its returns: a
 * caller's request, or a part of prompts that many requests have.
 */
struct request_fingerprint {
  /** Hash of its workspace; 0: callers show no key, and are not told apart. */
  std::uint64_t caller = 0;
  /** Hash of method, host, path and body, or query; or of the part's id. */
  std::uint64_t content = 0;
  /** Place of the part in the prompt, from 1; 0: a whole request. */
  std::uint8_t part = 0;

  constexpr bool is_part() const { return part > 0; }

  friend auto operator<=>(const request_fingerprint&,
                          const request_fingerprint&) = default;
};

/**
 * Names a stream over a caller's tries: hash of its workspace and of the id of
 * the request that brought its first event.
 */
using stream_key = std::uint64_t;

/** Hash of a service's name, and of a version of its targets' software. */
using service_hash = std::uint64_t;
using software_hash = std::uint64_t;

/** Where a stream began: it may go on only at this service and version. */
struct stream_origin {
  service_hash service = 0;
  /** 0: nobody can tell which version it was. */
  software_hash software = 0;

  bool is_certain() const { return software != 0; }
  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/** Returns the hash of a version, never 0; none that is told is a version. */
software_hash hash_of_software(std::string_view version);

/** What an instance tells of a request that it hands on to another. */
struct relayed_request {
  /** IPv4 number of the instance that handed it on, in host order. */
  std::uint32_t from = 0;
  /** Targets on which it may have run before. */
  std::uint32_t runs = 0;
  /** This instance can't help with it: another may. */
  bool is_no_help = false;
  /** Where the stream began that it goes on with; none: not told. */
  std::optional<stream_origin> origin = {};
};

/** A caller's request as it was read; passed on unchanged. */
struct caller_message {
  std::string method;
  /** Path and query. */
  std::string target;
  std::string host;
  /** Headers that concern the request, not the connection. */
  std::vector<http_header> headers;
  std::shared_ptr<const std::string> body;
  /** IPv4 number, in host order, that its connection comes from; for the log.
   */
  std::uint32_t caller_address = 0;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_GATEWAY_TYPES_H_
