// seamglade - the log: JSON lines through easylogging++
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/log.h"

#include <easylogging++.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "connection/event_handles.h"

INITIALIZE_EASYLOGGINGPP

namespace seamglade::detail {
namespace {

log_level level_of(action::decision_kind kind) {
  using enum action::decision_kind;
  return kind == reject || kind == step_back ? log_level::warning
                                             : log_level::info;
}

std::string_view name_of(log_level level) {
  switch (level) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      return "error";
  }
  return "";
}

nlohmann::ordered_json line_start(log_level level, const instance_id& who) {
  nlohmann::ordered_json line;
  line["ms"] = unix_now_ms();
  line["level"] = name_of(level);
  line["instance"] = who;
  return line;
}

std::string dump(const nlohmann::ordered_json& line) {
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

json_log::json_log(instance_id instance) : instance_(std::move(instance)) {
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::Format, "%msg");
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(config);
  // A '%' in a line is no directive of the logger.
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
}

void json_log::set_level(std::string_view name) {
  for (const auto level : {log_level::debug, log_level::info,
                           log_level::warning, log_level::error}) {
    if (name_of(level) == name) least_ = level;
  }
}

void json_log::write(log_level level, const std::string& line) const {
  switch (level) {
    case log_level::debug:
    case log_level::info:
      LOG(INFO) << line;
      break;
    case log_level::warning:
      LOG(WARNING) << line;
      break;
    case log_level::error:
      LOG(ERROR) << line;
      break;
  }
}

void json_log::decision(const action::log_decision& made) const {
  const auto level = level_of(made.kind);
  if (level < least_) return;
  auto line = line_start(level, instance_);
  line["decision"] = to_string(made.kind);
  if (made.request != request_id{}) {
    line["request"] =
        fmt::format("{:x}.{}", made.request.origin, made.request.sequence);
  }
  if (!made.adapter.empty()) line["adapter"] = made.adapter;
  if (!made.target.empty()) line["target"] = made.target;
  line["reason"] = made.reason;
  if (!made.candidates.empty()) line["candidates"] = made.candidates;
  write(level, dump(line));
}

void json_log::process(log_level level, std::string_view what,
                       std::string_view detail) const {
  if (level < least_) return;
  auto line = line_start(level, instance_);
  line["event"] = what;
  if (!detail.empty()) line["detail"] = detail;
  write(level, dump(line));
}

void json_log::failed(std::string_view what, const failure& why) const {
  process(log_level::warning, what,
          fmt::format("{}: {}", seamglade::to_string(why.code), why.detail));
}

}  // namespace seamglade::detail
