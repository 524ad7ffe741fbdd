// seamglade - a read of the platform's store, part by part and page by page
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "version/store_range.h"

#include <utility>

#include "version/copy_bounds.h"

namespace seamglade::gateway {
namespace {

/** Half of the history that stores keep: a watch has to go on from the copy. */
constexpr duration kPartialCopyLife = 10s;

}  // namespace

void store_range::begin(time_point now) {
  end();
  is_open_ = true;
  begun_ = now;
  moved_ = now;
}

bool store_range::may_go_on(time_point now) const {
  return is_open_ && now - moved_ <= kPartialCopyLife;
}

bool store_range::leads_on(const store_answer& answer) const {
  if (answer.last_key.empty()) return !answer.more;
  return answer.last_key > after_key_;
}

void store_range::gather(store_item&& item) {
  const auto key_bytes = item.key.size();
  const auto value_bytes = item.value ? item.value->size() : 0;
  if (value_bytes > 0 && bytes_ + key_bytes + value_bytes > kMostCopyBytes) {
    // Its key stays, or it would be taken for deleted.
    item.value.emplace();
    ++left_out_;
  }
  bytes_ += key_bytes + (item.value ? item.value->size() : 0);
  gathered_.items.push_back(std::move(item));
}

store_range::step store_range::take(store_answer&& answer, store_epoch epoch,
                                    time_point now) {
  const bool is_of_other =
      epoch != gathered_.epoch || answer.revision < gathered_.revision;
  if (pages_ > 0 && is_of_other) return step::other_epoch;
  if (!leads_on(answer)) return step::stuck;
  if (pages_ == 0) {
    gathered_.epoch = epoch;
    gathered_.revision = answer.revision;
  }
  ++pages_;
  moved_ = now;
  for (auto& item : answer.items) gather(std::move(item));
  if (answer.more) {
    after_key_ = std::move(answer.last_key);
    return step::goes_on;
  }
  if (scope_ == store_scope::targets) return step::whole;
  scope_ = store_scope::targets;
  after_key_.clear();
  return step::goes_on;
}

store_changes store_range::finish() {
  auto out = std::move(gathered_);
  out.whole = true;
  end();
  return out;
}

}  // namespace seamglade::gateway
