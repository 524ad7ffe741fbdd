// seamglade - what an instance of the direct path keeps of others, by matter
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_GATEWAY_STATE_H_
#define SEAMGLADE_SRC_PROCESS_GATEWAY_STATE_H_

#include <optional>
#include <string_view>
#include <vector>

#include "seamglade/controller.h"
#include "seamglade/gateway.h"
#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/** In a large fleet each instance reads what operators write by itself. */
struct operator_watch {
  /** The call under way; 0: none. */
  store_call_id call = 0;
  std::uint64_t after = 0;
  time_point next;
  time_point sent;
  duration wait{};
  /** When the store was last taken to be away. */
  time_point doubted;
  duration after_failure{};
  /** Since when others know of more than the call under way was told. */
  std::optional<time_point> overdue_since;
};

/** A call to the store. */
struct store_call {
  /** 0: none. */
  store_call_id id = 0;
  time_point sent;
  /** How long the store may hold it. */
  duration wait{};
};

/** A copy that a peer is asked for. */
struct copy_fetch {
  /** The calls under way: the later one repeats the other. 0: none. */
  fetch_id call = 0;
  fetch_id earlier = 0;
  member_address from = 0;
  copy_extent known;
  /** The own copy's history when the peer was asked. */
  store_epoch epoch = 0;
  time_point sent;
  bool is_repeated = false;
};

/** What others said that operators have written. */
struct operators_word {
  std::uint64_t revision = 0;
  /** Since when it is known to be lacking here. */
  time_point since;
};

/** A question to the grantor of a target. */
struct grant_ask {
  caller_id caller = 0;
  target_hash target = 0;
  time_point until;
};

/** How far a peer knows the store, as it last said. */
struct peer_state {
  store_position position;
  duration store_age{};
  bool watching = false;
  time_point heard;
};

/** What a target's holder was last told of the interest in it. */
struct sent_interest {
  std::vector<adapter_interest> rows;
  time_point at;
  member_address to = 0;
};

/** What an answer of a target says of it. */
struct heard_answer {
  /** When the target had started that was asked. */
  std::uint64_t life = 0;
  target_word word;
  /** When it was asked. */
  time_point sent;
  /** For the log. */
  std::string_view source;
  /** What it does not name, the target does not say any more. */
  bool tells_all = false;
};

/** What a target said of itself, which others are still to be told. */
struct untold_word {
  std::uint64_t life = 0;
  time_point due;
  unsigned times = 0;
  /** Its rest is over; else what there is to tell is told. */
  bool is_over = false;
};

/** A limit that changed, of which others are still to be told. */
struct untold_limit {
  time_point due;
  unsigned times = 0;
};

/** What an instance was told of a target, and what it knows of it. */
struct told_word {
  time_point at;
  known_word known;
};

/** Who gives a target its orders, as far as was heard. */
struct claim_state {
  member_address holder = 0;
  std::uint64_t fence = 0;
  time_point heard;
  /** The holder said in a planned stop that it gives no more orders. */
  bool handed_over = false;
};

/** An order or a report under way. */
struct engine_call {
  target_id target;
  std::uint64_t fence = 0;
  time_point asked;
  /** When the target had started that was asked. */
  std::uint64_t life = 0;
  /** It is asked for a byte: whether this instance reaches it at all. */
  bool is_witness = false;
};

/** Returns a connection's number as the log takes it. */
inline std::int64_t connection_of(const answer_carrier& carrier) {
  return static_cast<std::int64_t>(carrier.connection);
}

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_GATEWAY_STATE_H_
