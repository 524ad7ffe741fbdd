// seamglade - the direct path's world: requests that end the targets they run
// on
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

/** From the start of a run to the end of its target: before any answer. */
constexpr duration kEndsAfter = 80ms;
constexpr duration kPlainEndsAfter = 20ms;
/** A request or part that has ended so many is to reach few more ... */
constexpr std::size_t kJudgedEnds = 3;
constexpr std::size_t kJudgedEndsByPart = 5;
/** ... of those that are sent so much later, by instances in touch. */
constexpr duration kContact = 3s;
constexpr std::size_t kAllowedLate = 3;
constexpr duration kProbeGivenUp = 300ms;

/** Tells parts from bodies among what ends targets. */
constexpr std::string_view kPartMark = "part ";

std::size_t judged_ends(const std::string& what) {
  return what.starts_with(kPartMark) ? kJudgedEndsByPart : kJudgedEnds;
}

}  // namespace

void gateway_world::end_targets_with_part(const std::string& part,
                                          duration down) {
  ending_bodies_[std::string(kPartMark) + part] = down;
}

const crash_count& gateway_world::crashes_of_part(
    const std::string& part) const {
  return crashes_of(std::string(kPartMark) + part);
}

void gateway_world::judge_parts(const instance& from, target& at,
                                std::string_view parts) {
  for (auto comma = parts.find(','); comma != std::string_view::npos;
       comma = parts.find(',')) {
    const auto part = parts.substr(0, comma);
    judge_crash(
        from, at,
        std::string(kPartMark) + std::string(part.substr(0, part.find(':'))));
    parts.remove_prefix(comma + 1);
  }
}

void gateway_world::end_targets_with(const std::string& body, duration down) {
  ending_bodies_[body] = down;
}

void gateway_world::spare_targets() { ending_bodies_.clear(); }

const crash_count& gateway_world::crashes_of(const std::string& body) const {
  static const crash_count kNone;
  const auto found = crashes_.find(body);
  return found == crashes_.end() ? kNone : found->second;
}

void gateway_world::judge_crash(const instance& from, target& at,
                                const std::string& body) {
  if (!ending_bodies_.contains(body)) return;
  auto& count = crashes_[body];
  const bool in_touch = !from.cut && from.side == 0 &&
                        now_ - from.disturbed > kContact &&
                        now_ >= from.frozen_until;
  const bool late = count.ended >= judged_ends(body) &&
                    now_ - kLinkDelay > count.judged_end + kContact;
  if (in_touch && late && ++count.late_arrivals == kAllowedLate + 1) {
    violation(fmt::format("a body that ended {} targets reached {} more",
                          count.ended, count.late_arrivals));
  }
  const auto wait = at.engine ? kEndsAfter : kPlainEndsAfter;
  later(wait, [this, id = at.id, body, life = at.blackouts, t = &at] {
    if (t->id == id && t->blackouts == life) end_target(id, body);
  });
}

void gateway_world::end_target(const std::string& id, const std::string& body) {
  auto& t = *targets_.at(id);
  if (!ending_bodies_.contains(body)) return;
  auto& count = crashes_[body];
  ++count.ended;
  if (count.ended == judged_ends(body)) count.judged_end = now_;
  for (const auto& open : t.open_calls) {
    if (open.content != body) ++count.broken_others;
  }
  crash_target(id, ending_bodies_.at(body));
}

void gateway_world::crash_target(const std::string& id, duration down) {
  auto& t = *targets_.at(id);
  if (t.down) return;
  t.down = true;
  ++t.blackouts;
  break_calls(t);
  // Its entry is the former one until it starts again.
  later(down, [this, id] {
    const auto found = targets_.find(id);
    if (found == targets_.end()) return;
    auto* ended = found->second.get();
    restart_engine(id);
    ended->down = false;
  });
}

void gateway_world::serve_probe(instance& from,
                                const action::probe_target& probe) {
  using how = event::target_probed::how;
  const auto* t = by_address(probe.address);
  auto outcome = how::connected;
  if (t == nullptr || t->down) outcome = how::refused;
  if (t != nullptr && t->dark) outcome = how::silent;
  switch (from.targets_cut) {
    case target_cut::none:
      break;
    case target_cut::hang:
      outcome = how::silent;
      break;
    case target_cut::reset:
    case target_cut::refuse_new:
      outcome = how::refused;
      break;
    case target_cut::accept_and_reset:
    case target_cut::accept_and_hang:
      outcome = how::connected;
      break;
  }
  const auto wait = outcome == how::silent ? kProbeGivenUp : 2 * kLinkDelay;
  later(wait, [this, who = from.address, life = from.life, id = probe.target,
               outcome, begun = now_] {
    auto& i = *instances_.at(who);
    if (i.life == life) post(i, event::target_probed{id, outcome, begun});
  });
}

void gateway_world::reset_connections(const std::string& id) {
  break_calls(*targets_.at(id));
}

void gateway_world::break_calls(target& at) {
  for (const auto& open : std::exchange(at.open_calls, {})) {
    auto& i = *instances_.at(open.who);
    if (i.life != open.life || i.cancelled.contains(open.call)) continue;
    if (open.stream && open.stream->is_begun) {
      end_stream(*open.stream, fake_stream::ending::close);
      continue;
    }
    i.cancelled.insert(open.call);
    post(i, event::answer_end{open.call, call_end::closed});
  }
}

}  // namespace seamglade::fakes
