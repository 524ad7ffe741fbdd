// seamglade - what the stand-ins share: a loop, an HTTP listener, JSON answers
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_STANDIN_H_
#define SEAMGLADE_STANDIN_STANDIN_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "connection/event_handles.h"

namespace seamglade::standin {

using nlohmann::json;

/** Times and sizes of a stand-in, from its command line. */
struct options {
  std::string listen = "127.0.0.1:0";
  std::uint32_t slots = 4;
  duration load_time = 100ms;
  duration token_time = 5ms;
  std::uint32_t tokens = 8;
};

/** Serves HTTP until SIGTERM; prints "listening IP:PORT" when it does. */
class server {
 public:
  explicit server(const options& settings);
  virtual ~server() = default;
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /** Returns false if the address cannot be bound. */
  bool run();

 protected:
  virtual void on_request(evhttp_request* request) = 0;

  /** Runs a task after a wait. */
  void after(duration wait, std::function<void()> task);
  /** Calls `gone` if the connection of a request closes; empty: no more. */
  static void on_close(evhttp_request* request, std::function<void()>* gone);

  static std::string path_of(evhttp_request* request);
  static std::string method_of(evhttp_request* request);
  static std::string header_of(evhttp_request* request, const char* name);
  static std::string body_of(evhttp_request* request);
  static std::string query_of(evhttp_request* request, const char* name);
  static void answer(evhttp_request* request, int status, const json& body);
  static void answer_text(evhttp_request* request, int status, const char* type,
                          const std::string& text);

  options settings_;
  detail::base_handle base_;

 private:
  detail::http_handle http_;
};

std::unique_ptr<server> make_engine(const options& settings);
std::unique_ptr<server> make_plain_service(const options& settings);
std::unique_ptr<server> make_config_service(const options& settings);

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_STANDIN_H_
