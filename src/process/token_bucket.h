// seamglade - a bucket of tokens that fills at a constant rate
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_TOKEN_BUCKET_H_
#define SEAMGLADE_SRC_PROCESS_TOKEN_BUCKET_H_

#include <algorithm>

#include "seamglade/types.h"

namespace seamglade::gateway {

/** Tokens that come at a rate and are kept up to a capacity. */
class token_bucket {
 public:
  /** Starts with so many tokens. */
  token_bucket(time_point now, double tokens)
      : capacity_(tokens), tokens_(tokens), last_(now) {}

  /**
   * Sets tokens a second, the most that are kept, and how far below none the
   * bucket may go. What came before came at the rate before.
   */
  void configure(time_point now, double rate, double capacity,
                 double overdraft) {
    refill(now);
    rate_ = rate;
    capacity_ = capacity;
    overdraft_ = overdraft;
    tokens_ = std::min(tokens_, capacity_);
  }

  /** Takes tokens; returns false, and takes none, if there are too few. */
  bool take(time_point now, double amount) {
    refill(now);
    if (tokens_ + overdraft_ < amount) return false;
    tokens_ -= amount;
    return true;
  }

  /** Tokens that were taken are not used. */
  void give_back(double amount) { tokens_ += amount; }

  /** Returns how long it takes until so many are there. */
  duration until(double amount) const {
    const auto lacking = amount - overdraft_ - tokens_;
    if (lacking <= 0) return {};
    constexpr double longest = 3600;
    const auto seconds =
        rate_ > 0 ? std::min(longest, lacking / rate_) : longest;
    return duration(static_cast<std::int64_t>(seconds * 1e6));
  }

  double tokens() const { return tokens_; }

 private:
  void refill(time_point now) {
    const auto passed = static_cast<double>((now - last_).count()) / 1e6;
    tokens_ = std::min(capacity_, tokens_ + rate_ * passed);
    last_ = now;
  }

  double rate_ = 0;
  double capacity_ = 0;
  double overdraft_ = 0;
  double tokens_ = 0;
  time_point last_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_TOKEN_BUCKET_H_
