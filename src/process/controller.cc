// seamglade - the controller: events, messages and time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <array>

#include "process/controller_impl.h"
#include "seamglade/rendezvous.h"

namespace seamglade {
namespace {

using detail::target_owner;

/** An owner that is not first hands over when this has held for so long. */
constexpr duration kHandoverDelay = 5s;
/** A draining instance keeps taking requests until the balancer knows. */
constexpr duration kDrainGrace = 2s;
/** Facts that fit one heartbeat; bounds the bytes a second. */
constexpr std::size_t kFactsPerBeat = 24;
/** A starting instance waits this long for word from a peer. */
constexpr duration kPeerWait = 3s;
/** Shortest time between two ticks. */
constexpr duration kLeastWait = 1ms;

}  // namespace

controller::impl::impl(controller_options options)
    : core_(std::move(options)),
      store_(core_.options.switches.forward_only),
      members_(core_),
      permits_(core_, members_),
      reader_(core_),
      entry_(core_, *this),
      policy_(core_.options.naive_policy ? make_naive_policy()
                                         : make_segmented_policy()) {
  core_.random.seed(core_.options.seed);
  core_.tree = std::make_shared<const settings_tree>(store_.documents());
}

std::vector<any_action> controller::impl::handle(time_point now,
                                                 any_event event) {
  if (started_ == time_point::min()) started_ = now;
  core_.now = std::max(core_.now, now);
  core_.out.clear();
  std::visit([this]<typename Event>(Event&& e) { on(std::forward<Event>(e)); },
             std::move(event));
  run_due();
  return std::move(core_.out);
}

void controller::impl::run_due() {
  if (documents_changed_) apply_documents();
  catch_up();
  reader_.on_time();
  if (members_.take_change()) refresh_first(false);
  for (auto& [id, owner] : owners_) {
    if (owner.wakeup() <= core_.now) owner.on_time();
    if (auto done = owner.take_handover_done()) {
      const auto successor = owner_of(id);
      if (!successor.empty() && successor != core_.options.self) {
        tell(successor, std::move(*done));
      }
    }
  }
  if (permits_.wakeup() <= core_.now && permits_.on_time()) {
    for (auto& [id, owner] : owners_) owner.pump();
  }
  entry_.on_time();
  served_.expire(core_.now);
  if (next_beat_ <= core_.now) {
    hand_over_if_due();
    send_heartbeats();
  }
  finish_drain();
}

time_point controller::impl::next_wakeup() const {
  // A starting instance looks again when it need not wait for peers.
  const auto peer_wait = started_ + kPeerWait;
  const bool waits = !caught_up_ && peer_wait > core_.now;
  auto next = std::min({waits ? peer_wait : time_point::max(), reader_.wakeup(),
                        permits_.wakeup(), entry_.wakeup(), served_.wakeup(),
                        next_beat_, members_.next_suspicion()});
  for (const auto& [id, owner] : owners_) {
    next = std::min(next, owner.wakeup());
  }
  // What is due now has been done: a deadline that stays due must not turn
  // the loop into a spin.
  return std::max(next, core_.now + kLeastWait);
}

bool controller::impl::ready() const { return !core_.draining && caught_up_; }

void controller::impl::catch_up() {
  if (caught_up_ || !store_.has_fleet() || store_.documents().empty()) return;
  // A stale service may give less than what is in force: nothing is done
  // under it before a peer has told what it has, if one answers in time.
  caught_up_ = heard_peer_ || started_ + kPeerWait <= core_.now ||
               store_.fleet().instances.size() <= 1;
  if (caught_up_) refresh_first(true);
}

void controller::impl::on(event::caller_request&& e) {
  const bool stops = core_.draining && core_.now >= drain_since_ + kDrainGrace;
  if (!caught_up_ || stops) {
    ++core_.counters.refused_not_run;
    core_.act(action::reply_refusal{
        e.caller,
        {outcome_kind::not_run,
         stops ? refusal_reason::draining : refusal_reason::not_ready, 1s}});
    return;
  }
  entry_.accept(e.caller, std::move(e.spec));
}

void controller::impl::on(event::caller_gone&& e) {
  entry_.on_caller_gone(e.caller);
}

void controller::impl::on(event::peer_up&& e) {
  members_.on_up(e.peer, e.incarnation);
  facts_.forget_peer(e.peer);
  entry_.on_peer_up(e.peer, e.incarnation);
  core_.act(action::send_peer{
      e.peer, settings_have{store_.editions(), true, caught_up_}});
  next_beat_ = core_.now;
  refresh_first(false);
}

void controller::impl::on(event::peer_down&& e) {
  members_.on_down(e.peer);
  entry_.on_peer_down(e.peer);
  refresh_first(false);
}

void controller::impl::on(event::peer_message&& e) {
  std::visit(
      [&]<typename Body>(Body&& m) { take(e.from, std::forward<Body>(m)); },
      std::move(e.body));
}

void controller::impl::on(event::target_part&& e) {
  for (auto& [id, owner] : owners_) {
    if (owner.has_call(e.call)) {
      owner.on_part(e.call, std::move(e.piece));
      return;
    }
  }
}

void controller::impl::on(event::target_failed&& e) {
  for (auto& [id, owner] : owners_) {
    if (owner.on_failed(e)) return;
  }
}

void controller::impl::on(event::order_reply&& e) {
  for (auto& [id, owner] : owners_) {
    if (!owner.on_order_reply(e)) continue;
    publish_facts(owner);
    return;
  }
}

void controller::impl::on(event::published&& e) {
  reader_.on_published(e.index);
  for (const auto& document : e.documents) {
    offer(document.name, document.text, document.index);
  }
}

void controller::impl::on(event::service_failed&&) { reader_.on_failed(); }

void controller::impl::on(event::wall_time&& e) {
  core_.wall_offset = std::chrono::milliseconds(e.unix_ms) -
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          core_.now.time_since_epoch());
}

void controller::impl::on(event::tick&&) {}

void controller::impl::on(event::drain&&) {
  if (core_.draining) return;
  core_.draining = true;
  drain_since_ = core_.now;
  next_beat_ = core_.now;
  for (auto& [id, owner] : owners_) {
    hand_over(owner, members_.successor(id));
  }
  // All peers route to this instance, not only its neighbours.
  for (const auto& [id, entry] : store_.fleet().instances) {
    if (members_.linked(id)) send_heartbeat(id, 0);
  }
}

void controller::impl::finish_drain() {
  if (!core_.draining || finished_) return;
  const bool waits = core_.options.switches.drain_waits;
  if (waits && core_.now < drain_since_ + kDrainGrace) return;
  const bool owners_idle =
      std::all_of(owners_.begin(), owners_.end(),
                  [](const auto& o) { return o.second.idle(); });
  if (waits && (!entry_.empty() || served_.open() > 0 || !owners_idle)) return;
  // Peers that have not heard of the drain may have sent a request just now.
  if (waits && core_.now < last_submit_ + kDrainGrace) return;
  finished_ = true;
  core_.act(action::finished{});
}

void controller::impl::take(const instance_id& from, submit&& m) {
  last_submit_ = core_.now;
  if (!served_.begin(m.id)) return;
  submit_here(from, std::move(m));
}

void controller::impl::submit_here(const instance_id& entry, submit&& m) {
  const auto id = m.id;
  const auto it = owners_.find(m.target);
  if (it == owners_.end()) {
    on_refusal(id, entry,
               {outcome_kind::not_run, refusal_reason::not_owner, {}});
    return;
  }
  detail::job request;
  request.id = id;
  request.entry = entry;
  request.spec = std::move(m.spec);
  request.arrived = core_.now;
  request.start_by = core_.now + m.start_within;
  auto& owner = it->second;
  if (const auto refused = owner.submit(std::move(request))) {
    on_refusal(id, entry, *refused);
    return;
  }
  owner.pump();
}

void controller::impl::take(const instance_id&, part&& m) {
  entry_.on_part(m.id, std::move(m.piece));
}

void controller::impl::take(const instance_id&, refuse&& m) {
  entry_.on_refusal(m.id, m.why);
}

void controller::impl::take(const instance_id&, cancel&& m) {
  for (auto& [id, owner] : owners_) owner.cancel(m.id);
  served_.on_acknowledge(m.id);
}

void controller::impl::take(const instance_id& from, query&& m) {
  for (auto& missing :
       served_.on_query(m, core_.options.incarnation, core_.now)) {
    tell(from, std::move(missing));
  }
}

void controller::impl::take(const instance_id&, acknowledge&& m) {
  served_.on_acknowledge(m.id);
}

void controller::impl::take(const instance_id& from, heartbeat&& m) {
  const bool was_alive = members_.alive(from);
  members_.on_heartbeat(from, m);
  for (const auto& fact : m.facts) facts_.learn(fact, from);
  if (m.settings_digest != store_.digest()) {
    core_.act(action::send_peer{
        from, settings_have{store_.editions(), true, caught_up_}});
  }
  if (was_alive != members_.alive(from)) refresh_first(false);
}

void controller::impl::take(const instance_id& from, settings_have&& m) {
  for (auto& newer : store_.newer_than(m.documents)) {
    core_.act(action::send_peer{from, std::move(newer)});
  }
  if (m.answer) {
    core_.act(action::send_peer{
        from, settings_have{store_.editions(), false, caught_up_}});
  }
  // What the peer has more arrives before this, or is asked for again.
  const bool behind =
      std::any_of(m.documents.begin(), m.documents.end(),
                  [&](const auto& edition) { return store_.lacks(edition); });
  heard_peer_ = heard_peer_ || (m.settled && !behind);
}

void controller::impl::take(const instance_id& from, settings_push&& m) {
  if (!m.text) return;
  offer(m.name, *m.text, m.stamp.index);
  if (!caught_up_) {
    core_.act(action::send_peer{
        from, settings_have{store_.editions(), true, caught_up_}});
  }
}

void controller::impl::take(const instance_id& from, permit_request&& m) {
  permits_.on_request(from, m);
}

void controller::impl::take(const instance_id& from, permit_grant&& m) {
  permits_.on_grant(from, m);
  for (auto& [id, owner] : owners_) owner.pump();
}

void controller::impl::take(const instance_id&, handover&& m) {
  const auto it = owners_.find(m.target);
  if (it == owners_.end() || core_.draining) return;
  it->second.on_handover(m);
  facts_.set(short_hash(m.target), kOwnerSubject,
             short_hash(core_.options.self), ++last_fact_clock_);
}

void controller::impl::take(const instance_id&, handover_done&& m) {
  const auto it = owners_.find(m.target);
  if (it != owners_.end()) it->second.on_handover_done(m);
}

void controller::impl::on_answer(const request_id& id, const std::string& entry,
                                 answer_part piece) {
  if (entry == core_.options.self) {
    entry_.on_part(id, std::move(piece));
    return;
  }
  served_.on_answer(id, piece, core_.now);
  tell(entry, part{id, std::move(piece)});
}

void controller::impl::on_refusal(const request_id& id,
                                  const std::string& entry,
                                  const refusal& why) {
  if (entry == core_.options.self) {
    entry_.on_refusal(id, why);
    return;
  }
  served_.on_refusal(id, why, core_.now);
  tell(entry, refuse{id, why});
}

void controller::impl::hand_over(target_owner& owner,
                                 const instance_id& successor) {
  // Without a successor this instance stays: nobody could serve the target.
  if (successor.empty()) return;
  auto given = owner.hand_over();
  if (!given) return;
  const auto target = short_hash(owner.entry().id);
  facts_.set(target, kOwnerSubject, short_hash(successor), ++last_fact_clock_);
  tell(successor, std::move(*given));
}

void controller::impl::hand_over_if_due() {
  if (core_.draining) {
    for (auto& [id, owner] : owners_) {
      hand_over(owner, members_.successor(id));
    }
    return;
  }
  for (auto& [id, owner] : owners_) {
    const auto first = members_.first_alive(id);
    const bool misplaced = owner.owner().held() &&
                           owner.owner().mode() == detail::owner_mode::fenced &&
                           !first.empty() && first != core_.options.self;
    if (!misplaced) {
      misplaced_since_.erase(id);
      continue;
    }
    const auto since = misplaced_since_.emplace(id, core_.now).first->second;
    if (since + kHandoverDelay <= core_.now) hand_over(owner, first);
  }
}

void controller::impl::send_heartbeats() {
  next_beat_ = core_.now + detail::kHeartbeatInterval;
  for (const auto& [id, owner] : owners_) publish_facts(owner);
  for (const auto& peer : members_.neighbours()) {
    if (!members_.linked(peer)) continue;
    const bool passes_on = members_.fact_receivers().contains(peer);
    send_heartbeat(peer, passes_on ? kFactsPerBeat : 0);
  }
}

void controller::impl::send_heartbeat(const instance_id& peer,
                                      std::size_t most_facts) {
  heartbeat beat{
      core_.options.incarnation, core_.draining, store_.digest(), {}};
  if (most_facts > 0) beat.facts = facts_.next_for(peer, most_facts);
  core_.act(action::send_peer{peer, std::move(beat)});
}

controller::controller(controller_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}
controller::~controller() = default;

std::vector<any_action> controller::handle(time_point now, any_event event) {
  return impl_->handle(now, std::move(event));
}
time_point controller::next_wakeup() const { return impl_->next_wakeup(); }
controller_status controller::status() const { return impl_->status(); }
std::shared_ptr<const settings_tree> controller::tree() const {
  return impl_->tree();
}

}  // namespace seamglade
