// seamglade - fakes of instances, links and the platform under virtual time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "world.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "world_impl.h"

namespace seamglade::fakes {
std::string_view to_string(step which) {
  static constexpr std::array<std::string_view, kStepCount> names{
      "accepted",   "forwarded",      "queued",     "loading",
      "dispatched", "first_token",    "mid_stream", "last_token",
      "relayed",    "unload_ordered", "claim_sent", "handed_over",
      "draining",   "config_accepted"};
  return names.at(static_cast<std::size_t>(which));
}

world::world(std::uint64_t seed, mechanism_switches switches)
    : random_(seed), switches_(switches) {
  now_ = time_point(1h);
  check_links();
}

world::~world() = default;

void world::at(time_point when, std::function<void()> task) {
  agenda_.emplace(std::pair(std::max(when, now_), ++order_), std::move(task));
}

void world::later(duration wait, std::function<void()> task) {
  at(now_ + wait, std::move(task));
}

void world::run_for(duration time) {
  const auto end = now_ + time;
  while (!agenda_.empty() && agenda_.begin()->first.first <= end) {
    auto next = agenda_.extract(agenda_.begin());
    now_ = next.key().first;
    next.mapped()();
  }
  now_ = end;
}

void world::add_instance(const instance_id& id, const std::string& zone) {
  auto fresh = std::make_unique<instance>();
  fresh->id = id;
  fresh->zone = zone;
  instances_.emplace(id, std::move(fresh));
}

void world::publish(const std::string& name, const std::string& text) {
  published_[name] = {text, ++service_index_};
  wake_watchers();
}

void world::publish_fleet() {
  std::string text;
  const auto state = [](member_state s) {
    return s == member_state::live ? "live" : "leaving";
  };
  for (const auto& [id, one] : instances_) {
    text += fmt::format(
        "[instance {}]\nzone = {}\naddress = 127.0.0.1:1\nstate = {}\n", id,
        one->zone, state(one->listed));
  }
  for (const auto& [id, one] : targets_) {
    const auto& o = one->options;
    text += fmt::format(
        "[target {}]\nzone = {}\naddress = 127.0.0.1:1\nservice = {}\n"
        "state = {}\n",
        id, o.zone, o.service, state(one->listed));
    if (!o.base.empty()) text += fmt::format("base = {}\n", o.base);
  }
  publish(std::string(kFleetDocument), text);
}

void world::mark_instance(const instance_id& id, member_state state) {
  instances_.at(id)->listed = state;
}

void world::mark_target(const target_id& id, member_state state) {
  targets_.at(id)->listed = state;
}

void world::boot(const instance_id& id) {
  auto& who = *instances_.at(id);
  who.incarnation = ++last_incarnation_;
  who.frozen_until = time_point::min();
  who.held_events.clear();
  who.held_actions.clear();
  who.finished = false;
  who.wanted.clear();
  who.reading = false;
  who.armed_for = time_point::max();
  controller_options options;
  options.self = id;
  options.zone = who.zone;
  options.incarnation = who.incarnation;
  options.seed = random_();
  options.switches = switches_;
  options.naive_policy = naive_policy;
  who.decisions = std::make_unique<controller>(options);
  tell(id, who.incarnation, event::wall_time{who.wall_skew_ms + wall_ms(now_)});
}

void world::boot_all() {
  for (const auto& [id, one] : instances_) boot(id);
}

void world::kill(const instance_id& id) {
  auto& who = *instances_.at(id);
  if (!who.decisions) return;
  who.decisions.reset();
  for (auto& [caller, record] : callers_) {
    if (record.entry != id || record.over()) continue;
    record.entry_lost = true;
    record.ended = now_;
  }
  // What it sent to targets runs on there: not every engine notices that a
  // connection has closed.
  for (auto& [key, link] : links_) {
    if (key.first == id || key.second == id) link_down(key);
  }
}

void world::freeze(const instance_id& id, duration time) {
  auto& who = *instances_.at(id);
  if (!who.decisions) return;
  who.frozen_until = std::max(who.frozen_until, now_ + time);
  const auto incarnation = who.incarnation;
  at(who.frozen_until, [this, id, incarnation] { thaw(id, incarnation); });
}

void world::thaw(const instance_id& id, std::uint64_t incarnation) {
  auto& who = *instances_.at(id);
  if (who.incarnation != incarnation || !who.decisions ||
      now_ < who.frozen_until) {
    return;
  }
  auto actions = std::move(who.held_actions);
  who.held_actions.clear();
  carry_out(who, std::move(actions));
  while (!who.held_events.empty() && who.decisions &&
         now_ >= who.frozen_until) {
    auto next = std::move(who.held_events.front());
    who.held_events.pop_front();
    handle(who, std::move(next));
  }
}

void world::drain(const instance_id& id) {
  took(step::draining, id);
  tell(id, instances_.at(id)->incarnation, event::drain{});
}

void world::wall_jump(const instance_id& id, std::chrono::milliseconds by) {
  auto& who = *instances_.at(id);
  who.wall_skew_ms += by.count();
  tell(id, who.incarnation, event::wall_time{who.wall_skew_ms + wall_ms(now_)});
}

void world::tell(const instance_id& id, std::uint64_t incarnation,
                 any_event what) {
  auto& who = *instances_.at(id);
  if (!who.decisions || who.incarnation != incarnation) return;
  if (now_ < who.frozen_until) {
    who.held_events.push_back(std::move(what));
    return;
  }
  handle(who, std::move(what));
}

void world::handle(instance& who, any_event what) {
  if (who.finished) return;
  carry_out(who, who.decisions->handle(now_, std::move(what)));
  if (who.decisions) arm(who);
}

void world::carry_out(instance& who, std::vector<any_action> actions) {
  for (auto it = actions.begin(); it != actions.end(); ++it) {
    if (!who.decisions) return;  // killed by a step of this very list
    if (now_ < who.frozen_until) {
      std::move(it, actions.end(), std::back_inserter(who.held_actions));
      return;
    }
    announce(who, *it);
    if (!who.decisions) return;
    if (now_ < who.frozen_until) {
      std::move(it, actions.end(), std::back_inserter(who.held_actions));
      return;
    }
    std::visit([&](auto& a) { act(who, a); }, *it);
  }
}

void world::arm(instance& who) {
  const auto next = who.decisions->next_wakeup();
  if (next >= who.armed_for || next == time_point::max()) return;
  who.armed_for = next;
  const auto id = who.id;
  const auto incarnation = who.incarnation;
  at(next, [this, id, incarnation, next] {
    auto& self = *instances_.at(id);
    if (self.incarnation != incarnation) return;
    if (self.armed_for == next) self.armed_for = time_point::max();
    if (now_ < self.frozen_until) {
      if (self.held_events.empty()) self.held_events.push_back(event::tick{});
      return;
    }
    tell(id, incarnation, event::tick{});
  });
}

void world::took(step which, const instance_id& id, const target_id& where) {
  if (on_step) on_step(which, id, where);
}

void world::announce(const instance& who, const any_action& next) {
  if (const auto* sent = std::get_if<action::call_target>(&next)) {
    return took(step::dispatched, who.id, sent->target);
  }
  const auto* order = std::get_if<action::send_order>(&next);
  if (order == nullptr) return;
  switch (order->what.kind) {
    case order_kind::load:
      return took(step::loading, who.id, order->target);
    case order_kind::unload:
      return took(step::unload_ordered, who.id, order->target);
    case order_kind::claim:
      return took(step::claim_sent, who.id, order->target);
    case order_kind::report:
      return;
  }
}

void world::act(instance&, action::reply_part& a) {
  const auto it = callers_.find(a.caller);
  if (it == callers_.end() || it->second.over()) return;
  auto& caller = it->second;
  if (caller.first_piece == time_point::max()) caller.first_piece = now_;
  if (a.piece.sequence != caller.next_sequence) caller.out_of_order = true;
  caller.next_sequence = a.piece.sequence + 1;
  if (a.piece.data) caller.text += *a.piece.data;
  if (!a.piece.last) return;
  caller.complete = true;
  caller.ended = now_;
  took(step::relayed, caller.entry);
}

void world::act(instance&, action::reply_refusal& a) {
  const auto it = callers_.find(a.caller);
  if (it == callers_.end() || it->second.over()) return;
  it->second.refused = a.why;
  it->second.ended = now_;
}

void world::act(instance&, action::reply_abort& a) {
  const auto it = callers_.find(a.caller);
  if (it == callers_.end() || it->second.over()) return;
  it->second.aborted = true;
  it->second.ended = now_;
}

void world::act(instance& who, action::read_service& a) {
  ++service_calls_;
  const auto id = who.id;
  const auto incarnation = who.incarnation;
  who.reading = true;
  const auto call = ++who.read_call;
  const auto shown = who.stale ? who.stale_index : service_index_;
  if (service_down_) {
    later(50ms, [this, id, incarnation] {
      instances_.at(id)->reading = false;
      tell(id, incarnation, event::service_failed{});
    });
    return;
  }
  const bool waits = a.wait > duration::zero() && shown <= a.after;
  if (!waits) {
    later(kLatency,
          [this, id, incarnation] { answer_service(id, incarnation); });
    return;
  }
  later(a.wait, [this, id, incarnation, call] {
    const auto& self = *instances_.at(id);
    if (self.reading && self.read_call == call) {
      answer_service(id, incarnation);
    }
  });
}

void world::wake_watchers() {
  for (const auto& [id, one] : instances_) {
    if (!one->reading || one->stale || service_down_) continue;
    const auto incarnation = one->incarnation;
    const auto name = id;
    later(kLatency,
          [this, name, incarnation] { answer_service(name, incarnation); });
  }
}

void world::answer_service(const instance_id& id, std::uint64_t incarnation) {
  auto& who = *instances_.at(id);
  if (who.incarnation != incarnation || !who.reading) return;
  who.reading = false;
  if (service_down_) return tell(id, incarnation, event::service_failed{});
  event::published answer;
  answer.index = who.stale ? who.stale_index : service_index_;
  const auto& shown = who.stale ? who.stale_entries : published_;
  for (const auto& [name, entry] : shown) {
    answer.documents.push_back({name, entry.text, entry.index});
  }
  tell(id, incarnation, std::move(answer));
}

void world::set_service_stale(const instance_id& id, bool stale) {
  auto& who = *instances_.at(id);
  if (stale && !who.stale) {
    who.stale_entries = published_;
    who.stale_index = service_index_;
  }
  who.stale = stale;
}

void world::act(instance& who, action::log_decision& a) {
  if (a.kind == action::decision_kind::accept) {
    took(step::config_accepted, who.id);
  }
}

void world::act(instance& who, action::finished&) {
  who.finished = true;
  for (auto& [caller, record] : callers_) {
    if (record.entry != who.id || record.over()) continue;
    record.aborted = true;
    record.ended = now_;
  }
  for (auto& [key, link] : links_) {
    if (key.first == who.id || key.second == who.id) link_down(key);
  }
  std::vector<std::uint64_t> orphans;
  for (const auto& [number, r] : active_) {
    if (r->owner == who.id) orphans.push_back(number);
  }
  for (const auto number : orphans) end_run(number, true);
}

caller_id world::call(const instance_id& entry, const std::string& model,
                      const std::string& tag, bool repeatable,
                      const std::string& key, urgency priority,
                      std::optional<duration> deadline) {
  const auto caller = ++last_caller_;
  auto& record = callers_[caller];
  record.tag = tag;
  record.entry = entry;
  record.model = model;
  record.repeatable = repeatable;
  record.key = key;
  record.issued = now_;
  auto& who = *instances_.at(entry);
  if (!who.decisions || who.finished) {
    record.entry_lost = true;
    record.ended = now_;
    return caller;
  }
  request_spec spec;
  const auto adapter = parse_adapter_ref(model);
  if (adapter) {
    spec.adapter = adapter.value();
    const auto services =
        who.decisions->tree()->services_of(adapter.value().base);
    spec.service = services.empty() ? "" : services.front();
  } else {
    spec.service = model;
  }
  spec.method = "POST";
  spec.path = "/v1/completions";
  spec.headers = {{"X-Tag", tag}};
  spec.repeatable = repeatable;
  spec.priority = priority;
  spec.deadline = deadline;
  spec.caller = "caller";
  spec.idempotency_key = key;
  tell(entry, who.incarnation, event::caller_request{caller, spec});
  took(step::accepted, entry);
  return caller;
}

void world::hang_up(caller_id caller) {
  auto& record = callers_.at(caller);
  if (record.over()) return;
  record.ended = now_;
  record.entry_lost = true;
  const auto& who = *instances_.at(record.entry);
  tell(record.entry, who.incarnation, event::caller_gone{caller});
}

bool world::is_running(const instance_id& id) const {
  return instances_.at(id)->decisions != nullptr;
}

bool world::is_finished(const instance_id& id) const {
  return instances_.at(id)->finished;
}

controller_status world::status(const instance_id& id) const {
  const auto& who = *instances_.at(id);
  return who.decisions ? who.decisions->status() : controller_status{};
}

std::string world::setting(const instance_id& id, const std::string& path,
                           const std::string& key) const {
  const auto& who = *instances_.at(id);
  return who.decisions ? who.decisions->tree()->value(path, key).value : "";
}

std::vector<instance_id> world::instances() const {
  std::vector<instance_id> ids;
  for (const auto& [id, one] : instances_) ids.push_back(id);
  return ids;
}

}  // namespace seamglade::fakes
