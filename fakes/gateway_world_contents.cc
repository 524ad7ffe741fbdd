// seamglade - the direct path's world: which parts of prompts engines keep
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <charconv>

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

/** Memory is kept in blocks of so many tokens, counted over the prompt. */
constexpr std::uint64_t kBlock = 16;
constexpr duration kListTime = 3ms;
/** A list that does not come is given up after this. */
constexpr duration kListPatience = 600ms;

/** Reads a header of the form ID:TOKENS, by commas. */
std::vector<prompt_part> parts_of(std::string_view text) {
  std::vector<prompt_part> out;
  while (!text.empty()) {
    const auto part = text.substr(0, text.find(','));
    text.remove_prefix(std::min(part.size() + 1, text.size()));
    const auto colon = part.find(':');
    if (colon == std::string_view::npos) continue;
    prompt_part read{std::string(part.substr(0, colon)), 0};
    const auto tokens = part.substr(colon + 1);
    std::from_chars(tokens.data(), tokens.data() + tokens.size(), read.tokens);
    out.push_back(std::move(read));
  }
  return out;
}

}  // namespace

void gateway_world::keep_contents(target& at, const std::string& adapter,
                                  std::string_view parts) {
  if (!at.engine) return;
  const auto read = parts_of(parts);
  std::uint64_t whole = 0;
  for (const auto& part : read) whole += part.tokens;
  whole -= whole % kBlock;
  auto& kept = at.contents[adapter];
  for (const auto& part : read) {
    auto& tokens = kept[part.id];
    tokens = std::max(tokens, std::min(part.tokens, whole));
    whole -= std::min(part.tokens, whole);
  }
}

void gateway_world::forget_contents(const std::string& id) {
  targets_.at(id)->contents.clear();
}

void gateway_world::fail_lists(const std::string& id, bool failing) {
  targets_.at(id)->fails_lists = failing;
}

std::vector<prompt_part> gateway_world::contents_of(const target& which) {
  std::vector<prompt_part> out;
  for (const auto& [adapter, kept] : which.contents) {
    for (const auto& [id, tokens] : kept) out.push_back({id, tokens});
  }
  return out;
}

void gateway_world::serve_list(instance& from,
                               const action::list_contents& ask) {
  const auto who = from.address;
  const auto life = from.life;
  lists_.push_back({now_, who, ask.target});
  later(kLinkDelay, [this, who, life, ask] {
    const auto& asker = *instances_.at(who);
    if (asker.life != life) return;
    event::contents_answer answer{ask.call, std::nullopt};
    const auto* t = by_address(ask.address);
    const bool is_refused = t == nullptr || t->down;
    const bool is_cut = asker.targets_cut != target_cut::none;
    const bool is_silent =
        holds_up(asker) || (!is_refused && (t->dark || t->fails_lists));
    if (!is_refused && !is_cut && !is_silent && t->id == ask.target) {
      answer.parts = contents_of(*t);
    }
    later(is_silent ? kListPatience : kListTime, [this, who, life, answer] {
      auto& to = *instances_.at(who);
      if (to.life == life) post(to, answer);
    });
  });
}

}  // namespace seamglade::fakes
