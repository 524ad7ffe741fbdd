// seamglade - what a world of the direct path is made of, and what it counts
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_FAKES_GATEWAY_WORLD_TYPES_H_
#define SEAMGLADE_FAKES_GATEWAY_WORLD_TYPES_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "seamglade/gateway.h"

namespace seamglade::fakes {

/** A workspace as the operators publish it; its limit counts tokens. */
struct fake_workspace {
  std::string name;
  std::set<std::string> keys;
  double rate = 0;
  double burst = 0;
  /** The only regions where its requests may run; none: all. */
  std::vector<std::string> regions = {};
};

/** Datagrams over one distance: some kinds, and all with IP's headers. */
struct fake_traffic {
  /** Questions for places at plain targets. */
  std::size_t place_questions = 0;
  std::size_t heartbeats = 0;
  std::size_t heartbeat_bytes = 0;
  std::size_t bytes = 0;
  std::size_t copies = 0;
};

/** What a world is made of. */
struct gateway_world_options {
  std::size_t instances = 5;
  std::size_t engines = 6;
  std::size_t plain_targets = 2;
  std::uint32_t adapter_slots = 4;
  /**
   * Requests that a plain target works on at once, with three times as many in
   * its queue; beyond these it rejects. None: it takes all at once.
   */
  std::uint32_t plain_slots = 0;
  bool fenced = true;
  std::uint64_t seed = 1;
  /** Failure domains of the targets, dealt in turn. */
  std::vector<std::string> target_domains = {"east"};
  /** Software versions of the engines, dealt in turn. */
  std::vector<std::string> software = {"v1"};
  /** Those of the instances, dealt in turn. */
  std::vector<std::string> instance_domains = {"west", "east"};
  /** The region of each failure domain; one that is not named is its own. */
  std::map<std::string, std::string, std::less<>> regions;
  /** The only regions that may run a service's requests; none: all. */
  std::map<std::string, std::vector<std::string>> service_regions;
  /** Objective of streams, in ms; 0: none, so that any queue is too long. */
  std::uint32_t stream_objective_ms = 0;
  bool admission = true;
  /** After this, instances in touch send an evacuated domain nothing. */
  duration evacuation_bound = 1s;
  /** None: callers need no keys. */
  std::vector<fake_workspace> workspaces;
  /** How long a key may run that was taken away. */
  duration key_bound = 5s;
  gateway::quota_bounds quota = {8s, 0.25, 11000};
  /** Callers that take a stream up name the request that began it. */
  bool names_resumed = true;
  /** Plain targets serve resumable streams, too. */
  bool plain_streams = false;
  /** Requests a second that a cold target bears; 0: none is ever cold. */
  double cold_rate = 0;
  duration cold_time = 3s;
  gateway::cold_bounds cold = {1.5, 5};
  /** Most items of a page of the store. */
  std::size_t store_page = 500;
  /** Each so many pages one is refused; 0: none. */
  std::size_t refused_page = 0;
  /** Each so many pages one is empty, with more to come; 0: none. */
  std::size_t empty_page = 0;
  /** The longest that requests of the plain routes may be held. */
  duration plain_timeout = 1500ms;
  /** How long callers wait. */
  duration deadline = 8s;
};

/** One request of a caller and what became of it. */
struct gateway_call {
  std::string id;
  gateway::member_address entry = 0;
  bool repeatable = false;
  std::string adapter;
  std::string key;
  std::uint32_t tokens = 0;
  int status = 0;
  std::string body;
  bool complete = false;
  bool aborted = false;
  duration retry_after{};
  /** What it sent. */
  std::string content;
  /** Parts of its prompt as in the header, and their tokens. */
  std::string parts;
  std::uint32_t prompt_tokens = 100;
  /** The call that this one takes up, which may have taken one up itself. */
  const gateway_call* earlier = nullptr;
  time_point sent;
  time_point ended;

  /** Returns the first call of the stream. */
  const gateway_call& begun_by() const {
    return earlier == nullptr ? *this : earlier->begun_by();
  }
};

/** What a caller sends beside the usual, and where it comes from. */
struct caller_content {
  std::string body = "body";
  /** IPv4 number of its connection. */
  std::uint32_t address = 0;
  /** Parts of its prompt as in the header; empty: it has none. */
  std::string parts = {};
  std::uint32_t prompt_tokens = 100;
};

/** An instance asked a target which parts of prompts it keeps. */
struct asked_list {
  time_point when;
  gateway::member_address who = 0;
  target_id target;
};

/** What a request did that ends the targets that run it. */
struct crash_count {
  /** Targets that it ended. */
  std::size_t ended = 0;
  /** Requests of others that broke with them. */
  std::size_t broken_others = 0;
  /** The third end by a body, the fifth by a part. */
  time_point judged_end;
  /** It reached targets so often later than `contact` after that end. */
  std::size_t late_arrivals = 0;
};

/** How a target turns requests away and asks for rest. */
struct fake_rest {
  /** So long it turns all requests away. */
  duration lasts = 9s;
  /** What it says of it; empty: nothing. */
  std::string text = "3";
  /** What that means. */
  duration asked = 3s;
};

/** The limit that a target names in its answers. */
struct fake_limit {
  /** As it is written; empty: it names none. */
  std::string text;
  /** What that means, in requests a second; 0: nothing. */
  double rate = 0;
  /** Only each so manieth answer names it. */
  std::size_t every = 1;
};

/** How an instance is partitioned from all targets. */
enum class target_cut : std::uint8_t {
  none,
  /** Calls under way and new connections hang. */
  hang,
  /** Calls under way are reset, new connections are refused. */
  reset,
  /** Kept connections live on, new ones are refused. */
  refuse_new,
  /** Something between accepts connections, and resets or keeps them. */
  accept_and_reset,
  accept_and_hang
};

/** How an engine sends its streams, and where it truncates them. */
struct fake_stream {
  gateway::body_framing framing = gateway::body_framing::chunked;
  std::size_t events = 4;
  /** Each event names the software version that wrote it. */
  bool tells_software = false;
  /** Taken in turn, line by line. */
  std::vector<std::string> line_ends = {"\n"};
  /** Sent in place of events, with its media type. */
  std::optional<std::string> other_body = {};
  std::string media_type = "text/event-stream";
  /** Bytes of a piece, at most. */
  std::size_t most_piece = 24;
  /** Each piece is one event. */
  bool sends_whole_events = false;
  /** Time between two pieces, which end anywhere. */
  duration gap = 2ms;
  /** Bytes of the body behind which it truncates; none: it does not. */
  std::optional<std::size_t> cut_at = {};
  /** Share of streams that it truncates behind drawn bytes. */
  double cut_share = 0;
  /** So many bytes come all the same. */
  std::size_t least_drawn_cut = 0;
  enum class ending : std::uint8_t { close, reset, silence };
  ending ends_by = ending::close;
};

/** What was sent to targets against their own word in answers. */
struct unheeded_words {
  /** Requests to one that leaves, later than the bound after its word. */
  std::size_t late = 0;
  /** Requests within a rest, half a second after the word and later. */
  std::size_t in_rest = 0;
  /** Requests that targets turned away. */
  std::size_t turned_away = 0;
  /** Requests beyond a limit that a target named to their instances. */
  std::size_t over_limit = 0;
};

/** What instances sent each other of one kind of message. */
struct peer_traffic {
  std::size_t datagrams = 0;
  /** With the headers of IP and UDP. */
  std::size_t bytes = 0;
};

/** How old the word was by which requests went to engines. */
struct word_age {
  std::size_t dispatched = 0;
  /** Without word of the engine's holder younger than 150 ms. */
  std::size_t stale = 0;
};

}  // namespace seamglade::fakes

#endif  // SEAMGLADE_FAKES_GATEWAY_WORLD_TYPES_H_
