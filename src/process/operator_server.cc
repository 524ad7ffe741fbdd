// seamglade - the operators' HTTP listener: health, status, metrics, drain
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/operator_server.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

#include "connection/listening.h"

namespace seamglade::detail {
namespace {

void send(evhttp_request* request, int status, const char* type,
          std::string text) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    type);
  auto* data = evbuffer_new();
  add_shared(data, std::make_shared<const std::string>(std::move(text)));
  evhttp_send_reply(request, status, nullptr, data);
  evbuffer_free(data);
}

double cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

}  // namespace

operator_server::operator_server(event_base* base, instance_id instance,
                                 operator_observer observer)
    : instance_(std::move(instance)),
      observer_(std::move(observer)),
      http_(evhttp_new(base)) {
  evhttp_set_gencb(
      http_.get(),
      [](evhttp_request* request, void* arg) {
        static_cast<operator_server*>(arg)->on_request(request);
      },
      this);
}

result<endpoint> operator_server::listen(const endpoint& at) {
  BOOST_OUTCOME_TRY(socket, listen_with(http_.get(), at));
  return bound_endpoint(evhttp_bound_socket_get_fd(socket));
}

void operator_server::on_request(evhttp_request* request) {
  const std::string_view path = evhttp_request_get_uri(request);
  const bool is_post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
  if (path == "/health") {
    return send(request, 200, "text/plain", "ok\n");
  }
  if (path == "/ready") {
    const bool ready = observer_.status().ready;
    return send(request, ready ? 200 : 503, "text/plain",
                ready ? "ready\n" : "not ready\n");
  }
  if (path == "/status") {
    return send(request, 200, "application/json", status_json());
  }
  if (path == "/metrics") {
    return send(request, 200, "text/plain; version=0.0.4", metrics());
  }
  if (path == "/drain" && is_post) {
    observer_.drain();
    return send(request, 202, "text/plain", "draining\n");
  }
  send(request, path == "/drain" ? 405 : 404, "text/plain",
       "accepted: GET /health /ready /status /metrics, POST /drain\n");
}

std::string operator_server::status_json() const {
  const auto s = observer_.status();
  nlohmann::ordered_json out{
      {"instance", instance_},
      {"ready", s.ready},
      {"draining", s.draining},
      {"peers_up", s.peers_up},
      {"callers_waiting", s.callers_waiting},
      {"requests_served", s.requests_served},
      {"settings_index", s.settings_index},
      {"settings_digest", fmt::format("{:016x}", s.settings_digest)}};
  out["targets"] = nlohmann::ordered_json::array();
  for (const auto& target : s.targets) {
    out["targets"].push_back({{"id", target.id},
                              {"owner", target.owner},
                              {"role", target.role},
                              {"running", target.running},
                              {"queued", target.queued},
                              {"loaded", target.loaded}});
  }
  return out.dump() + "\n";
}

std::string operator_server::metrics() {
  prometheus::Registry registry;
  const auto s = observer_.status();
  const auto t = observer_.traffic();
  const auto counter = [&](const char* name, const char* help, double value) {
    prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({})
        .Increment(value);
  };
  const auto gauge = [&](const char* name, const char* help, double value) {
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({})
        .Set(value);
  };
  counter("seamglade_answered_total", "Requests answered in full.",
          static_cast<double>(s.answered));
  counter("seamglade_not_run_total", "Requests refused as not run.",
          static_cast<double>(s.refused_not_run));
  counter("seamglade_unknown_total", "Requests that ended as unknown.",
          static_cast<double>(s.ended_unknown));
  counter("seamglade_retries_total", "Requests sent to another target.",
          static_cast<double>(s.retries));
  counter("seamglade_loads_total", "Adapter loads ordered.",
          static_cast<double>(s.loads));
  counter("seamglade_unloads_total", "Adapter unloads ordered.",
          static_cast<double>(s.unloads));
  counter("seamglade_claims_total", "Claims of targets sent.",
          static_cast<double>(s.claims));
  counter("seamglade_step_backs_total", "Ownerships lost or given up.",
          static_cast<double>(s.step_backs));
  counter("seamglade_load_stall_seconds_total",
          "Time dispatched requests waited for a load.", s.load_stall_seconds);
  counter("seamglade_peer_bytes_in_total", "Bytes from other instances.",
          static_cast<double>(t.bytes_in));
  counter("seamglade_peer_bytes_out_total", "Bytes to other instances.",
          static_cast<double>(t.bytes_out));
  counter("seamglade_cpu_seconds_total", "Processor time of the process.",
          cpu_seconds());
  gauge("seamglade_ready", "Whether the instance takes requests.",
        s.ready ? 1 : 0);
  gauge("seamglade_peers_up", "Links to other instances.",
        static_cast<double>(s.peers_up));
  gauge("seamglade_callers_waiting", "Callers' requests without an answer.",
        static_cast<double>(s.callers_waiting));
  gauge("seamglade_settings_index", "Index of the newest accepted document.",
        static_cast<double>(s.settings_index));
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace seamglade::detail
