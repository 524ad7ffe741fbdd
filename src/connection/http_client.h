// seamglade - HTTP calls to targets and the platform, over kept connections
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_HTTP_CLIENT_H_
#define SEAMGLADE_SRC_CONNECTION_HTTP_CLIENT_H_

#include <map>
#include <unordered_map>
#include <vector>

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
  struct connection;
  struct call_state;

  void begin(call_token token);
  std::unique_ptr<connection> idle_connection(const std::string& address);
  void on_headers(call_state& state, evhttp_request* request);
  void gather(call_state& state, evhttp_request* request);
  void on_chunk(call_state& state, evhttp_request* request);
  void on_done(call_state& state, evhttp_request* request);
  /** Whether an answer that was read to its end is a truncated stream. */
  static bool is_truncated(const call_state& state);
  void give_piece(call_state& state, bool last);
  void fail(call_token token);
  void fail_later(call_token token);
  void release(call_token token, bool reusable);
  /** Whether only the close of its connection marks an answer's end. */
  static bool is_end_in_doubt(const call_state& state);
  /** Ends a call whose target, tried once more, has not ended with it. */
  void release_if_alive(call_token token);

  event_base* base_;
  repeated_answers repeats_;
  connect_prober prober_;
  call_token last_token_ = 0;
  std::unordered_map<call_token, std::unique_ptr<call_state>> calls_;
  std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/** Returns the headers of a message, without those of a single hop. */
std::vector<http_header> end_to_end_headers(evkeyvalq* headers);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_HTTP_CLIENT_H_
