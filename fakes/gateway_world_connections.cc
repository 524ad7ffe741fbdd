// seamglade - the direct path's world: kept connections and how they fall
// silent
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {

fake_connection kept_connections::take(member_address to,
                                       const fake_connection& opened) {
  auto& idle = idle_[to];
  // Those to a former life were reset when it ended.
  std::erase_if(idle, [&](const auto& c) { return c.life != opened.life; });
  if (idle.empty()) return opened;
  const auto last = idle.back();
  idle.pop_back();
  return last;
}

void gateway_world::silence_connections() {
  ++silences_;
  for (auto& [address, i] : instances_) {
    for (const auto& [id, call] : i->store_calls) {
      fail_store_call(*i, call.watch);
    }
  }
}

bool gateway_world::begin_store_call(instance& from, const store_watch& watch,
                                     bool on_new_connection) {
  if (on_new_connection) {
    ++repeated_store_calls_;
    from.kept.close(kept_connections::kStore);
  }
  const auto by = from.kept.take(kept_connections::kStore, {silences_});
  const auto until = now_ + watch.wait + kStoreTimeout;
  from.store_calls[watch.call] = {watch, by, until};
  if (by.silences == silences_) return true;
  fail_store_call(from, watch);
  return false;
}

void gateway_world::fail_store_call(instance& from, const store_watch& watch) {
  const auto found = from.store_calls.find(watch.call);
  if (found == from.store_calls.end()) return;
  const auto until = found->second.until;
  event::store_read lost;
  lost.call = watch.call;
  lost.scope = watch.scope;
  at(until, [this, who = from.address, life = from.life, lost] {
    auto& i = *instances_.at(who);
    if (i.life == life && end_store_call(i, lost.call, false)) post(i, lost);
  });
}

bool gateway_world::end_store_call(instance& from, store_call_id call,
                                   bool is_answered) {
  const auto found = from.store_calls.find(call);
  if (found == from.store_calls.end()) return false;
  const auto by = found->second.by;
  const bool is_silent = by.silences != silences_;
  if (is_silent && now_ < found->second.until) return false;
  from.store_calls.erase(found);
  if (is_answered) from.kept.keep(kept_connections::kStore, by);
  return true;
}

void gateway_world::serve_fetch(instance& from,
                                const action::fetch_changes& fetch) {
  ++traffic_[distance(from, *instances_.at(fetch.from))].copies;
  if (fetch.on_new_connection) from.kept.close(fetch.from);
  const auto peer_life = instances_.at(fetch.from)->life;
  const auto by = from.kept.take(fetch.from, {silences_, peer_life});
  later(2 * kLinkDelay,
        [this, who = from.address, life = from.life, by, fetch] {
          auto& to = *instances_.at(who);
          if (to.life != life) return;
          if (by.silences == silences_) {
            answer_fetch(to, fetch);
            to.kept.keep(fetch.from, by);
            return;
          }
          later(kCopyTimeout - 2 * kLinkDelay, [this, who, life, fetch] {
            auto& i = *instances_.at(who);
            if (i.life != life) return;
            post(i, event::peer_changes{fetch.call, fetch.from, std::nullopt});
          });
        });
}

void gateway_world::answer_fetch(instance& to,
                                 const action::fetch_changes& fetch) {
  event::peer_changes answer{fetch.call, fetch.from, std::nullopt};
  auto& other = *instances_.at(fetch.from);
  const bool answers = other.core && reachable(to.address, fetch.from) &&
                       now_ >= other.frozen_until && !copies_blocked_;
  if (answers) answer.changes = other.core->changes_after(fetch.known);
  post(to, std::move(answer));
}

}  // namespace seamglade::fakes
