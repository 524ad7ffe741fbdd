// seamglade - fakes of the links between instances under virtual time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "world.h"
#include "world_impl.h"

namespace seamglade::fakes {
namespace {

constexpr duration kReconnect = 300ms;
/** A cut link is noticed by its ends after this long. */
constexpr duration kLinkTimeout = 5s;

std::pair<instance_id, instance_id> key_of(const instance_id& a,
                                           const instance_id& b) {
  return a < b ? std::pair(a, b) : std::pair(b, a);
}

}  // namespace

void world::act(instance& who, action::send_peer& a) {
  const auto key = key_of(who.id, a.to);
  const auto link = links_.find(key);
  if (link == links_.end() || !link->second.up) return;
  const auto epoch = link->second.epoch;
  const auto from = who.id;
  const auto to = a.to;
  const bool forwards = std::holds_alternative<submit>(a.body);
  const bool hands_over = std::holds_alternative<handover>(a.body);
  const target_id where = forwards     ? std::get<submit>(a.body).target
                          : hands_over ? std::get<handover>(a.body).target
                                       : target_id();
  if (draw(random_) >= faults_.lose) {
    duration wait = kLatency;
    if (draw(random_) < faults_.late) {
      wait += duration(static_cast<std::int64_t>(
          draw(random_) * static_cast<double>(faults_.lateness.count())));
    }
    deliver(from, to, epoch, a.body, wait);
    if (draw(random_) < faults_.twice) {
      deliver(from, to, epoch, a.body, wait + kLatency);
    }
  }
  if (forwards) took(step::forwarded, from, where);
  if (hands_over) took(step::handed_over, from, where);
}

void world::deliver(const instance_id& from, const instance_id& to,
                    std::uint64_t epoch, const message& body, duration wait) {
  later(wait, [this, from, to, epoch, body] {
    const auto& link = links_[key_of(from, to)];
    if (!link.up || link.epoch != epoch) return;
    if (is_cut(from, to)) {
      // Kept by the sender's system until the link heals or is given up.
      return deliver(from, to, epoch, body, 200ms);
    }
    auto& receiver = *instances_.at(to);
    const bool queued = std::holds_alternative<submit>(body);
    const auto where = queued ? std::get<submit>(body).target : target_id();
    tell(to, receiver.incarnation, event::peer_message{from, body});
    if (queued) took(step::queued, to, where);
  });
}

void world::act(instance& who, action::link_peers& a) {
  who.wanted.clear();
  for (const auto& peer : a.peers) who.wanted.insert(peer.id);
}

bool world::is_cut(const std::string& from, const std::string& to) const {
  return cuts_.contains({from, to});
}

void world::cut(const std::string& from, const std::string& to) {
  cuts_.emplace(from, to);
}

void world::heal() { cuts_.clear(); }

void world::link_down(const link_key& key) {
  auto& link = links_[key];
  if (!link.up) return;
  link.up = false;
  ++link.epoch;
  for (const auto& [end, other] : {key, link_key{key.second, key.first}}) {
    const auto id = end;
    const auto peer = other;
    const auto incarnation = instances_.at(id)->incarnation;
    later(kLatency, [this, id, peer, incarnation] {
      tell(id, incarnation, event::peer_down{peer});
    });
  }
}

void world::check_links() {
  later(kReconnect, [this] { check_links(); });
  for (const auto& [a, first] : instances_) {
    for (const auto& b : first->wanted) {
      if (!(a < b) || !instances_.contains(b)) continue;
      auto& second = *instances_.at(b);
      auto& link = links_[{a, b}];
      const bool broken = is_cut(a, b) || is_cut(b, a);
      if (!broken) link.cut_since = time_point::max();
      if (broken && link.cut_since == time_point::max()) link.cut_since = now_;
      if (link.up) {
        if (broken && now_ - link.cut_since >= kLinkTimeout) {
          link_down({a, b});
        }
        continue;
      }
      const bool frozen =
          now_ < first->frozen_until || now_ < second.frozen_until;
      if (broken || frozen || !first->decisions || !second.decisions ||
          first->finished || second.finished) {
        continue;
      }
      link.up = true;
      ++link.epoch;
      tell(a, first->incarnation, event::peer_up{b, second.incarnation});
      tell(b, second.incarnation, event::peer_up{a, first->incarnation});
    }
  }
}

}  // namespace seamglade::fakes
