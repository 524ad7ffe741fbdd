// seamglade - the direct path: whether this instance reaches targets at all
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/gateway_impl.h"

namespace seamglade::gateway {

bool gateway_view::is_out_of_reach(const target_state& target) const {
  return reach_.is_out_of_reach(target.hash);
}

void gateway_core::impl::note_reached(const target_id& target) {
  const auto since = reach_.cut_since();
  if (reach_.heard(now_, hash_of(target))) end_cut(*since);
  blame_refusing_targets();
}

void gateway_core::impl::note_connected() {
  const auto since = reach_.cut_since();
  if (reach_.connected(now_)) end_cut(*since);
}

void gateway_core::impl::note_unreached(const target_id& target, call_end how) {
  if (target.empty()) return;
  if (how == call_end::not_sent) {
    reach_.not_connected(now_, hash_of(target));
  } else {
    reach_.failed(now_, hash_of(target));
  }
}

void gateway_core::impl::note_tried(const event::target_probed& e) {
  using how = event::target_probed::how;
  const auto since = reach_.cut_since();
  const auto hash = hash_of(e.target);
  const bool was_out = reach_.is_out_of_reach(hash);
  if (reach_.probed(now_, hash, e.outcome == how::connected)) end_cut(*since);
  auto* target = targets_.find(e.target);
  if (target != nullptr && e.outcome != how::connected) {
    target->doubt.refused(now_, copy_confirmed_);
  } else if (target != nullptr && !reach_.is_cut_off()) {
    target->doubt.connected(now_);
  }
  const bool is_out = reach_.is_out_of_reach(hash);
  if (is_out == was_out) return;
  log(is_out ? "target_out_of_reach" : "target_in_reach",
      {{"target", e.target},
       {"refused", static_cast<std::int64_t>(e.outcome == how::refused)}});
  waiting_dirty_ = true;
}

void gateway_core::impl::watch_reach() {
  const bool was_cut_off = reach_.is_cut_off();
  for (const auto hash : reach_.due_probes(now_, targets_.size())) {
    try_connection(targets_.find(hash));
  }
  ask_witnesses(reach_.take_witnesses(now_, targets_.size()));
  if (reach_.is_cut_off() && !was_cut_off) begin_cut();
  leave_way_trials();
  const auto count = reach_.probes_due_in_cut(now_);
  if (count > 0) try_some(targets_.staying(now_), count);
}

void gateway_core::impl::try_some(std::vector<target_state*> targets,
                                  std::size_t count) {
  std::shuffle(targets.begin(), targets.end(), random_);
  targets.resize(std::min(count, targets.size()));
  for (const auto* target : targets) try_connection(target);
}

void gateway_core::impl::ask_witnesses(std::size_t count) {
  if (count == 0 || !config_) return;
  auto asked = targets_.staying(now_);
  std::erase_if(asked, [this](const target_state* target) {
    const auto* service = config_->find_service(target->entry.service);
    const bool reports = service != nullptr && service->engine;
    return !reports || reach_.owes_byte(target->hash) || gets_nothing(*target);
  });
  std::shuffle(asked.begin(), asked.end(), random_);
  asked.resize(std::min(count, asked.size()));
  for (const auto* target : asked) {
    const auto call = next_engine_call_++;
    engine_call witness{target->entry.id, 0, now_, target->entry.started_ms};
    witness.is_witness = true;
    engine_calls_[call] = std::move(witness);
    log("witness_asked", {{"target", target->entry.id}});
    do_act(action::read_report{call, target->entry.address, target->entry.id});
  }
}

void gateway_core::impl::hear_witness(const target_id& target,
                                      bool is_answered) {
  if (is_answered) {
    note_reached(target);
  } else {
    note_unreached(target, call_end::closed);
  }
}

void gateway_core::impl::try_connection(const target_state* target) {
  if (target == nullptr || target->has_left(now_)) return;
  do_act(action::probe_target{target->entry.id, target->entry.address});
}

void gateway_core::impl::begin_cut() {
  ++counts_.target_cuts;
  log("targets_lost",
      {{"out_of_reach", static_cast<std::int64_t>(reach_.out_of_reach())},
       {"silent", static_cast<std::int64_t>(reach_.is_all_silent())},
       {"members", static_cast<std::int64_t>(staying_.size())}},
      true);
  tell_cut(true);
  leave_hung_calls();
  waiting_dirty_ = true;
}

void gateway_core::impl::end_cut(time_point since) {
  log("targets_back", {{"after_ms", to_ms(now_ - since)}}, true);
  tell_cut(false);
  waiting_dirty_ = true;
}

void gateway_core::impl::tell_cut(bool is_cut_off) {
  roster_.set_cut_off(is_cut_off);
  next_beat_ = now_;
}

}  // namespace seamglade::gateway
