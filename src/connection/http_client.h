// seamglade - HTTP calls to targets and the platform, for the path through
// owners
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_HTTP_CLIENT_H_
#define SEAMGLADE_SRC_CONNECTION_HTTP_CLIENT_H_

#include <unordered_map>
#include <vector>

#include "connection/call_client.h"
#include "connection/connect_probe.h"
#include "connection/event_handles.h"

namespace seamglade::detail {

struct http_call {
  std::string address;
  std::string method = "GET";
  std::string path = "/";
  std::vector<http_header> headers;
  std::shared_ptr<const std::string> body;
  /** Longest wait for the answer to begin, and between its pieces. */
  duration timeout = 30s;
  /** No byte is written after this time. */
  time_point not_after = time_point::max();
};

/** How a call ended. */
struct http_end {
  /** Whether the answer is complete. */
  bool complete = false;
  /** Whether any byte of the request may have been written. */
  bool written = false;
};

/** What a caller of the client is told, in order. */
struct http_observer {
  /** A piece of the answer; status and headers come with the first. */
  std::function<void(int status, std::vector<http_header> headers,
                     std::shared_ptr<const std::string> data, bool last)>
      on_piece;
  /** Called once, in place of a last piece. */
  std::function<void(http_end end)> on_failure;
};

/** Whether the other side may send an answer again, at any later time. */
enum class repeated_answers : std::uint8_t { possible, never };

/**
 * Makes calls by HTTP/1.1 on one loop; a connection serves one at a time.
 *
 * Answers do not name their call here. Where the other side may repeat them, a
 * connection carries one call, so that no other answer can come on it.
 */
class http_client {
 public:
  using call_token = std::uint64_t;

  http_client(event_base* base, repeated_answers repeats);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /** Begins a call; the observer is called from the loop, never from here. */
  call_token start(http_call call, http_observer observer);
  /** Breaks a call off; on_failure is called from the loop. */
  void cancel(call_token token);
  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct call_state;

  void begin(call_state& state, http_call call);
  call_client::handlers handlers_of(call_state& state);
  void arm(call_state& state);
  static void on_head(call_state& state, const answer_head& head);
  static void on_data(call_state& state, std::string_view data);
  void on_end(call_state& state, call_end how);
  /** Whether an answer that was read to its end is a truncated stream. */
  static bool is_truncated(const call_state& state);
  static void give_piece(call_state& state, bool last);
  void fail(call_token token);
  void fail_later(call_token token);
  void release(call_token token);
  /** Ends a call whose target, tried once more, has not ended with it. */
  void release_if_alive(call_token token);

  event_base* base_;
  repeated_answers repeats_;
  connect_prober prober_;
  call_client client_;
  call_token last_token_ = 0;
  std::unordered_map<call_token, std::unique_ptr<call_state>> calls_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_HTTP_CLIENT_H_
