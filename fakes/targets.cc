// seamglade - fakes of targets: slots, fences, token streams
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>

#include "world.h"
#include "world_impl.h"

namespace seamglade::fakes {
namespace {

/** A target that cannot be reached is given up on after this long. */
constexpr duration kConnectTimeout = 1s;
/** The default lease, and the way to the target. */
constexpr duration kLongestLease = 2s + 2 * kLatency;

std::string tag_of(const request_spec& spec) {
  for (const auto& header : spec.headers) {
    if (header.name == "X-Tag") return header.value;
  }
  return {};
}

std::string token(const std::string& tag, const std::string& model,
                  std::uint32_t number) {
  return fmt::format("{}|{}|{} ", tag, model, number);
}

}  // namespace

std::string world::full_text(const std::string& tag, const std::string& model,
                             std::uint32_t tokens) {
  std::string text;
  for (std::uint32_t i = 1; i <= tokens; ++i) text += token(tag, model, i);
  return text;
}

void world::add_target(const target_id& id, target_options options) {
  auto fresh = std::make_unique<target>();
  fresh->id = id;
  fresh->options = std::move(options);
  targets_.emplace(id, std::move(fresh));
}

std::vector<target_id> world::targets() const {
  std::vector<target_id> ids;
  for (const auto& [id, one] : targets_) ids.push_back(id);
  return ids;
}

std::vector<std::string> world::loaded(const target_id& id) const {
  std::vector<std::string> names;
  for (const auto& [name, a] : targets_.at(id)->adapters) {
    if (a.ready) names.push_back(name);
  }
  return names;
}

std::string world::holder(const target_id& id) const {
  return targets_.at(id)->highest.holder;
}

void world::restart_target(const target_id& id) {
  auto& t = *targets_.at(id);
  ++t.incarnation;
  t.adapters.clear();
  t.down = false;
  std::vector<std::uint64_t> cut_off;
  for (const auto& [number, r] : active_) {
    if (r->target == id) cut_off.push_back(number);
  }
  for (const auto number : cut_off) end_run(number, true);
}

void world::stop_target(const target_id& id) {
  restart_target(id);
  targets_.at(id)->down = true;
}

void world::fail_loads(const target_id& id, std::uint32_t count) {
  targets_.at(id)->fail_loads = count;
}

void world::slow_target(const target_id& id, int factor) {
  targets_.at(id)->slowness = factor;
}

void world::set_reports_frozen(const target_id& id, bool frozen) {
  auto& t = *targets_.at(id);
  t.frozen_report.reset();
  if (frozen) t.frozen_report = report_of(t);
}

void world::act(instance& who, action::call_target& a) {
  const auto owner = who.id;
  const auto incarnation = who.incarnation;
  const auto call = a.call;
  // The shell reads its clock right before it writes.
  const bool late = now_ > a.not_after;
  const auto& t = *targets_.at(a.target);
  if (late || t.down || is_cut(owner, a.target)) {
    const auto wait = late     ? duration::zero()
                      : t.down ? kLatency
                               : kConnectTimeout;
    later(wait, [this, owner, incarnation, call] {
      tell(owner, incarnation, event::target_failed{call, false, false});
    });
    return;
  }
  later(kLatency,
        [this, owner, incarnation, a] { arrive(owner, incarnation, a); });
}

void world::arrive(const instance_id& owner, std::uint64_t incarnation,
                   const action::call_target& a) {
  auto& t = *targets_.at(a.target);
  const auto call = a.call;
  if (t.down) {
    tell(owner, incarnation, event::target_failed{call, true, false});
    return;
  }
  const auto model = a.spec.adapter ? a.spec.adapter->str() : std::string();
  const bool plain = t.options.base.empty();
  const auto it = t.adapters.find(model);
  if (!plain && (it == t.adapters.end() || !it->second.ready)) {
    later(kLatency, [this, owner, incarnation, call] {
      tell(owner, incarnation, event::target_failed{call, true, true});
    });
    return;
  }
  if (t.options.checks_orders && !t.claimed_by.empty() &&
      t.claimed_by != owner && now_ > t.holder_since + kLongestLease) {
    target_faults_.push_back(fmt::format(
        "{} got a request of former owner {} after its lease", t.id, owner));
  }
  if (!plain) ++it->second.running;
  note_batch(t, +1);
  auto fresh = std::make_unique<run>();
  fresh->number = ++last_run_;
  fresh->owner = owner;
  fresh->owner_incarnation = incarnation;
  fresh->call = call;
  fresh->target = a.target;
  fresh->target_incarnation = t.incarnation;
  fresh->model = model;
  fresh->tag = tag_of(a.spec);
  runs_.push_back({fresh->tag, a.target, model, a.spec.idempotency_key, now_});
  const auto number = fresh->number;
  active_.emplace(number, std::move(fresh));
  later(t.options.token_time * t.slowness,
        [this, number] { next_token(number); });
}

void world::next_token(std::uint64_t number) {
  const auto it = active_.find(number);
  if (it == active_.end()) return;
  auto& r = *it->second;
  auto& t = *targets_.at(r.target);
  ++r.sent;
  const bool last = r.sent == t.options.tokens;
  answer_part piece;
  piece.sequence = r.sent - 1;
  piece.status = r.sent == 1 ? 200 : 0;
  piece.data =
      std::make_shared<const std::string>(token(r.tag, r.model, r.sent));
  piece.last = last;
  const auto owner = r.owner;
  const auto incarnation = r.owner_incarnation;
  const auto call = r.call;
  const auto sent = r.sent;
  const auto where = r.target;
  later(kLatency, [this, owner, incarnation, call, piece, sent, last, where] {
    tell(owner, incarnation, event::target_part{call, piece});
    const auto which = last        ? step::last_token
                       : sent == 1 ? step::first_token
                                   : step::mid_stream;
    took(which, owner, where);
  });
  if (last) return end_run(number, false);
  later(t.options.token_time * t.slowness,
        [this, number] { next_token(number); });
}

void world::end_run(std::uint64_t number, bool broken) {
  const auto it = active_.find(number);
  if (it == active_.end()) return;
  const auto r = std::move(it->second);
  active_.erase(it);
  auto& t = *targets_.at(r->target);
  note_batch(t, -1);
  const auto a = t.adapters.find(r->model);
  if (a != t.adapters.end() && a->second.running > 0 &&
      r->target_incarnation == t.incarnation) {
    --a->second.running;
  }
  if (!broken) return;
  const auto owner = r->owner;
  const auto incarnation = r->owner_incarnation;
  const auto call = r->call;
  later(kLatency, [this, owner, incarnation, call] {
    tell(owner, incarnation, event::target_failed{call, true, false});
  });
}

void world::act(instance& who, action::cancel_call& a) {
  for (const auto& [number, r] : active_) {
    if (r->owner == who.id && r->owner_incarnation == who.incarnation &&
        r->call == a.call) {
      return end_run(number, true);
    }
  }
  const auto owner = who.id;
  const auto incarnation = who.incarnation;
  const auto call = a.call;
  later(kLatency, [this, owner, incarnation, call] {
    tell(owner, incarnation, event::target_failed{call, true, false});
  });
}

void world::note_batch(target& t, int change) {
  const double passed =
      std::chrono::duration<double>(now_ - t.batch_since).count();
  if (t.running > 0) {
    t.batch.busy_seconds += passed;
    t.batch.request_seconds += passed * t.running;
  }
  t.batch_since = now_;
  t.running += static_cast<std::uint32_t>(change);
}

world::batch_use world::batches(const target_id& id) const {
  return targets_.at(id)->batch;
}

void world::set_weight_store(double rate, std::uint32_t parallel) {
  store_rate_ = rate;
  store_parallel_ = parallel;
}

void world::begin_load(std::function<void()> done, duration takes) {
  if (store_rate_ <= 0) return later(takes, std::move(done));
  store_queue_.push_back({std::move(done), takes});
  store_step();
}

void world::store_step() {
  if (store_queue_.empty() || store_running_ >= store_parallel_) return;
  if (now_ < store_next_) {
    at(store_next_, [this] { store_step(); });
    return;
  }
  auto next = std::move(store_queue_.front());
  store_queue_.pop_front();
  ++store_running_;
  store_next_ = now_ + duration(static_cast<std::int64_t>(1e6 / store_rate_));
  later(next.takes, [this, done = std::move(next.done)] {
    --store_running_;
    done();
    store_step();
  });
  if (!store_queue_.empty()) at(store_next_, [this] { store_step(); });
}

target_report world::report_of(const target& t) const {
  target_report report;
  report.incarnation = t.incarnation;
  for (const auto& [name, a] : t.adapters) {
    if (a.ready) report.loaded.push_back({name, a.running});
  }
  report.highest = t.highest;
  report.holder_age =
      t.highest.holder.empty() ? duration::zero() : now_ - t.renewed;
  return report;
}

void world::act(instance& who, action::send_order& a) {
  const auto from = who.id;
  const auto incarnation = who.incarnation;
  if (targets_.at(a.target)->down || is_cut(from, a.target)) {
    const auto order = a.order;
    const auto wait = targets_.at(a.target)->down ? kLatency : a.timeout;
    later(wait, [this, from, incarnation, order] {
      tell(from, incarnation,
           event::order_reply{order, order_status::unreachable, std::nullopt});
    });
    return;
  }
  later(kLatency, [this, from, incarnation, a] {
    carry_out_order(from, incarnation, a);
  });
}

void world::answer_order(const instance_id& to, std::uint64_t incarnation,
                         call_id order, const target_id& from,
                         order_status status, bool with_report) {
  const auto& t = *targets_.at(from);
  event::order_reply reply{order, status, std::nullopt};
  if (with_report) {
    reply.report = report_of(t);
    if (t.frozen_report) reply.report->loaded = t.frozen_report->loaded;
  }
  later(kLatency, [this, to, incarnation, reply, from] {
    // A cut swallows the answer: the order may have been carried out.
    if (is_cut(from, to)) return;
    tell(to, incarnation, reply);
  });
}

void world::carry_out_order(const instance_id& from, std::uint64_t incarnation,
                            const action::send_order& a) {
  auto& t = *targets_.at(a.target);
  const auto answer = [&](order_status status, bool with_report = false) {
    answer_order(from, incarnation, a.order, a.target, status, with_report);
  };
  if (t.down) return;
  if (a.what.kind == order_kind::report) {
    return answer(order_status::done, true);
  }
  if (t.options.checks_orders) {
    if (!a.what.guard || *a.what.guard < t.highest) {
      return answer(order_status::stale, true);
    }
    t.highest = *a.what.guard;
  }
  if (a.what.kind == order_kind::claim) {
    t.renewed = now_;
    if (t.claimed_by != from) t.holder_since = now_;
    t.claimed_by = from;
    return answer(order_status::done, true);
  }
  const auto name = a.what.adapter->str();
  if (a.what.kind == order_kind::unload) {
    const auto it = t.adapters.find(name);
    const bool in_use = it != t.adapters.end() && it->second.running > 0;
    if (in_use && t.options.refuses_busy_unload) {
      return answer(order_status::busy);
    }
    if (in_use) {
      target_faults_.push_back(
          fmt::format("{} unloaded on {} while in use", name, a.target));
    }
    t.adapters.erase(name);
    return answer(order_status::done);
  }
  if (t.fail_loads > 0) {
    --t.fail_loads;
    return answer(order_status::failed);
  }
  const auto it = t.adapters.find(name);
  if (it != t.adapters.end() && it->second.ready) {
    return answer(order_status::done);
  }
  if (it == t.adapters.end() && t.adapters.size() >= t.options.slots) {
    return answer(order_status::full);
  }
  t.adapters[name];
  const auto where = a.target;
  const auto order = a.order;
  const auto life = t.incarnation;
  const auto takes = load_time_of ? load_time_of(name) : t.options.load_time;
  auto done = [this, from, incarnation, order, where, name, life] {
    auto& self = *targets_.at(where);
    if (self.incarnation != life || self.down) return;
    const auto loading = self.adapters.find(name);
    if (loading == self.adapters.end()) return;
    loading->second.ready = true;
    answer_order(from, incarnation, order, where, order_status::done, false);
  };
  begin_load(std::move(done), takes * t.slowness);
}

}  // namespace seamglade::fakes
