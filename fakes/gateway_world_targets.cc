// seamglade - the direct path's world: targets, their orders and reports
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

constexpr duration kLoadTime = 250ms;
constexpr duration kModelLoadTime = 600ms;
constexpr duration kReportLag = 100ms;
constexpr duration kPlainWork = 30ms;
constexpr duration kEngineWork = 400ms;
/** Requests that a plain target takes for each slot. */
constexpr std::size_t kQueuedPart = 4;
constexpr duration kLease = 3s;
/** An order or a question that hangs is given up after this. */
constexpr duration kCallPatience = 1s;
/** Holders are judged when they have been undisturbed this long. */
constexpr duration kContact = 3s;
constexpr std::size_t kParallelLoads = 4;
constexpr std::size_t kKeptStates = 64;

}  // namespace

gateway_world::target* gateway_world::by_address(const std::string& address) {
  for (auto& [id, t] : targets_) {
    if (t->address == address) return t.get();
  }
  return nullptr;
}

void gateway_world::serve_call(instance& from,
                               const action::call_target& call) {
  const auto who = from.address;
  const auto life = from.life;
  if (from.connections_denied) {
    later(0ms, [this, who, life, id = call.call] {
      auto& i = *instances_.at(who);
      if (i.life != life) return;
      post(i, event::answer_end{id, call_end::no_room});
    });
    return;
  }
  later(kLinkDelay, [this, who, life, call] {
    auto& i = *instances_.at(who);
    if (i.life != life || i.cancelled.contains(call.call)) return;
    auto* t = by_address(call.address);
    if (t == nullptr || t->down) {
      post(i, event::answer_end{call.call, call_end::not_sent});
      return;
    }
    if (t->dark || is_call_stopped(i, call)) return;
    run_request(i, *t, call);
  });
}

void gateway_world::run_request(instance& from, target& at,
                                const action::call_target& call) {
  const auto refuse = [&](int status) {
    answer(at, from.address, from.life, call.call, status,
           {{"X-Request-Id", call.request_id}, {"X-Not-Executed", "1"}}, "",
           kLinkDelay);
  };
  if (header_of(call.headers, "X-Expect-Replica") != at.id) {
    refuse(421);
    return;
  }
  if (at.leaves_after != time_point{} && now_ > at.leaves_after) {
    violation(at.id + " got a request after it had left");
  }
  judge_words(from, at, *calls_by_id_.at(call.request_id));
  judge_limit(from, at);
  if (auto headers = turned_away(at)) {
    ++unheeded_.turned_away;
    headers->push_back({"X-Request-Id", call.request_id});
    answer(at, from.address, from.life, call.call, 503, std::move(*headers), "",
           kLinkDelay);
    return;
  }
  const auto name = header_of(call.headers, "X-Model");
  std::string adapter;
  if (at.engine) {
    adapter = name.substr(name.find('/') + 1);
    const auto held = at.adapters.find(adapter);
    const auto expected = header_of(call.headers, "X-Expect-Version");
    if (held == at.adapters.end() ||
        (!expected.empty() && std::to_string(held->second) != expected)) {
      refuse(421);
      return;
    }
    ++at.running[adapter];
  }
  const auto work = at.engine ? std::optional(kEngineWork) : plain_work(at);
  if (!work) {
    ++rejections_;
    refuse(503);
    return;
  }
  const bool falls_over = judge_cold(at);
  ++at.runs;
  ++runs_[call.request_id];
  run_domains_[call.request_id].insert(at.domain);
  run_targets_[call.request_id].insert(at.id);
  const auto left = std::stoll("0" + header_of(call.headers, "X-Deadline-Ms"));
  auto& until = handed_until_[call.request_id];
  until = std::max(until, now_ + duration(left * 1ms));
  keep_contents(at, adapter, header_of(call.headers, "X-Prefix-Hash"));
  judge_evacuation(from, at, "a request");
  judge_key(call);
  judge_region(at, *calls_by_id_.at(call.request_id));
  at.open_calls.push_back({from.address, from.life, call.call, *call.body});
  judge_crash(from, at, *call.body);
  judge_parts(from, at, header_of(call.headers, "X-Prefix-Hash"));
  const auto life = from.life;
  const auto who = from.address;
  auto* t = &at;
  later(*work, [t, adapter] {
    if (t->engine && t->running[adapter] > 0) --t->running[adapter];
  });
  if (cuts_stream(from, at, call)) return;
  if (at.streams) {
    begin_stream(from, at, call, *work);
    return;
  }
  if (at.broken || falls_over) {
    answer(at, who, life, call.call, 500,
           {{"X-Request-Id", call.request_id}, {"X-Server-Stamp", "s"}},
           "failed", *work);
    return;
  }
  const bool lost =
      std::uniform_real_distribution<>(0, 1)(random_) < at.lost_answers;
  if (lost) {
    later(*work, [this, who, life, id = call.call] {
      auto& i = *instances_.at(who);
      if (i.life != life || i.cancelled.contains(id)) return;
      post(i, event::answer_end{id, call_end::closed});
    });
    return;
  }
  const std::string body =
      at.engine ? fmt::format("id: 1\ndata: {0}\n\nid: 2\ndata: end {0}\n\n",
                              call.request_id)
                : "answer to " + call.request_id;
  answer(at, who, life, call.call, 200,
         {{"X-Request-Id", call.request_id}, {"X-Server-Stamp", "s"}}, body,
         *work + at.slower);
}

std::optional<duration> gateway_world::plain_work(target& at) {
  const auto slots = options_.plain_slots;
  if (slots == 0) return kPlainWork;
  std::erase_if(at.ends, [&](time_point end) { return end <= now_; });
  if (at.ends.size() >= kQueuedPart * slots) return std::nullopt;
  // It starts when as many as there are slots are left before it.
  std::sort(at.ends.begin(), at.ends.end());
  const auto start =
      at.ends.size() < slots ? now_ : at.ends[at.ends.size() - slots];
  at.ends.push_back(start + kPlainWork);
  return at.ends.back() - now_;
}

void gateway_world::answer(target& at, member_address to, std::uint64_t life,
                           call_id call, int status,
                           std::vector<http_header> headers, std::string body,
                           duration after) {
  if (at.says_leaving) headers.push_back({"Server-Leaving", "1"});
  add_limit(at, headers);
  later(after,
        [this, t = &at, blackouts = at.blackouts, to, life, call, status,
         headers = std::move(headers), body = std::move(body)]() mutable {
          if (t->blackouts != blackouts) return;
          std::erase_if(t->open_calls, [&](const auto& open) {
            return open.who == to && open.life == life && open.call == call;
          });
          deliver(to, life, [this, t, to, call, status, headers, body] {
            auto& i = *instances_.at(to);
            if (i.cancelled.contains(call)) return;
            note_told(*t, to, headers);
            // A connection that a partition lets live on had been kept.
            const bool is_kept = i.targets_cut == target_cut::refuse_new;
            post(i, event::answer_head{call,
                                       status,
                                       "",
                                       headers,
                                       body_framing::length,
                                       {1, is_kept ? 1U : 0U}});
            if (!body.empty()) {
              post(i, event::answer_data{
                          call, std::make_shared<const std::string>(body)});
            }
            post(i, event::answer_end{call, call_end::complete});
          });
        });
}

void gateway_world::serve_order(instance& from,
                                const action::send_order& order) {
  const auto who = from.address;
  const auto life = from.life;
  later(kLinkDelay, [this, who, life, order] {
    auto& i = *instances_.at(who);
    if (i.life != life) return;
    judge_series(i, order);
    auto status = engine_order_status::unanswered;
    auto* t = by_address(order.address);
    const bool is_cut = i.targets_cut != target_cut::none;
    if (t != nullptr && !t->dark && !t->down && !is_cut) {
      status = t->id == order.target ? take_order(i, *t, order.order)
                                     : engine_order_status::misplaced;
    }
    const bool is_dark = (t != nullptr && t->dark) || holds_up(i);
    const auto wait = is_dark ? kCallPatience : kLinkDelay;
    const target_word word{t != nullptr && t->says_leaving};
    later(wait, [this, who, life, call = order.call, status, word] {
      auto& to = *instances_.at(who);
      if (to.life == life) post(to, event::order_answer{call, status, word});
    });
  });
}

void gateway_world::judge_series(instance& from,
                                 const action::send_order& order) {
  if (order.series == 0) return;
  const bool is_load = order.order.kind == engine_order_kind::load;
  const auto about = std::pair(order.target, order.order.what);
  const auto [known, is_new] = from.series.try_emplace(order.series, about);
  auto& last = from.last_series[about];
  if (is_new) {
    last = order.series;
    return;
  }
  ++questions_;
  const bool goes_on = known->second == about && last == order.series;
  if (is_load && goes_on) return;
  violation(fmt::format("{}: an order about {} joins an earlier one's series",
                        order.target, order.order.what.str()));
}

void gateway_world::note_holder(target& at, const engine_order& order) {
  const auto [known, is_new] =
      at.fence_holders.try_emplace(order.fence, order.holder);
  if (!is_new && known->second != order.holder) {
    violation(fmt::format("{}: one fence, two holders", at.id));
  }
  bool in_touch = false;
  bool last_has_stopped = false;
  for (const auto& [address, i] : instances_) {
    const auto name = fmt::format("node-{}", address & 0xff);
    if (name == at.last_holder) last_has_stopped = i->stopping;
    if (name != order.holder) continue;
    in_touch = now_ - i->disturbed > kContact && now_ >= i->frozen_until;
  }
  const bool other = !at.last_holder.empty() && at.last_holder != order.holder;
  const bool judged =
      !options_.fenced || (in_touch && at.last_in_touch && !last_has_stopped);
  if (other && judged && now_ - at.last_order < kLease) {
    violation(fmt::format("{}: {} and {} take turns within {} ms", at.id,
                          at.last_holder, order.holder,
                          (now_ - at.last_order) / 1ms));
  }
  if (other) ++at.holder_changes;
  at.last_holder = order.holder;
  at.last_order = now_;
  at.last_in_touch = in_touch;
}

engine_order_status gateway_world::take_order(instance& from, target& at,
                                              const engine_order& order) {
  ++at.orders;
  judge_evacuation(from, at, "an order");
  if (options_.fenced && order.fence < at.highest_fence) {
    return engine_order_status::fenced;
  }
  if (!options_.fenced && order.fence < at.highest_fence) {
    violation(at.id + ": a lower fence after a higher one");
  }
  at.highest_fence = order.fence;
  note_holder(at, order);
  const auto& name = order.what.adapter;
  auto* t = &at;
  if (name.empty()) {
    if (at.busy) return engine_order_status::busy;
    if (at.has_model) return engine_order_status::done;
    at.busy = true;
    later(kModelLoadTime, [this, t] {
      t->busy = false;
      t->has_model = true;
      ++t->sequence;
      publish_target(*t);
    });
    return engine_order_status::started;
  }
  if (order.kind == engine_order_kind::unload) {
    if (!at.adapters.contains(name)) return engine_order_status::rejected;
    if (at.running[name] > 0) return engine_order_status::started;
    at.adapters.erase(name);
    at.contents.erase(name);
    ++at.sequence;
    publish_target(at);
    return engine_order_status::done;
  }
  const auto newest = std::max(1U, versions_[name]);
  const auto held = at.adapters.find(name);
  if (held != at.adapters.end() && held->second >= newest) {
    return engine_order_status::done;
  }
  // An order for what is under way changes nothing.
  const auto pending = at.pending.find(name);
  if (pending != at.pending.end() && pending->second.second >= newest) {
    return engine_order_status::started;
  }
  if (at.pending.size() >= kParallelLoads) return engine_order_status::busy;
  if (held == at.adapters.end() && !at.pending.contains(name) &&
      at.places_taken() >= options_.adapter_slots) {
    violation(at.id + " was ordered to load beyond its places");
  }
  ++loads_;
  at.pending[name] = {now_ + kLoadTime, newest};
  note_state(at);
  later(kLoadTime, [this, t, name, newest] {
    if (t->pending.erase(name) == 0) return;
    t->adapters[name] = newest;
    ++t->sequence;
    publish_target(*t);
  });
  return engine_order_status::started;
}

void gateway_world::serve_report(instance& from,
                                 const action::read_report& ask) {
  const auto who = from.address;
  const auto life = from.life;
  later(kLinkDelay, [this, who, life, ask] {
    auto* t = by_address(ask.address);
    event::report_answer answer{ask.call, std::nullopt};
    const auto& asker = *instances_.at(who);
    const bool is_dark = (t != nullptr && t->dark) || holds_up(asker);
    const bool is_cut = asker.targets_cut != target_cut::none;
    if (t != nullptr && !is_dark && !t->down && !is_cut) {
      ++t->orders;
      judge_evacuation(*instances_.at(who), *t, "a question");
      // The state of a while ago: the newest entry that is old enough.
      engine_report old =
          t->history.empty() ? t->report() : t->history.front().second;
      for (const auto& [when, report] : t->history) {
        if (when + kReportLag <= now_) old = report;
      }
      if (ask.target == t->id) answer.report = old;
      answer.word.is_leaving = t->says_leaving;
    }
    const auto wait = is_dark ? kCallPatience : kLinkDelay;
    later(wait, [this, who, life, answer] {
      auto& to = *instances_.at(who);
      if (to.life == life) post(to, answer);
    });
  });
}

void gateway_world::note_state(target& at) {
  at.history.emplace_back(now_, at.report());
  if (at.history.size() > kKeptStates) at.history.erase(at.history.begin());
}

}  // namespace seamglade::fakes
