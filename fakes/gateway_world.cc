// seamglade - a fleet of the direct path under virtual time, for tests
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

constexpr std::string_view kEngineStreams = "/llm2/x";
constexpr std::string_view kPlainStreams = "/feed/x";

std::vector<http_header> engine_headers(const std::string& adapter,
                                        std::uint32_t prompt_tokens) {
  return {{"X-Model", fmt::format("{}/{}", kModel, adapter)},
          {"X-Token-Count", fmt::format("{},10", prompt_tokens)}};
}

/** Returns the id of the last event in a text; empty: there is none. */
std::string last_event_of(const std::string& body) {
  constexpr std::string_view kId = "id: ";
  const auto at = body.rfind(kId);
  if (at == std::string::npos) return {};
  const auto from = at + kId.size();
  return body.substr(from, body.find_first_of("\r\n", from) - from);
}

}  // namespace

gateway_world::gateway_world(gateway_world_options options)
    : options_(std::move(options)),
      platform_(make_platform_dialect()),
      random_(options_.seed) {
  const auto add = [&](const std::string& service, bool engine,
                       std::size_t index) {
    auto made = std::make_unique<target>();
    made->id = fmt::format("{}-{}", service, index);
    made->service = service;
    made->address =
        fmt::format("10.9.{}.{}:80", engine ? 1 : 2, targets_.size() + 1);
    made->domain =
        options_.target_domains[index % options_.target_domains.size()];
    made->engine = engine;
    made->software = options_.software[index % options_.software.size()];
    made->born_ms = kFirstStartMs;
    auto& ref = *made;
    targets_[made->id] = std::move(made);
    publish_target(ref);
  };
  for (std::size_t i = 0; i < options_.engines; ++i) add("llm", true, i);
  for (std::size_t i = 0; i < options_.plain_targets; ++i) {
    add("plain", false, i);
  }
  workspaces_ = options_.workspaces;
  engine_prefix_ = "/llm/";
  publish_workspaces();
  for (std::size_t i = 0; i < options_.instances; ++i) {
    auto made = std::make_unique<instance>();
    made->address = static_cast<member_address>(0x0a000001 + i);
    const auto address = made->address;
    made->domain =
        options_.instance_domains[i % options_.instance_domains.size()];
    instances_[address] = std::move(made);
    start(address);
  }
}

gateway_world::~gateway_world() = default;

void gateway_world::violation(std::string what) {
  violations_.push_back(
      fmt::format("{} ms: {}", now_.time_since_epoch() / 1ms, what));
}

void gateway_world::at(time_point when, std::function<void()> task) {
  queue_.push({when, next_number_++, std::move(task)});
}

void gateway_world::run_for(duration time) {
  const auto end = now_ + time;
  while (!queue_.empty() && queue_.top().when <= end) {
    auto next = queue_.top();
    queue_.pop();
    now_ = std::max(now_, next.when);
    next.task();
  }
  now_ = end;
}

std::vector<member_address> gateway_world::instances() const {
  std::vector<member_address> out;
  for (const auto& [address, i] : instances_) out.push_back(address);
  return out;
}

std::string gateway_world::domain_of(member_address who) const {
  return instances_.at(who)->domain;
}

std::string gateway_world::domain_of(const std::string& id) const {
  return targets_.at(id)->domain;
}

std::vector<std::string> gateway_world::engines() const {
  std::vector<std::string> out;
  for (const auto& [id, t] : targets_) {
    if (t->engine) out.push_back(id);
  }
  return out;
}

std::vector<std::string> gateway_world::plain_targets() const {
  std::vector<std::string> out;
  for (const auto& [id, t] : targets_) {
    if (!t->engine) out.push_back(id);
  }
  return out;
}

const std::string& gateway_world::software_of(const std::string& id) const {
  return targets_.at(id)->software;
}

void gateway_world::start(member_address who) {
  auto& i = *instances_.at(who);
  gateway_options options;
  options.id = fmt::format("node-{}", who & 0xff);
  options.self = who;
  options.failure_domain = i.domain;
  options.regions = options_.regions;
  options.incarnation =
      static_cast<std::uint64_t>(now_.time_since_epoch() / 1ms);
  options.random_seed = random_();
  options.fenced = options_.fenced;
  options.key_bound = options_.key_bound;
  options.admission = options_.admission;
  options.quota = options_.quota;
  options.cold = options_.cold;
  options.seeds = {instances_.begin()->first};
  if (instances_.size() > 1) {
    options.seeds.push_back(std::next(instances_.begin())->first);
  }
  i.core = std::make_unique<gateway_core>(std::move(options), *platform_);
  ++i.life;
  i.cancelled.clear();
  i.kept.close_all();
  i.store_calls.clear();
  i.series.clear();
  i.last_series.clear();
  i.disturbed = now_;
  i.halted = now_;
  i.stopping = false;
  tick(who, i.life);
}

void gateway_world::tick(member_address who, std::uint64_t life) {
  auto& i = *instances_.at(who);
  if (i.life != life || !i.core) return;
  post(i, event::tick{});
  if (!i.core) return;
  const auto next = std::max(i.core->next_wakeup(), now_ + 1ms);
  at(std::max(next, i.frozen_until), [this, who, life] { tick(who, life); });
}

void gateway_world::kill(member_address who) {
  auto& i = *instances_.at(who);
  i.core.reset();
  ++i.life;
  i.disturbed = now_;
  drop_relays(who);
  for (auto at = open_calls_.begin(); at != open_calls_.end();) {
    if (at->second->entry != who) {
      ++at;
      continue;
    }
    at->second->aborted = true;
    at->second->ended = now_;
    at = open_calls_.erase(at);
  }
}

void gateway_world::freeze(member_address who, duration time) {
  auto& i = *instances_.at(who);
  i.frozen_until = now_ + time;
  i.disturbed = now_ + time;
  i.halted = now_ + time;
}

void gateway_world::deny_store(member_address who, bool denied) {
  instances_.at(who)->store_denied = denied;
}

void gateway_world::deny_connections(member_address who, bool denied) {
  instances_.at(who)->connections_denied = denied;
}

gateway_status gateway_world::status(member_address who) {
  return instances_.at(who)->core->status(now_);
}

void gateway_world::post(instance& to, any_event event) {
  if (!to.core) return;
  if (now_ < to.frozen_until) {
    const auto who = to.address;
    const auto life = to.life;
    auto held = std::make_shared<any_event>(std::move(event));
    at(to.frozen_until, [this, who, life, held] {
      auto& i = *instances_.at(who);
      if (i.life == life) post(i, std::move(*held));
    });
    return;
  }
  for (auto& a : to.core->handle(now_, std::move(event))) {
    if (!to.core) return;
    carry_out(to, std::move(a));
  }
}

void gateway_world::carry_out(instance& from, any_action any) {
  if (const auto relayed = relayed_caller(any);
      relayed && open_relays_.contains(*relayed)) {
    answer_relay(*relayed, any);
  } else if (const auto* a = std::get_if<action::reply_head>(&any)) {
    const auto found = open_calls_.find(a->caller);
    if (found == open_calls_.end()) return;
    found->second->status = a->status;
    for (const auto& header : a->headers) {
      if (header.name != "Retry-After") continue;
      found->second->retry_after =
          duration(static_cast<std::int64_t>(std::stod(header.value) * 1e6));
    }
  } else if (const auto* data = std::get_if<action::reply_data>(&any)) {
    const auto found = open_calls_.find(data->caller);
    if (found != open_calls_.end()) found->second->body += *data->data;
  } else if (const auto* end = std::get_if<action::reply_end>(&any)) {
    const auto found = open_calls_.find(end->caller);
    if (found == open_calls_.end()) return;
    found->second->complete = true;
    found->second->ended = now_;
    open_calls_.erase(found);
  } else if (const auto* abort = std::get_if<action::reply_abort>(&any)) {
    const auto found = open_calls_.find(abort->caller);
    if (found == open_calls_.end()) return;
    found->second->aborted = true;
    found->second->ended = now_;
    open_calls_.erase(found);
  } else if (const auto* call = std::get_if<action::call_target>(&any)) {
    serve_call(from, *call);
  } else if (const auto* relay = std::get_if<action::call_peer>(&any)) {
    serve_relay(from, *relay);
  } else if (const auto* cancel = std::get_if<action::cancel_call>(&any)) {
    from.cancelled.insert(cancel->call);
    cancel_relay(from, cancel->call);
  } else if (const auto* order = std::get_if<action::send_order>(&any)) {
    serve_order(from, *order);
  } else if (const auto* ask = std::get_if<action::read_report>(&any)) {
    serve_report(from, *ask);
  } else if (const auto* list = std::get_if<action::list_contents>(&any)) {
    serve_list(from, *list);
  } else if (const auto* probe = std::get_if<action::probe_target>(&any)) {
    serve_probe(from, *probe);
  } else if (const auto* watch = std::get_if<action::watch_store>(&any)) {
    const store_watch asked{watch->call, watch->scope, watch->after,
                            watch->wait};
    if (!begin_store_call(from, asked, watch->on_new_connection)) return;
    if (store_silent_) {
      lose_store_call(from, asked);
      return;
    }
    serve_watch(from, asked);
  } else if (const auto* range = std::get_if<action::range_store>(&any)) {
    const store_watch asked{range->call, store_scope::everything, 0, 0ms};
    if (!begin_store_call(from, asked, range->on_new_connection)) return;
    if (store_silent_) {
      lose_store_call(from, asked);
      return;
    }
    serve_range(from, *range);
  } else if (const auto* fetch = std::get_if<action::fetch_changes>(&any)) {
    serve_fetch(from, *fetch);
  } else if (auto* datagram = std::get_if<action::send_datagram>(&any)) {
    const auto who = from.address;
    const auto peer = datagram->to;
    if (!instances_.contains(peer) || !reachable(who, peer)) return;
    const bool is_lost =
        lost_datagrams_ > 0 &&
        std::uniform_real_distribution<>(0, 1)(random_) < lost_datagrams_;
    if (is_lost) return;
    // Encoded and decoded, as on the wire.
    const auto bytes = encode_peer_message(datagram->message);
    const auto far = distance(from, *instances_.at(peer));
    note_datagram(far, datagram->message, bytes.size());
    count_traffic(datagram->message, bytes.size());
    const auto waits = link_wait(from, bytes.size());
    if (!waits) return;
    later(*waits + datagram_delay(far), [this, who, peer, bytes] {
      if (!reachable(who, peer)) return;
      auto decoded = decode_peer_message(bytes);
      if (!decoded) {
        violation("a datagram that cannot be decoded");
        return;
      }
      post(*instances_.at(peer),
           event::datagram{who, std::move(decoded.value())});
    });
  } else if (const auto* line = std::get_if<action::log_line>(&any)) {
    count_word_age(*line);
  }
}

gateway_call& gateway_world::submit(member_address entry,
                                    const std::string& path,
                                    std::vector<http_header> headers,
                                    bool repeatable, const std::string& adapter,
                                    const caller_content& content) {
  auto& i = *instances_.at(entry);
  calls_.push_back(std::make_unique<gateway_call>());
  auto& made = *calls_.back();
  made.id = fmt::format("r{}", calls_.size());
  calls_by_id_[made.id] = &made;
  made.entry = entry;
  made.repeatable = repeatable;
  made.adapter = adapter;
  made.content = content.body;
  made.parts = content.parts;
  made.prompt_tokens = content.prompt_tokens;
  if (!content.parts.empty()) {
    headers.push_back({"X-Prefix-Hash", content.parts});
  }
  made.sent = now_;
  headers.push_back({"X-Request-Id", made.id});
  headers.push_back({"X-Deadline-Ms", std::to_string(options_.deadline / 1ms)});
  caller_message message;
  message.method = "POST";
  message.target = path;
  message.host = "h";
  message.headers = std::move(headers);
  message.body = std::make_shared<const std::string>(content.body);
  message.caller_address = content.address;
  if (!i.core) {
    made.aborted = true;
    made.ended = now_;
    return made;
  }
  const auto caller = next_caller_++;
  open_calls_[caller] = &made;
  post(i, event::request{caller, std::move(message)});
  return made;
}

gateway_call& gateway_world::call_engine(member_address entry,
                                         const std::string& adapter,
                                         bool repeatable) {
  return call_engine_with(entry, adapter, {}, repeatable);
}

gateway_call& gateway_world::call_engine_with(member_address entry,
                                              const std::string& adapter,
                                              const caller_content& content,
                                              bool repeatable) {
  return submit(entry, std::string(repeatable ? kEngineStreams : "/llm/x"),
                engine_headers(adapter, content.prompt_tokens), repeatable,
                adapter, content);
}

gateway_call& gateway_world::take_up(member_address entry,
                                     const gateway_call& earlier) {
  std::string last_event;
  for (const auto* call = &earlier; call != nullptr && last_event.empty();
       call = call->earlier) {
    last_event = last_event_of(call->body);
  }
  const bool is_plain = earlier.adapter.empty();
  auto headers = is_plain
                     ? std::vector<http_header>()
                     : engine_headers(earlier.adapter, earlier.prompt_tokens);
  if (options_.names_resumed) {
    headers.push_back({"Resumes", earlier.begun_by().id});
  }
  headers.push_back({"Last-Event-Id", last_event});
  caller_content content;
  content.parts = earlier.parts;
  content.prompt_tokens = earlier.prompt_tokens;
  auto& made =
      submit(entry, std::string(is_plain ? kPlainStreams : kEngineStreams),
             std::move(headers), true, earlier.adapter, content);
  made.earlier = &earlier;
  return made;
}

gateway_call& gateway_world::stream_plain(member_address entry) {
  return submit(entry, std::string(kPlainStreams), {}, true, "");
}

gateway_call& gateway_world::call_plain(member_address entry, bool repeatable) {
  return call_plain_with(entry, {}, repeatable);
}

gateway_call& gateway_world::call_plain_with(member_address entry,
                                             const caller_content& content,
                                             bool repeatable) {
  return submit(entry, repeatable ? "/get/x" : "/set/x", {}, repeatable, "",
                content);
}

gateway_call& gateway_world::call_with_key(member_address entry,
                                           const std::string& key,
                                           std::uint32_t tokens,
                                           const std::string& body) {
  auto& call =
      call_with_headers(entry,
                        {{"Authorization", "Bearer " + key},
                         {"X-Token-Count", fmt::format("{},0", tokens)}},
                        false, body);
  call.key = key;
  call.tokens = tokens;
  return call;
}

gateway_call& gateway_world::call_with_headers(member_address entry,
                                               std::vector<http_header> headers,
                                               bool is_public,
                                               const std::string& body) {
  return submit(entry, is_public ? "/open/x" : "/set/x", std::move(headers),
                is_public, "", {body});
}

void gateway_world::leave(gateway_call& call) {
  for (auto at = open_calls_.begin(); at != open_calls_.end(); ++at) {
    if (at->second != &call) continue;
    const auto caller = at->first;
    open_calls_.erase(at);
    call.ended = now_;
    post(*instances_.at(call.entry), event::caller_gone{caller});
    return;
  }
}

}  // namespace seamglade::fakes
