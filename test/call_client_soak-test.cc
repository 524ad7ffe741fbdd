// seamglade - calls to targets that repeat any answer at any later moment
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "connection/call_client.h"
#include "loop_patience.h"
#include "repeating_target.h"
#include "soak_seeds.h"

namespace seamglade::detail {
namespace {

using moment = repeating_target::moment;

constexpr std::size_t kCalls = 400;
constexpr std::size_t kAtOnce = 4;
/** Few names, so that most calls bear one that was used before. */
constexpr std::uint64_t kNames = 6;
constexpr std::uint64_t kTargets = 2;
/** Far beyond what a play takes; a call that gets no answer fails the test. */
constexpr duration kPatience = 30s;

/** Calls, targets' answers and their copies, drawn from one seed. */
class drawn_calls {
 public:
  explicit drawn_calls(std::uint64_t seed)
      : random_(seed),
        base_(event_base_new()),
        client_(std::make_unique<call_client>(base_.get(), kNameHeader)) {
    for (std::uint64_t i = 0; i < kTargets; ++i) {
      targets_.push_back(std::make_unique<repeating_target>(
          base_.get(), [this](const auto&) { return draw_reply(); }));
    }
  }

  ~drawn_calls() {
    client_.reset();
    targets_.clear();
    // libevent frees what has callbacks due only in its loop.
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  }
  drawn_calls(const drawn_calls&) = delete;
  drawn_calls& operator=(const drawn_calls&) = delete;

  void play() {
    for (std::size_t i = 0; i < kAtOnce; ++i) start_call();
    run_loop(base_.get(), kPatience);
  }

  std::size_t ended = 0;
  /** Calls that were given the answer to another call. */
  std::size_t foreign = 0;
  const call_client::counters& counts() const { return client_->counts(); }
  std::size_t copies() const {
    std::size_t all = 0;
    for (const auto& target : targets_) all += target->copies();
    return all;
  }

 private:
  std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

  repeating_target::reply draw_reply() {
    static constexpr std::array kStatuses{200, 202, 421, 503};
    repeating_target::reply out;
    out.status = kStatuses.at(draw(kStatuses.size()));
    for (auto copies = draw(3); copies > 0; --copies) {
      repeating_target::copy again;
      again.when = static_cast<moment>(draw(3));
      again.request = static_cast<int>(1 + draw(4));
      again.wait = static_cast<std::int64_t>(draw(5)) * 1ms;
      out.copies.push_back(again);
    }
    return out;
  }

  outgoing_call draw_call(const std::string& serial) {
    outgoing_call what;
    what.address = targets_[draw(kTargets)]->address();
    what.method = draw(4) == 0 ? "GET" : "POST";
    what.target = "/x";
    what.host = serial;
    const auto number = draw(kNames + 2);
    if (number >= kNames) {
      if (draw(2) == 0) ++series_;
      // Some are of no series.
      what.series = draw(3) == 0 ? 0 : series_;
      series_of_[serial] = what.series;
      return what;
    }
    what.name = "r" + std::to_string(number);
    what.headers.push_back({kNameHeader, what.name});
    return what;
  }

  /** Whether an answer holds for a call. */
  bool answers(const answer_head& head, const std::string& serial) const {
    const auto of = header_value(head.headers, kSerialHeader);
    const auto asked = series_of_.find(serial);
    const auto answered = series_of_.find(of);
    const bool are_nameless =
        asked != series_of_.end() && answered != series_of_.end();
    return of == serial || (are_nameless && asked->second != 0 &&
                            asked->second == answered->second);
  }

  void start_call() {
    const auto serial = std::to_string(++started_);
    call_client::handlers on;
    on.head = [this, serial](const answer_head& head, const answer_carrier&) {
      if (!answers(head, serial)) ++foreign;
    };
    on.data = [](const std::shared_ptr<const std::string>&) {};
    on.end = [this](call_end) { end_call(); };
    client_->start(draw_call(serial), std::move(on));
  }

  void end_call() {
    ++ended;
    if (started_ < kCalls) {
      // Half of the calls find what came on their connection while it was idle.
      const auto next = [this] { start_call(); };
      draw(2) == 0 ? next() : run_later(base_.get(), next);
    } else if (ended == kCalls) {
      event_base_loopbreak(base_.get());
    }
  }

  std::mt19937_64 random_;
  base_handle base_;
  std::vector<std::unique_ptr<repeating_target>> targets_;
  std::unique_ptr<call_client> client_;
  std::size_t started_ = 0;
  std::uint64_t series_ = 1;
  /** By serial, of the calls without a name. */
  std::map<std::string, std::uint64_t> series_of_;
};

class call_client_soak : public testing::TestWithParam<std::uint64_t> {};

TEST_P(call_client_soak, no_call_is_given_the_answer_to_another) {
  drawn_calls drawn(GetParam());
  drawn.play();
  EXPECT_EQ(drawn.ended, kCalls);
  EXPECT_EQ(drawn.foreign, 0U);
  EXPECT_GT(drawn.copies(), 0U);
  EXPECT_GT(drawn.counts().reused, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, call_client_soak,
                         testing::Range<std::uint64_t>(1, 1 + soak_seeds()));

}  // namespace
}  // namespace seamglade::detail
