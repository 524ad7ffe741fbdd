// seamglade - the direct path's world: the platform's store
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {

namespace {

std::string_view prefix_of(store_scope scope) {
  switch (scope) {
    case store_scope::everything:
      return {};
    case store_scope::operators:
      return "op/";
    case store_scope::targets:
      return "servers/";
  }
  return {};
}

}  // namespace

void gateway_world::put(const std::string& key,
                        std::optional<std::string> value) {
  store_[key] = {key, ++revision_, std::move(value)};
  wake_watchers();
}

void gateway_world::wake_watchers() {
  const auto waiting = std::exchange(watchers_, {});
  for (const auto& w : waiting) {
    auto& i = *instances_.at(w.who);
    if (i.life == w.life) serve_watch(i, w.watch);
  }
}

void gateway_world::silence_store(bool silent) {
  store_silent_ = silent;
  if (!silent) return;
  for (const auto& w : std::exchange(watchers_, {})) {
    auto& i = *instances_.at(w.who);
    if (i.life == w.life) lose_store_call(i, w.watch);
  }
}

void gateway_world::lose_store_call(instance& from, const store_watch& watch) {
  ++store_calls_;
  const auto call = from.store_calls.find(watch.call);
  if (call != from.store_calls.end()) {
    call->second.until = now_ + watch.wait + kStoreTimeout;
  }
  fail_store_call(from, watch);
}

void gateway_world::answer_store(instance& to, event::store_read read) {
  const auto who = to.address;
  const auto life = to.life;
  if (to.store_denied) {
    event::store_read denied;
    denied.call = read.call;
    denied.scope = read.scope;
    read = denied;
  }
  later(store_delay_, [this, who, life, read = std::move(read)] {
    auto& i = *instances_.at(who);
    if (i.life != life) return;
    const bool is_answered = read.how != event::store_read::outcome::failed;
    if (end_store_call(i, read.call, is_answered)) post(i, read);
  });
}

void gateway_world::serve_range(instance& from,
                                const action::range_store& asked) {
  ++store_calls_;
  ++range_calls_;
  const auto is_due = [this](std::size_t each) {
    return each > 0 && range_calls_ % each == 0;
  };
  event::store_read read;
  read.call = asked.call;
  if (is_due(options_.refused_page)) {
    constexpr int kUnavailable = 503;
    read.status = kUnavailable;
    answer_store(from, std::move(read));
    return;
  }
  read.how = event::store_read::outcome::answered;
  read.epoch = name_epoch();
  read.answer.revision = revision_;
  const auto prefix = prefix_of(asked.scope);
  const bool is_empty = is_due(options_.empty_page);
  read.answer.more = is_empty;
  auto at = store_.upper_bound(asked.after_key);
  for (; at != store_.end() && !is_empty; ++at) {
    const auto& [key, item] = *at;
    if (!item.value || !key.starts_with(prefix)) continue;
    if (read.answer.received == options_.store_page) {
      read.answer.more = true;
      break;
    }
    ++read.answer.received;
    read.answer.last_key = key;
    if (platform_->is_read(key)) read.answer.items.push_back(item);
  }
  answer_store(from, std::move(read));
}

void gateway_world::serve_watch(instance& from, const store_watch& watch) {
  ++store_calls_;
  using outcome = event::store_read::outcome;
  const auto after = watch.after;
  event::store_read read;
  read.call = watch.call;
  read.scope = watch.scope;
  read.how = outcome::answered;
  read.answer.revision = revision_;
  const bool is_known = after >= history_from_ && after <= revision_;
  if (!is_known) read.how = outcome::history_gone;
  for (const auto& [key, item] : store_) {
    const bool in_scope = key.starts_with(prefix_of(watch.scope));
    if (!in_scope || item.revision <= after) continue;
    ++read.answer.received;
    if (platform_->is_read(key)) read.answer.items.push_back(item);
  }
  const bool has_to_wait = !from.store_denied &&
                           read.how == outcome::answered &&
                           read.answer.is_quiet();
  if (!has_to_wait) {
    read.epoch = name_epoch();
    answer_store(from, std::move(read));
    return;
  }
  --store_calls_;  // It is counted when it is answered.
  const auto ticket = watcher{from.address, from.life, watch};
  watchers_.push_back(ticket);
  later(watch.wait, [this, ticket] {
    const auto found = std::find(watchers_.begin(), watchers_.end(), ticket);
    if (found == watchers_.end()) return;
    watchers_.erase(found);
    ++store_calls_;
    auto& i = *instances_.at(ticket.who);
    event::store_read quiet;
    quiet.call = ticket.watch.call;
    quiet.scope = ticket.watch.scope;
    quiet.how = i.store_denied ? outcome::failed : outcome::answered;
    quiet.epoch = name_epoch();
    quiet.answer.revision = revision_;
    answer_store(i, std::move(quiet));
  });
}

std::string gateway_world::entry_text(const target& which) const {
  std::string adapters;
  for (const auto& [name, version] : which.adapters) {
    adapters +=
        fmt::format("{}\"{}@{}\"", adapters.empty() ? "" : ",", name, version);
  }
  const auto models =
      which.engine && which.has_model
          ? fmt::format(R"([{{"name":"{}","cfg_ver":1,"adapters":[{}]}}])",
                        kModel, adapters)
          : std::string("[]");
  const bool is_bounded = !which.engine && options_.plain_slots > 0;
  const auto slots = is_bounded ? options_.plain_slots : 64U;
  const auto left = (which.cold_until - now_) / 1ms;
  const auto cold = options_.cold_rate > 0
                        ? fmt::format(R"(,"cold_left_ms":{})",
                                      std::max<std::int64_t>(0, left))
                        : std::string();
  return fmt::format(
      R"({{"svc":"{}","addr":"{}","zone":"{}","cfg_ver":"{}","slots":{},)"
      R"("state":"{}","born":{},"seq":{},"models":{}{}}})",
      which.service, which.address, which.domain, which.software, slots,
      which.draining ? "draining" : "ready", which.born_ms, which.beats, models,
      cold);
}

void gateway_world::publish_target(target& which) {
  note_state(which);
  ++which.beats;
  if (which.listed) put("servers/" + which.id, entry_text(which));
}

void gateway_world::publish_configuration(std::uint64_t version,
                                          const std::string& engine_prefix,
                                          std::size_t further) {
  configuration_ = version;
  engine_prefix_ = engine_prefix;
  const auto engine = fmt::format(
      R"({{"slots":64,"weights_mb":45000,"lora_slots":{},"loads_per_s":3,)"
      R"("models":[{{"name":"{}","weights_mb":40000,"load_s":0.6,)"
      R"("lora_mb":10}}]}})",
      options_.adapter_slots, kModel);
  auto llm = service_regions("llm");
  if (options_.stream_objective_ms > 0) {
    llm += fmt::format(R"(,"slo_ms":{})", options_.stream_objective_ms);
  }
  const auto plain = service_regions("plain");
  const std::string feed =
      options_.plain_streams
          ? R"(,{"host":"h","prefix":"/feed/","type":"stream",)"
            R"("resumable":true,"timeout_ms":8000,"svc":"plain","attempts":2})"
          : "";
  const auto cold =
      options_.cold_rate > 0
          ? fmt::format(R"(,"cold_start_s":{},"cold_per_s":{})",
                        static_cast<double>(options_.cold_time / 1ms) / 1000,
                        options_.cold_rate)
          : std::string();
  const auto timeout = options_.plain_timeout / 1ms;
  std::string routes;
  for (std::size_t i = 0; i < further; ++i) {
    routes += fmt::format(
        R"({{"host":"h{}","prefix":"/further-{}/","type":"idempotent",)"
        R"("timeout_ms":1500,"slo_ms":120,"svc":"plain","attempts":2}},)",
        i % 20, i);
  }
  put("op/config",
      fmt::format(
          R"({{"cfg_ver":{},"routes":[{})"
          R"({{"host":"h","prefix":"{}","type":"stream","timeout_ms":8000,)"
          R"("svc":"llm","attempts":1{}}},)"
          R"({{"host":"h","prefix":"/llm2/","type":"stream","resumable":true,)"
          R"("timeout_ms":8000,"svc":"llm","attempts":2{}}},)"
          R"({{"host":"h","prefix":"/get/","type":"idempotent",)"
          R"("timeout_ms":{},"slo_ms":120,"svc":"plain","attempts":2{}}},)"
          R"({{"host":"h","prefix":"/set/","type":"mutating",)"
          R"("timeout_ms":{},"slo_ms":120,"svc":"plain","attempts":2{}}},)"
          R"({{"host":"h","prefix":"/open/","type":"idempotent",)"
          R"("public":true,"timeout_ms":1500,"svc":"plain"{}}}{}],)"
          R"("svcs":[{{"name":"llm","engine":{}{}}},{{"name":"plain"{}}}])"
          R"({}}})",
          version, routes, engine_prefix, llm, llm, timeout, plain, timeout,
          plain, plain, feed, engine, cold, cold, workspaces_text()));
}

std::string gateway_world::workspaces_text() const {
  std::string list;
  for (const auto& w : workspaces_) {
    std::string keys;
    for (const auto& key : w.keys) {
      keys += fmt::format("{}\"{}\"", keys.empty() ? "" : ",", key);
    }
    list += fmt::format(
        R"({}{{"name":"{}","api_keys":[{}],"unit":"tokens","raw_tokens":200,)"
        R"("rate_per_s":{},"burst":{}{}}})",
        list.empty() ? "" : ",", w.name, keys, w.rate, w.burst,
        regions_text(w.regions));
  }
  return list.empty() ? list : fmt::format(R"(,"tenants":[{}])", list);
}

void gateway_world::publish_workspaces() {
  for (const auto& w : workspaces_) {
    for (const auto& key : w.keys) key_holders_[key] = w.name;
    auto& [rate, burst] = limits_[w.name];
    rate = std::max(rate, w.rate);
    burst = std::max(burst, w.burst);
  }
  publish_configuration(configuration_ + 1, engine_prefix_);
}

void gateway_world::add_key(const std::string& workspace,
                            const std::string& key) {
  for (auto& w : workspaces_) {
    if (w.name == workspace) w.keys.insert(key);
  }
  taken_keys_.erase(key);
  publish_workspaces();
}

void gateway_world::take_key(const std::string& key) {
  for (auto& w : workspaces_) w.keys.erase(key);
  taken_keys_[key] = now_;
  publish_workspaces();
}

void gateway_world::set_limit(const std::string& workspace, double rate,
                              double burst) {
  for (auto& w : workspaces_) {
    if (w.name != workspace) continue;
    w.rate = rate;
    w.burst = burst;
  }
  publish_workspaces();
}

void gateway_world::publish_version(const std::string& adapter,
                                    std::uint32_t version) {
  versions_[adapter] = version;
  put(fmt::format("op/version/{}.{}", kModel, adapter),
      fmt::format(R"({{"model":"{}","adapter":"{}","cfg_ver":{}}})", kModel,
                  adapter, version));
}

void gateway_world::evacuate(const std::string& domain) {
  evacuated_[domain] = now_;
  put("op/evacuate/" + domain, "{}");
}

void gateway_world::take_back(const std::string& domain) {
  evacuated_.erase(domain);
  put("op/evacuate/" + domain, std::nullopt);
}

store_epoch gateway_world::name_epoch() {
  if (misnamed_.empty()) return epoch_;
  const auto name = misnamed_.front();
  misnamed_.pop_front();
  return name;
}

void gateway_world::copy_store() {
  copied_store_ = store_;
  copied_revision_ = revision_;
}

void gateway_world::restore_store(duration rewritten_after) {
  const auto lost = std::exchange(store_, copied_store_);
  revision_ = copied_revision_;
  history_from_ = 0;
  ++epoch_;
  if (rewritten_after <= duration{}) return;
  later(rewritten_after, [this, lost] {
    for (const auto& [key, item] : lost) write_again(item);
  });
}

void gateway_world::write_again(const store_item& lost) {
  const auto known = store_.find(lost.key);
  const bool is_there = known != store_.end();
  if (is_there && known->second == lost) return;
  const bool is_newer = is_there && known->second.revision > copied_revision_;
  if (is_newer || (!is_there && !lost.value)) return;
  if (const auto id = platform_->target_of_key(lost.key)) {
    const auto found = targets_.find(*id);
    const bool is_listed = found != targets_.end() && found->second->listed;
    // One that has ended writes nothing: its entry lapses.
    if (is_listed) {
      publish_target(*found->second);
      return;
    }
  }
  put(lost.key, lost.value);
}

void gateway_world::forget_history() {
  history_from_ = ++revision_;
  wake_watchers();
}

}  // namespace seamglade::fakes
