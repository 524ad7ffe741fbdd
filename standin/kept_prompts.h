// seamglade - the parts of prompts that a target of the stand-in keeps
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_STANDIN_KEPT_PROMPTS_H_
#define SEAMGLADE_STANDIN_KEPT_PROMPTS_H_

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace seamglade::standin {

/** Tokens of one block of a target's memory; only whole blocks are kept. */
inline constexpr std::uint64_t kBlockTokens = 16;

/** What a target keeps of the prompts that it read; nothing gives way. */
class kept_prompts {
 public:
  /** `prompt`: its parts in order, as ID:TOKENS by commas. */
  void add(const std::string& model, std::string_view prompt) {
    const auto kept = size_of(prompt) / kBlockTokens * kBlockTokens;
    std::uint64_t begin = 0;
    for_each_part(prompt, [&](std::string id, std::uint64_t tokens) {
      auto& held = held_[{model, std::move(id)}];
      const auto now = std::min(begin + tokens, kept) - std::min(begin, kept);
      if (now > held) {
        held = now;
        ++changes_;
      }
      begin += tokens;
    });
  }

  /** What was kept for a model or an adapter of it is gone. */
  void forget(std::string_view model) {
    changes_ += std::erase_if(
        held_, [&](const auto& entry) { return entry.first.first == model; });
  }

  void clear() {
    held_.clear();
    changes_ = 0;
  }

  /** Returns the answer to a listing; `epoch` names the target's life. */
  nlohmann::json list(const std::string& epoch) const {
    auto held = nlohmann::json::array();
    for (const auto& [part, tokens] : held_) {
      if (tokens == 0) continue;
      held.push_back({"", part.second, tokens, part.first});
    }
    return {{"epoch", epoch}, {"next_token", changes_ + 1}, {"held", held}};
  }

 private:
  template <typename Visit>
  static void for_each_part(std::string_view prompt, Visit visit) {
    while (!prompt.empty()) {
      const auto part = prompt.substr(0, prompt.find(','));
      prompt.remove_prefix(std::min(part.size() + 1, prompt.size()));
      const auto colon = std::min(part.find(':'), part.size());
      std::uint64_t tokens = 0;
      const auto* end = part.data() + part.size();
      if (colon < part.size()) {
        std::from_chars(part.data() + colon + 1, end, tokens);
      }
      visit(std::string(part.substr(0, colon)), tokens);
    }
  }

  static std::uint64_t size_of(std::string_view prompt) {
    std::uint64_t size = 0;
    for_each_part(prompt, [&](const std::string&, std::uint64_t tokens) {
      size += tokens;
    });
    return size;
  }

  /** Tokens by model and part. */
  std::map<std::pair<std::string, std::string>, std::uint64_t> held_;
  std::uint64_t changes_ = 0;
};

}  // namespace seamglade::standin

#endif  // SEAMGLADE_STANDIN_KEPT_PROMPTS_H_
