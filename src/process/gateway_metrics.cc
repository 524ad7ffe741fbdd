// seamglade - the pages of the direct path's metrics address
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/gateway_metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>

namespace seamglade::detail {
namespace {

prometheus::MetricFamily family(const char* name, const char* help,
                                prometheus::MetricType type, double value) {
  prometheus::MetricFamily out;
  out.name = name;
  out.help = help;
  out.type = type;
  prometheus::ClientMetric metric;
  if (type == prometheus::MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  out.metric.push_back(std::move(metric));
  return out;
}

prometheus::MetricFamily datagram_family(const datagram_bytes& sent) {
  using gateway::proximity;
  prometheus::MetricFamily out;
  out.name = "seamglade_datagram_bytes_total";
  out.help = "Bytes sent to other instances in datagrams, by distance";
  out.type = prometheus::MetricType::Counter;
  for (const auto distance : {proximity::same_domain, proximity::same_region,
                              proximity::other_region}) {
    prometheus::ClientMetric metric;
    metric.label = {{"distance", std::string(to_string(distance))}};
    metric.counter.value = static_cast<double>(sent.to(distance));
    out.metric.push_back(std::move(metric));
  }
  return out;
}

/** `bounds`: what they may be, else what they are. */
prometheus::MetricFamily connection_family(const resource_status& resources,
                                           bool bounds) {
  prometheus::MetricFamily out;
  out.name = bounds ? "seamglade_connection_bound" : "seamglade_connections";
  out.help = bounds ? "Connections kept for a use" : "Connections, by use";
  out.type = prometheus::MetricType::Gauge;
  for (const auto& share : resources.connections) {
    prometheus::ClientMetric metric;
    metric.label = {{"use", share.use}};
    metric.gauge.value = static_cast<double>(bounds ? share.bound : share.open);
    out.metric.push_back(std::move(metric));
  }
  return out;
}

prometheus::MetricFamily answer_end_family(
    const gateway::answer_end_counts& counts) {
  prometheus::MetricFamily out;
  out.name = "seamglade_target_answers_total";
  out.help = "Answers of targets to requests, by framing and end";
  out.type = prometheus::MetricType::Counter;
  for (const auto& [key, count] : counts) {
    prometheus::ClientMetric metric;
    metric.label = {{"framing", std::string(to_string(key.first))},
                    {"end", std::string(to_string(key.second))}};
    metric.counter.value = static_cast<double>(count);
    out.metric.push_back(std::move(metric));
  }
  return out;
}

prometheus::MetricFamily begun_streams_family(
    const std::map<std::string, std::uint64_t>& counts) {
  prometheus::MetricFamily out;
  out.name = "seamglade_streams_begun_total";
  out.help = "First events of resumable streams, by the target's software";
  out.type = prometheus::MetricType::Counter;
  for (const auto& [software, count] : counts) {
    prometheus::ClientMetric metric;
    metric.label = {{"software", software}};
    metric.counter.value = static_cast<double>(count);
    out.metric.push_back(std::move(metric));
  }
  return out;
}

using client_counter = std::uint64_t call_client::counters::*;

/** Returns a family with a metric for each client. */
prometheus::MetricFamily client_family(const char* name, const char* help,
                                       prometheus::MetricType type,
                                       const call_counters& calls,
                                       client_counter which) {
  auto out =
      family(name, help, type, static_cast<double>(calls.to_targets.*which));
  out.metric.front().label = {{"to", "targets"}};
  const auto add = [&](const char* to, const call_client::counters& counts) {
    auto more = family(name, help, type, static_cast<double>(counts.*which));
    more.metric.front().label = {{"to", to}};
    out.metric.push_back(std::move(more.metric.front()));
  };
  add("fleet", calls.to_fleet);
  add("relays", calls.to_relays);
  return out;
}

prometheus::MetricFamily skipped_family(const call_client::counters& calls) {
  prometheus::MetricFamily out;
  out.name = "seamglade_answers_skipped_total";
  out.help = "Answers of targets that belong to no call, by when they came";
  out.type = prometheus::MetricType::Counter;
  const auto add = [&](const char* when, std::uint64_t count) {
    prometheus::ClientMetric metric;
    metric.label = {{"when", when}};
    metric.counter.value = static_cast<double>(count);
    out.metric.push_back(std::move(metric));
  };
  add("idle", calls.skipped_while_idle);
  add("during_call", calls.skipped_during_call);
  add("behind_answer", calls.skipped_behind_answer);
  return out;
}

std::vector<prometheus::MetricFamily> client_families(
    const call_counters& calls) {
  using counters = call_client::counters;
  constexpr auto counter = prometheus::MetricType::Counter;
  return {
      client_family("seamglade_connections_opened_total", "Connections opened",
                    counter, calls, &counters::opened),
      client_family("seamglade_connections_reused_total",
                    "Calls on kept connections", counter, calls,
                    &counters::reused),
      client_family("seamglade_connections_found_ended_total",
                    "Kept connections that had been closed or written to "
                    "unasked",
                    counter, calls, &counters::found_ended),
      client_family("seamglade_connections_to_one_address_peak",
                    "Most connections that were open to one address",
                    prometheus::MetricType::Gauge, calls,
                    &counters::most_to_one_address),
      skipped_family(calls.to_targets)};
}

}  // namespace

std::string metrics_page(const gateway::gateway_status& status,
                         const call_counters& calls,
                         std::uint64_t log_lines_dropped,
                         const datagram_bytes& datagrams,
                         const resource_status& resources,
                         const start_counters& start) {
  std::vector<prometheus::MetricFamily> out;
  const auto counter = [&](const char* name, const char* help,
                           std::uint64_t value) {
    out.push_back(family(name, help, prometheus::MetricType::Counter,
                         static_cast<double>(value)));
  };
  const auto gauge = [&](const char* name, const char* help, double value) {
    out.push_back(family(name, help, prometheus::MetricType::Gauge, value));
  };
  counter("seamglade_requests_total", "Requests read", status.requests);
  counter("seamglade_room_refusals_total", "Requests refused for want of room",
          resources.counts.room_refusals);
  counter("seamglade_broken_off_total",
          "Answers broken off since too much was unsent",
          resources.counts.broken_off);
  counter("seamglade_replaced_connections_total",
          "Idle connections that gave their place to a new one",
          resources.counts.replaced);
  counter("seamglade_unplaced_connections_total",
          "Connections closed unread since there was no place",
          resources.counts.closed_unread);
  counter("seamglade_accept_rests_total",
          "Times that a listener rested for want of a descriptor",
          resources.counts.accept_rests);
  counter("seamglade_replaced_calls_total",
          "Idle connections to others that gave their place to a new one",
          resources.opened.replaced);
  counter("seamglade_unopened_connections_total",
          "Connections not opened since there was no place or descriptor",
          resources.opened.refused);
  gauge("seamglade_idle_connections", "Connections kept for later calls",
        static_cast<double>(resources.idle_connections));
  gauge("seamglade_reserved_bytes", "Bytes set aside for requests",
        static_cast<double>(resources.reserved_bytes));
  gauge("seamglade_unsent_bytes", "Bytes of answers that nobody has taken yet",
        static_cast<double>(resources.unsent_bytes));
  gauge("seamglade_held_bytes_bound",
        "What bytes set aside and unsent may be together",
        static_cast<double>(resources.held_bound));
  gauge("seamglade_descriptor_limit", "Descriptors that the process may have",
        static_cast<double>(resources.descriptor_limit));
  counter("seamglade_answered_total", "Answers passed on whole",
          status.answered);
  counter("seamglade_store_restores_total",
          "Times that the store was found to be restored from an older copy",
          status.store_restores);
  counter("seamglade_refused_total", "Requests refused here", status.refused);
  counter("seamglade_failed_total", "Failures of targets passed on",
          status.failed);
  counter("seamglade_cut_total", "Streams cut off", status.cut);
  counter("seamglade_retries_total", "Calls made again", status.retries);
  counter("seamglade_loads_total", "Loads ordered", status.loads);
  counter("seamglade_unloads_total", "Unloads ordered", status.unloads);
  counter("seamglade_store_calls_total", "Calls to the platform's store",
          status.store_calls);
  counter("seamglade_step_backs_total", "Claims lost to a higher fence",
          status.step_backs);
  counter("seamglade_unknown_keys_total", "Requests whose key nobody holds",
          status.unknown_keys);
  counter("seamglade_unconfirmed_keys_total",
          "Refused since the word on keys was too old",
          status.unconfirmed_keys);
  counter("seamglade_over_quota_total",
          "Refused since the workspace had used its quota up",
          status.over_quota);
  counter("seamglade_unusable_words_total",
          "Words of targets' holders that built on others not heard here.",
          status.unusable_words);
  counter("seamglade_unmetered_total", "Refused since no accountant answered",
          status.unmetered);
  counter("seamglade_overloaded_total",
          "Refused since no plain target would have been in time",
          status.overloaded);
  counter("seamglade_all_evacuated_total",
          "Refused since all targets of the service are evacuated",
          status.all_evacuated);
  counter("seamglade_no_allowed_region_total",
          "Refused since no target is in a region that is allowed",
          status.no_allowed_region);
  counter("seamglade_relayed_out_total",
          "Requests handed on to another instance", status.relayed_out);
  counter("seamglade_relayed_in_total",
          "Requests that another instance handed on", status.relayed_in);
  counter("seamglade_target_cuts_total",
          "Times that this instance lost its way to all targets",
          status.target_cuts);
  counter("seamglade_domain_suspicions_total",
          "Failure domains that were found silent", status.domain_suspicions);
  counter("seamglade_left_calls_total",
          "Calls made elsewhere since their failure domain was suspect",
          status.left_calls);
  counter("seamglade_target_ends_total",
          "Targets that ended while a request of this instance ran there",
          status.target_ends);
  counter("seamglade_answer_ends_in_doubt_total",
          "Answers ended by a close, whose target was tried for life",
          status.ends_in_doubt);
  counter("seamglade_quarantines_total",
          "Requests that were found to end their targets", status.quarantines);
  counter("seamglade_quarantine_refusals_total",
          "Refused since the request ends its targets",
          status.quarantine_refusals);
  counter("seamglade_leaving_words_total",
          "Targets found to leave by their own answers", status.leaving_words);
  counter("seamglade_rest_words_total", "Answers that asked for rest",
          status.rest_words);
  counter("seamglade_limit_words_total", "Answers that named a limit",
          status.limit_words);
  counter("seamglade_assumed_rests_total",
          "Times that a target was left alone since it turned all away",
          status.assumed_rests);
  counter("seamglade_all_at_rest_total",
          "Refused since all targets of the service wanted rest",
          status.all_at_rest);
  counter("seamglade_streams_taken_up_total",
          "Requests that go on with an earlier one's stream", status.taken_up);
  counter("seamglade_streams_taken_up_unknown_total",
          "Of these: nobody knew the stream, and one version alone serves",
          status.taken_up_unknown);
  counter("seamglade_streams_taken_up_prompt_total",
          "Of these: the same prompt ran at the one version that serves",
          status.taken_up_prompt);
  counter("seamglade_streams_taken_up_kept_total",
          "Of these: nobody knew the stream, and targets keep its prompt",
          status.taken_up_kept);
  counter("seamglade_content_lists_total",
          "Lists of what targets keep of prompts that were asked for",
          status.content_lists);
  counter("seamglade_stream_version_unknown_total",
          "Refused since nobody can tell at which version the stream began",
          status.origin_unknown);
  counter("seamglade_stream_version_gone_total",
          "Not gone on with since no target of the stream's version is left",
          status.origin_gone);
  counter("seamglade_stream_versions_told_total",
          "Streams that other instances were told the version of",
          status.origins_told);
  counter("seamglade_stream_version_questions_total",
          "Questions to other instances for a stream's version",
          status.origin_questions);
  counter("seamglade_grants_given_total",
          "Requests that were granted to targets that bear few",
          status.grants_given);
  counter("seamglade_grants_refused_total",
          "Requests that were refused such a grant", status.grants_refused);
  counter("seamglade_grants_unanswered_total",
          "Questions for such a grant without an answer in time",
          status.grant_unanswered);
  counter("seamglade_log_lines_dropped_total", "Lines left out of the log",
          log_lines_dropped);
  out.push_back(connection_family(resources, false));
  out.push_back(connection_family(resources, true));
  counter("seamglade_listen_waits_total",
          "Own addresses that could not be bound at the first try",
          start.addresses.waits);
  counter("seamglade_listen_retries_total", "Later tries to bind them",
          start.addresses.retries);
  counter("seamglade_settings_waits_total",
          "Times that the settings file was missing or unfinished",
          start.settings.waits);
  counter("seamglade_settings_retries_total", "Looks that found it so",
          start.settings.retries);
  out.push_back(datagram_family(datagrams));
  out.push_back(answer_end_family(status.answer_ends));
  out.push_back(begun_streams_family(status.begun_streams));
  for (auto& each : client_families(calls)) out.push_back(std::move(each));
  gauge("seamglade_ready", "Whether new connections are taken",
        status.ready ? 1 : 0);
  gauge("seamglade_configuration_version", "Configuration in force",
        static_cast<double>(status.configuration));
  gauge("seamglade_store_revision", "Revision of the copy of the store",
        static_cast<double>(status.store_revision));
  gauge("seamglade_store_epoch", "Epoch of the copy of the store",
        static_cast<double>(status.store_epoch));
  gauge("seamglade_evacuated_domains", "Failure domains that get nothing",
        static_cast<double>(status.evacuated_domains));
  gauge("seamglade_key_age_seconds", "Age of the word on keys in force",
        static_cast<double>(status.key_age.count()) / 1e6);
  gauge("seamglade_quota_accounts", "Workspaces that this instance accounts",
        static_cast<double>(status.accounts));
  gauge("seamglade_stream_versions_known",
        "Streams of which the version is known here",
        static_cast<double>(status.origins));
  gauge("seamglade_mixed_services",
        "Services whose targets ran several versions lately",
        static_cast<double>(status.mixed_services));
  gauge("seamglade_quarantined", "Requests that are refused now",
        static_cast<double>(status.quarantined));
  gauge("seamglade_blamed", "Requests that ran where a target ended lately",
        static_cast<double>(status.blamed));
  gauge("seamglade_targets_said_leaving",
        "Listed targets that say in answers that they leave",
        static_cast<double>(status.said_leaving));
  gauge("seamglade_targets_at_rest", "Targets that asked this one for rest",
        static_cast<double>(status.at_rest));
  gauge("seamglade_targets_limited", "Targets that are known to name a limit",
        static_cast<double>(status.limited));
  gauge("seamglade_suspect_domains", "Failure domains that are suspect",
        static_cast<double>(status.suspect_domains));
  gauge("seamglade_targets_out_of_reach",
        "Targets that take no connection from this instance",
        static_cast<double>(status.out_of_reach));
  gauge("seamglade_cut_off", "1 where this instance reaches no target",
        status.is_cut_off ? 1 : 0);
  gauge("seamglade_members_alive", "Living instances, this one included",
        static_cast<double>(status.members_alive));
  gauge("seamglade_targets", "Targets known",
        static_cast<double>(status.targets));
  gauge("seamglade_targets_held", "Targets that this instance orders",
        static_cast<double>(status.held));
  gauge("seamglade_requests_waiting", "Requests that wait for a place",
        static_cast<double>(status.waiting));
  gauge("seamglade_requests_running", "Requests at a target",
        static_cast<double>(status.calling));
  return prometheus::TextSerializer().Serialize(out);
}

std::string status_page(const gateway::gateway_status& status) {
  nlohmann::ordered_json out;
  out["ready"] = status.ready;
  out["draining"] = status.draining;
  out["configuration"] = status.configuration;
  out["store_revision"] = status.store_revision;
  out["store_epoch"] = status.store_epoch;
  out["members_alive"] = status.members_alive;
  out["target_count"] = status.targets;
  out["targets_held"] = status.held;
  out["waiting"] = status.waiting;
  out["running"] = status.calling;
  out["requests"] = status.requests;
  out["answered"] = status.answered;
  out["refused"] = status.refused;
  out["targets"] = nlohmann::ordered_json::array();
  return out.dump();
}

}  // namespace seamglade::detail
