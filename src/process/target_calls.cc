// seamglade - the owner of one target: requests that run there
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "process/target_owner.h"

namespace seamglade::detail {
namespace {

constexpr double kRunWeight = 0.1;  // of the newest run in the mean
constexpr std::uint32_t kMaxReturns = 3;

}  // namespace

void target_owner::dispatch(job what) {
  if (!shared_.options.switches.exact_version && what.spec.adapter) {
    take_any_version(what);
  }
  const auto call = shared_.next_call();
  const auto adapter = what.adapter();
  const auto waited = shared_.now - what.arrived;
  if (what.missed) {
    shared_.counters.load_stall_seconds +=
        std::chrono::duration<double>(waited).count();
  }
  slots_.pin(adapter);
  shared_.log(action::decision_kind::dispatch, entry_.id,
              what.spec.adapter ? adapter.str() : std::string(),
              what.missed ? "loaded" : "ready", what.id);
  shared_.act(action::call_target{
      call, entry_.id, entry_.address, what.spec,
      std::min(ownership_.lease_end(), what.start_by + settings().lease)});
  running_.emplace(call, running_job{std::move(what), shared_.now});
}

bool target_owner::on_part(call_id call, answer_part piece) {
  const auto it = running_.find(call);
  if (it == running_.end()) return false;
  const auto id = it->second.what.id;
  const auto entry = it->second.what.entry;
  const bool last = piece.last;
  if (last) {
    const double ran =
        std::chrono::duration<double>(shared_.now - it->second.started).count();
    mean_run_ += kRunWeight * (ran - mean_run_);
    slots_.unpin(it->second.what.adapter());
    running_.erase(it);
    note_success();
  }
  sink_.on_answer(id, entry, std::move(piece));
  if (last) pump();
  return true;
}

bool target_owner::on_failed(const event::target_failed& failed) {
  const auto it = running_.find(failed.call);
  if (it == running_.end()) return false;
  auto ended = std::move(it->second);
  running_.erase(it);
  const auto adapter = ended.what.adapter();
  slots_.unpin(adapter);
  if (failed.not_loaded) {
    slots_.erase_if_idle(adapter);
    requeue(std::move(ended.what));
  } else if (ended.cancelled) {
    refuse_one(ended.what,
               failed.written ? outcome_kind::unknown : outcome_kind::not_run,
               refusal_reason::cancelled, {});
  } else if (!failed.written) {
    note_failure();
    requeue(std::move(ended.what));
  } else {
    note_failure();
    if (shared_.options.switches.retry_only_not_run) {
      refuse_one(ended.what, outcome_kind::unknown, refusal_reason::target_lost,
                 {});
    } else {
      requeue(std::move(ended.what));
    }
  }
  pump();
  return true;
}

void target_owner::requeue(job what) {
  if (!ownership_.held()) {
    return refuse_one(what, outcome_kind::not_run, refusal_reason::not_owner,
                      {});
  }
  if (++what.returns > kMaxReturns || ejected() ||
      what.start_by <= shared_.now) {
    return refuse_one(what, outcome_kind::not_run,
                      refusal_reason::target_ejected, kLeastRetryAfter);
  }
  what.missed = !has_adapter(what.adapter());
  queue_.push_front(std::move(what));
}

void target_owner::note_success() { failures_ = 0; }

void target_owner::note_failure() {
  if (++failures_ < settings().eject_failures) return;
  ejected_until_ = shared_.now + settings().eject_time;
  refuse_all(queue_.take_all(), outcome_kind::not_run,
             refusal_reason::target_ejected, settings().eject_time);
}

void target_owner::expire_running() {
  for (auto& [call, job] : running_) {
    if (job.cancelled || job.started + settings().request_limit > shared_.now) {
      continue;
    }
    job.cancelled = true;
    shared_.act(action::cancel_call{call});
  }
}

}  // namespace seamglade::detail
