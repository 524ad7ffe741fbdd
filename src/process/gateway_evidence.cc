// seamglade - the direct path: where a stream began that no instance knows
//
// What an instance knew of its streams ends with it, what its targets keep of
// their prompts does not. A stream that is taken up brings the same prompt: the
// targets that keep the last part of it ran the stream.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>

#include "process/gateway_impl.h"
#include "seamglade/rendezvous.h"

namespace seamglade::gateway {
namespace {

/** A target that has not listed what it keeps is done without after this. */
constexpr duration kListPatience = 350ms;
/** Members that are told of a prompt: without them, targets are asked. */
constexpr std::size_t kPromptKeepers = 2;

bool runs_service_of(const route& way, const target_entry& entry) {
  return std::any_of(
      way.shares.begin(), way.shares.end(),
      [&](const auto& share) { return share.service == entry.service; });
}

stream_origin origin_at(const target_state& target) {
  return {stable_hash(target.entry.service),
          hash_of_software(target.entry.software)};
}

}  // namespace

bool gateway_view::has_watched() const {
  return config_ && copy_confirmed_ && !was_store_away() &&
         now_ - watching_since_ >= longest_stream();
}

std::vector<const target_state*> gateway_view::targets_to_list(
    const exchange& x) const {
  std::vector<const target_state*> all;
  for (const auto* target : targets_.listed()) {
    const auto* service = x.config->find_service(target->entry.service);
    const bool keeps_prompts = service != nullptr && service->engine;
    if (keeps_prompts && runs_service_of(*x.way, target->entry)) {
      all.push_back(target);
    }
  }
  if (x.tracing.lists_all) return all;
  // A target drops what it keeps for an adapter together with the adapter.
  std::vector<const target_state*> holders;
  std::copy_if(all.begin(), all.end(), std::back_inserter(holders),
               [&](const auto* target) {
                 return target->holds(now_, x.facts.adapter, 0);
               });
  return holders;
}

part_word gateway_view::part_word_of(const exchange& x,
                                     const target_state& target) const {
  if (!is_life_certain(target)) return part_word::unknown;
  return memory_.word_of(*x.tracing.lists_from, target.entry.id,
                         target.entry.started_ms, x.facts.last_part,
                         x.facts.parts_tokens);
}

gateway_view::stream_evidence gateway_view::evidence_of(
    const exchange& x) const {
  stream_evidence out;
  for (const auto* target : targets_to_list(x)) {
    ++out.targets;
    const auto word = part_word_of(x, *target);
    if (word == part_word::pending) ++out.pending;
    if (word == part_word::whole) out.kept.push_back(origin_at(*target));
    const bool is_silent = word == part_word::pending ||
                           word == part_word::unknown ||
                           word == part_word::not_asked;
    if (is_silent) out.silent.push_back(origin_at(*target));
  }
  return out;
}

stream_key gateway_view::prompt_key_of(const exchange& x) {
  const auto& facts = x.facts;
  if (facts.last_part.id.empty()) return 0;
  auto name = fmt::format("prompt {} {}", facts.adapter.str(), x.way->prefix);
  for (const auto& part : facts.prompt_parts) name += " " + part;
  name += fmt::format(" {}:{} {}", facts.last_part.id, facts.last_part.tokens,
                      facts.parts_tokens);
  return stream_key_of(x, name);
}

stream_key gateway_view::asked_key(const exchange& x) {
  return x.stream != 0 ? x.stream : x.prompt;
}

bool gateway_view::is_only_origin(const exchange& x,
                                  const stream_origin& origin) const {
  const auto& listed = targets_.listed();
  return history_.only_version(origin.service) == origin.software &&
         std::all_of(listed.begin(), listed.end(), [&](const auto* target) {
           return !runs_service_of(*x.way, target->entry) ||
                  origin_at(*target) == origin;
         });
}

std::optional<stream_origin> gateway_view::origin_by_prompt(
    const exchange& x) const {
  const auto& asked = x.tracing;
  const bool all_answered = asked.asked > 0 && asked.awaited.empty();
  const bool is_current = all_answered || copy_age() < kFreshCopy;
  if (x.prompt == 0 || asked.has_several || !is_current) return std::nullopt;
  const auto known = origins_.find(x.prompt);
  const bool is_proved =
      known && known->is_certain() && is_only_origin(x, *known);
  return is_proved ? known : std::nullopt;
}

void gateway_core::impl::keep_prompt(const exchange& x) {
  if (!origins_.note(now_, {x.prompt, *x.origin})) return;
  // The instance that serves it tells; a small fleet's members are all asked.
  if (x.relay != 0 || !roster_.is_large()) return;
  // By its prompt a stream goes on where one version serves, and who has
  // watched for long enough needs no word of it.
  if (history_.is_mixed(x.origin->service) || has_watched()) return;
  tell_origins({{x.prompt, *origins_.find(x.prompt)}}, kPromptKeepers);
}

bool gateway_core::impl::ask_targets(exchange& x) {
  if (x.facts.last_part.id.empty()) return false;
  x.now = exchange::phase::tracing;
  x.tracing.again_at.reset();
  x.tracing.lists_from = now_ - prompt_memory::kFresh;
  x.tracing.until = now_ + kListPatience;
  ask_for_lists(x);
  weigh_evidence(x);
  return true;
}

void gateway_core::impl::ask_for_lists(const exchange& x) {
  std::int64_t asked = 0;
  for (const auto* target : targets_to_list(x)) {
    if (part_word_of(x, *target) != part_word::not_asked) continue;
    const auto& entry = target->entry;
    const auto call = next_engine_call_++;
    memory_.asked(now_, call, entry.id, entry.started_ms);
    ++counts_.content_lists;
    ++asked;
    do_act(action::list_contents{call, entry.address, entry.id});
  }
  log("contents_asked",
      {{"request", x.facts.id},
       {"asked", asked},
       {"all", static_cast<std::int64_t>(x.tracing.lists_all)}});
}

void gateway_core::impl::on(event::contents_answer&& e) {
  memory_.answered(now_, e.call, e.parts);
  std::vector<caller_id> waiting;
  for (const auto& [caller, x] : exchanges_) {
    const bool waits =
        x.now == exchange::phase::tracing && x.tracing.lists_from;
    if (waits) waiting.push_back(caller);
  }
  for (const auto caller : waiting) {
    const auto found = exchanges_.find(caller);
    if (found != exchanges_.end()) weigh_evidence(found->second);
  }
}

void gateway_core::impl::weigh_evidence(exchange& x) {
  const auto known = origins_.find(x.stream);
  if (x.stream != 0 && known) return go_on(x, *known, "told");
  const auto evidence = evidence_of(x);
  const bool is_over = now_ >= x.tracing.until;
  if (evidence.pending > 0 && !is_over && !evidence.only_origin()) return;
  if (evidence.kept.empty() && !x.tracing.lists_all && !is_over) {
    // What is known of who holds an adapter may be old.
    x.tracing.lists_all = true;
    ask_for_lists(x);
    return weigh_evidence(x);
  }
  x.origin = evidence.only_origin();
  if (!x.origin) {
    const bool may_hand_on = !evidence.silent.empty() && !x.relayed;
    if (!may_hand_on) return refuse_unknown(x, kVersionUnknown, evidence);
    // Another instance may reach the targets that are silent here.
    origin_asks_.erase(x.tracing.request);
    x.now = exchange::phase::waiting;
    return admit(x);
  }
  ++counts_.taken_up_kept;
  if (x.stream != 0) keep_origin(x);
  go_on(x, *x.origin, "kept");
}

void gateway_core::impl::hand_on_unknown(exchange& x) {
  if (relay(x)) return;
  const auto evidence =
      x.tracing.lists_from ? evidence_of(x) : stream_evidence();
  refuse_unknown(x, kVersionUnknown, evidence);
}

std::optional<stream_origin> gateway_view::stream_evidence::only_origin()
    const {
  if (kept.empty()) return std::nullopt;
  const auto is_other = [&](const auto& other) {
    return other != kept.front();
  };
  const bool is_only = std::none_of(kept.begin(), kept.end(), is_other) &&
                       std::none_of(silent.begin(), silent.end(), is_other);
  if (!is_only) return std::nullopt;
  return kept.front();
}

}  // namespace seamglade::gateway
