// seamglade - what the stand-ins share, and their command line
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "standin.h"

#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace seamglade::standin {

server::server(const options& settings)
    : settings_(settings),
      base_(event_base_new()),
      http_(evhttp_new(base_.get())) {
  evhttp_set_allowed_methods(http_.get(), 0x7f);
  evhttp_set_gencb(
      http_.get(),
      [](evhttp_request* request, void* arg) {
        detail::set_no_delay(
            bufferevent_getfd(evhttp_connection_get_bufferevent(
                evhttp_request_get_connection(request))));
        static_cast<server*>(arg)->on_request(request);
      },
      this);
}

bool server::run() {
  const auto at = detail::parse_endpoint(settings_.listen);
  if (!at) return false;
  auto* socket = evhttp_bind_socket_with_handle(
      http_.get(), at.value().host.c_str(), at.value().port);
  if (socket == nullptr) return false;
  fmt::print("listening {}\n",
             detail::bound_endpoint(evhttp_bound_socket_get_fd(socket)).str());
  std::fflush(stdout);
  std::signal(SIGPIPE, SIG_IGN);
  const detail::event_handle on_term(evsignal_new(
      base_.get(), SIGTERM,
      [](evutil_socket_t, short, void* arg) {
        event_base_loopbreak(static_cast<event_base*>(arg));
      },
      base_.get()));
  event_add(on_term.get(), nullptr);
  event_base_dispatch(base_.get());
  // Closing connections calls back into the derived object.
  http_.reset();
  return true;
}

void server::after(duration wait, std::function<void()> task) {
  detail::run_after(base_.get(), wait, std::move(task));
}

void server::on_close(evhttp_request* request, std::function<void()>* gone) {
  auto* connection = evhttp_request_get_connection(request);
  if (gone == nullptr) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    return;
  }
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection*, void* arg) {
        (*static_cast<std::function<void()>*>(arg))();
      },
      gone);
}

std::string server::path_of(evhttp_request* request) {
  const std::string uri = evhttp_request_get_uri(request);
  return uri.substr(0, uri.find('?'));
}

std::string server::method_of(evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "POST";
  }
}

std::string server::header_of(evhttp_request* request, const char* name) {
  const auto* value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

std::string server::body_of(evhttp_request* request) {
  return *detail::take_all(evhttp_request_get_input_buffer(request));
}

std::string server::query_of(evhttp_request* request, const char* name) {
  evkeyvalq pairs{};
  const auto* query =
      evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  if (query == nullptr || evhttp_parse_query_str(query, &pairs) != 0) {
    return {};
  }
  const auto* value = evhttp_find_header(&pairs, name);
  std::string found = value == nullptr ? "" : value;
  evhttp_clear_headers(&pairs);
  return found;
}

void server::answer(evhttp_request* request, int status, const json& body) {
  answer_text(request, status, "application/json", body.dump());
}

void server::answer_text(evhttp_request* request, int status, const char* type,
                         const std::string& text) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    type);
  auto* data = evbuffer_new();
  evbuffer_add(data, text.data(), text.size());
  evhttp_send_reply(request, status, nullptr, data);
  evbuffer_free(data);
}

namespace {

int run_main(int argc, char** argv) {
  namespace po = boost::program_options;
  options settings;
  std::string kind;
  std::int64_t load_ms = 0;
  std::int64_t token_us = 0;
  po::options_description all("options");
  all.add_options()("help", "show this text")(
      "kind", po::value(&kind)->required(), "engine, plain or config")(
      "listen", po::value(&settings.listen)->default_value("127.0.0.1:0"),
      "address; port 0: any")("slots",
                              po::value(&settings.slots)->default_value(4),
                              "adapters an engine holds")(
      "load-ms", po::value(&load_ms)->default_value(100), "time of a load")(
      "token-us", po::value(&token_us)->default_value(5000),
      "time between tokens")("tokens",
                             po::value(&settings.tokens)->default_value(8),
                             "tokens of an answer that names no max_tokens");
  po::positional_options_description first;
  first.add("kind", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(first)
                  .run(),
              values);
    if (values.count("help") > 0) {
      std::cout << all;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& wrong) {
    std::cerr << wrong.what() << "\n";
    return 2;
  }
  settings.load_time = std::chrono::milliseconds(load_ms);
  settings.token_time = std::chrono::microseconds(token_us);
  std::unique_ptr<server> chosen;
  if (kind == "engine") chosen = make_engine(settings);
  if (kind == "plain") chosen = make_plain_service(settings);
  if (kind == "config") chosen = make_config_service(settings);
  if (chosen == nullptr) {
    std::cerr << "kind: accepted: engine, plain, config\n";
    return 2;
  }
  return chosen->run() ? 0 : 1;
}

}  // namespace
}  // namespace seamglade::standin

int main(int argc, char** argv) {
  return seamglade::standin::run_main(argc, argv);
}
