// seamglade - what targets say of themselves, amid drawn faults
//
// The number is the seed: it draws the fleet, who says what and when, and what
// else goes wrong. CI plays 12; SEAMGLADE_SOAK_SEEDS names more.
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "drawn_play.h"

namespace seamglade {
namespace {

/** A third of the engines may leave: the others are to bear the rest. */
constexpr int kMostLeaving = 4;

class word_play final : public drawn_play {
 public:
  using drawn_play::drawn_play;

  void play() {
    settle();
    send_innocents();
    draw_moments(3s, [this] { draw_fault(); });
    draw_moments(2500ms, [this] { draw_word(); });
    world().run_for(kTime + 10s);
  }

 private:
  fakes::fake_rest any_rest() {
    static const std::vector<fakes::fake_rest> kRests = {
        {0s, "3", 3s},   {0s, "0.5", 500ms}, {0s, "1", 1s},
        {0s, "10", 10s}, {0s, "-2", 0s},     {0s, "0", 0s},
        {0s, "", 0s},    {0s, "soon", 0s},   {0s, "2.5", 2500ms}};
    auto rest = kRests[draw(kRests.size())];
    rest.lasts = static_cast<std::int64_t>(200 + draw(8000)) * 1ms;
    return rest;
  }

  void draw_word() {
    switch (draw(4)) {
      case 0:
        if (++leaving_ <= kMostLeaving) world().say_leaving(any_engine());
        break;
      case 1:
        world().turn_away(fmt::format("plain-{}", draw(4)), any_rest());
        break;
      case 2:
        world().silence_store(true);
        world().at(world().now() + 4s,
                   [this] { world().silence_store(false); });
        break;
      default:
        world().turn_away(any_engine(), any_rest());
        break;
    }
  }

  int leaving_ = 0;
};

class target_word_soak : public testing::TestWithParam<std::uint64_t> {};

TEST_P(target_word_soak, every_word_is_heeded) {
  word_play run(GetParam());
  run.play();
  auto& w = run.world();
  EXPECT_EQ(w.unheeded().late, 0U);
  for (const auto& line : w.violations()) {
    EXPECT_EQ(line.find("had told"), std::string::npos) << line;
    EXPECT_EQ(line.find("for rest"), std::string::npos) << line;
  }
  expect_runs_kept(w);
  // All is served again in the end, by those that are left.
  const auto from = w.now();
  send_load(w, 2s, 50ms, 10);
  w.run_for(12s);
  EXPECT_EQ(count(w, from).open, 0U);
  EXPECT_GE(count(w, from).served, 36U);
}

INSTANTIATE_TEST_SUITE_P(seeds, target_word_soak,
                         testing::Range<std::uint64_t>(1, soak_seeds() + 1));

}  // namespace
}  // namespace seamglade
