// seamglade - members that did not answer a question in time
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_DOUBT_TABLE_H_
#define SEAMGLADE_SRC_PROCESS_DOUBT_TABLE_H_

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {

/**
 * Which members owe this instance an answer, one table for all questions.
 *
 * A member that has not answered in its patience is doubtful for a second or
 * until it is heard: it is passed over by choices, it is not taken for gone.
 */
class doubt_table {
 public:
  /** How long a member is doubtful that is not heard. */
  static constexpr duration kDoubt = 1s;
  /** A holder that has not answered a wish or a question in this time. */
  static constexpr duration kHolderPatience = 100ms;
  /** Of one heard so lately a question may have been answered before. */
  static constexpr duration kHeardLately = 50ms;

  /** A question went out; of several under way the first counts. */
  void asked(time_point now, member_address who, duration patience) {
    const auto heard = heard_.find(who);
    if (heard != heard_.end() && now - heard->second < kHeardLately) return;
    const auto [at, is_new] = questions_.try_emplace(who);
    auto& known = at->second;
    if (is_new || now >= known.due + kDoubt) known = {now + patience, false};
  }
  /** Takes any sign of life. */
  void heard(time_point now, member_address who) {
    heard_[who] = now;
    questions_.erase(who);
  }

  bool is_doubtful(time_point now, member_address who) const {
    const auto found = questions_.find(who);
    if (found == questions_.end()) return false;
    const auto due = found->second.due;
    return now >= due && now < due + kDoubt;
  }

  /** Returns members that became doubtful, each once, and drops old doubts. */
  std::vector<member_address> newly_doubtful(time_point now) {
    std::vector<member_address> out;
    for (auto& [who, known] : questions_) {
      if (now < known.due || std::exchange(known.is_told, true)) continue;
      out.push_back(who);
    }
    std::erase_if(questions_, [&](const auto& pair) {
      return now >= pair.second.due + kDoubt;
    });
    std::erase_if(heard_, [&](const auto& pair) {
      return now - pair.second >= kHeardLately;
    });
    return out;
  }

 private:
  struct question {
    time_point due;
    bool is_told = false;
  };
  std::map<member_address, question> questions_;
  std::map<member_address, time_point> heard_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_DOUBT_TABLE_H_
