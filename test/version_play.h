// seamglade - streams before targets of several software versions, and callers
// that take broken ones up again
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_TEST_VERSION_PLAY_H_
#define SEAMGLADE_TEST_VERSION_PLAY_H_

#include <map>
#include <set>

#include "stream_checks.h"

namespace seamglade {

/** Returns the software versions that wrote the events of a text. */
inline std::set<std::string> versions_in(const std::string& text) {
  constexpr std::string_view kMark = "data: software ";
  std::set<std::string> out;
  for (auto at = text.find(kMark); at != std::string::npos;
       at = text.find(kMark, at + 1)) {
    const auto from = at + kMark.size();
    out.insert(text.substr(from, text.find('\n', from) - from));
  }
  return out;
}

/** What became of streams, from their first calls to the last. */
struct version_counts {
  /** First calls of streams with events of more than one version. */
  std::vector<std::string> joined;
  std::size_t begun = 0;
  std::size_t sent = 0;
  /** Calls that take a stream up, and those that got events. */
  std::size_t taken_up = 0;
  std::size_t went_on = 0;
  /** Streams that their callers have whole. */
  std::size_t whole = 0;
  /** Calls whose events do not go on where the ones before ended. */
  std::vector<std::string> broken_order;

  double begun_share() const { return share(begun, sent); }
  double went_on_share() const { return share(went_on, taken_up); }

 private:
  static double share(std::size_t part, std::size_t all) {
    return all == 0 ? 1 : static_cast<double>(part) / static_cast<double>(all);
  }
};

/** Which calls a play counts. */
struct counted_calls {
  /** First calls and those that take streams up, if sent since then. */
  time_point sent_from;
  /** Of streams whose first call this holds for; none: all. */
  std::function<bool(const gateway_call& first)> of = {};
};

/** A fleet under a load of resumable streams, whose callers do not give up. */
class version_play {
 public:
  static constexpr std::size_t kEvents = 40;
  /** Bytes of the first event of any run, at most. */
  static constexpr std::size_t kFirstEvent = 80;
  static constexpr duration kGap = 25ms;
  static constexpr int kAdapters = 12;
  /** A session's next request comes when the one before has ended. */
  static constexpr int kSessions = 15 * kAdapters;

  static gateway_world_options options(std::uint64_t seed) {
    gateway_world_options out;
    out.instances = 6;
    out.engines = 12;
    out.plain_targets = 1;
    out.adapter_slots = 12;
    out.software = {"v1", "v2"};
    out.seed = seed;
    return out;
  }

  explicit version_play(const gateway_world_options& options)
      : random_(options.seed), world_(options) {
    const bool is_large = options.instances > 13;
    world_.run_for(is_large ? kLargeSettled : kSettled);
    send_streams();
  }

  gateway_world& world() { return world_; }

  /** Targets that live on reset this share of streams, behind an event. */
  void break_streams(double share) {
    broken_share_ = share;
    gap_ = 2ms;
    send_streams();
  }

  /**
   * From now on requests belong to sessions, whose last part is one and grows
   * by so many tokens from one request to the next.
   */
  void use_sessions(std::uint32_t growth) { session_growth_ = growth; }
  /** From now on each prompt comes more than once. */
  void repeat_prompts() { repeats_prompts_ = true; }
  /** From now on requests name no parts of a prompt. */
  void use_no_prompts() { has_prompts_ = false; }
  /** From now on streams are of the plain service. */
  void use_plain_targets() {
    is_plain_ = true;
    send_streams();
  }
  /** From now on callers wait so long before they take a stream up. */
  void come_back_after(duration wait) { comes_back_after_ = wait; }

  /** Has engines that start from now on send streams as all do. */
  void send_streams() {
    fakes::fake_stream how;
    how.cut_share = broken_share_;
    how.least_drawn_cut = kFirstEvent;
    how.ends_by = fakes::fake_stream::ending::reset;
    how.events = kEvents;
    how.tells_software = true;
    how.gap = gap_;
    const auto all = is_plain_ ? world_.plain_targets() : world_.engines();
    for (const auto& id : all) world_.send_streams(id, how);
  }

  /** Begins streams for a time, and takes up those that break. */
  void load(duration time) {
    const auto entries = world_.instances();
    for (int i = 0; i * kGap < time; ++i) {
      world_.at(world_.now() + i * kGap, [this, entries, i] {
        begin_stream(entries[random_() % entries.size()], i);
      });
    }
    // Callers notice soon, and go on for as long as a stream may take.
    for (auto t = 0ms; t < time + 8s; t += 5ms) {
      world_.at(world_.now() + t, [this] { take_up_broken(); });
    }
  }

  /** Breaks the connections of callers that have events, of one instance. */
  void reset_callers(gateway::member_address entry) {
    for (const auto& call : world_.calls()) {
      const bool is_open = call->ended == time_point{};
      if (!is_open || call->entry != entry || call->body.empty()) continue;
      world_.leave(*call);
      call->aborted = true;
    }
  }

  version_counts counts(time_point from = {}) {
    return counts(counted_calls{}, from);
  }

  /** Counts these calls, of streams that began since `from`. */
  version_counts counts(const counted_calls& counted, time_point from = {}) {
    version_counts out;
    std::map<const gateway_call*, std::set<std::string>> versions;
    for (const auto& call : world_.calls()) {
      const auto& first = call->begun_by();
      if (first.sent < from || !is_stream(first)) continue;
      const bool has_events = call->status == kOk && !call->body.empty();
      versions[&first].merge(versions_in(call->body));
      const bool is_first = call->earlier == nullptr;
      if (is_unread(*call) || call->sent < counted.sent_from) continue;
      if (counted.of && !counted.of(first)) continue;
      ++(is_first ? out.sent : out.taken_up);
      if (has_events) ++(is_first ? out.begun : out.went_on);
      if (has_events && call->complete) ++out.whole;
      if (has_events && !is_in_order(*call))
        out.broken_order.push_back(call->id);
    }
    for (const auto& [first, seen] : versions) {
      if (seen.size() > 1) out.joined.push_back(first->id);
    }
    return out;
  }

 private:
  bool is_stream(const gateway_call& call) const {
    return is_plain_ || !call.adapter.empty();
  }

  /** Begins the play's next stream, whose prompt no other has. */
  void begin_stream(gateway::member_address entry, int number) {
    if (is_plain_) {
      world_.stream_plain(entry);
      return;
    }
    const auto adapter = fmt::format("a{}", number % kAdapters);
    if (!has_prompts_) {
      world_.call_engine(entry, adapter, true);
      return;
    }
    // The first two parts are shared.
    const bool is_shared = session_growth_ > 0 || repeats_prompts_;
    const auto own = is_shared ? number % kSessions : number;
    const auto tokens = static_cast<std::uint32_t>(
        session_growth_ > 0 ? kOwnTokens + number / kSessions * session_growth_
                            : kOwnTokens + own * 37 % kOwnTokens);
    fakes::caller_content content;
    content.parts =
        fmt::format("a{:x}:{},b{:x}:{},c{:x}:{}", number % 2, kSharedTokens,
                    number % 5, kSharedTokens, own + 0x1000, tokens);
    content.prompt_tokens = 2 * kSharedTokens + tokens;
    world_.call_engine_with(entry, adapter, content, true);
  }

  /** Whether a call took a stream up at an instance that was down. */
  static bool is_unread(const gateway_call& call) {
    return call.earlier != nullptr && call.aborted && call.status == 0;
  }

  /** Returns the last event that the calls up to this one brought; 0: none. */
  static std::size_t last_event(const gateway_call* call) {
    if (call == nullptr) return 0;
    const auto got = read_stream(call->body).ids;
    return got.empty() ? last_event(call->earlier) : std::stoul(got.back());
  }

  static bool is_in_order(const gateway_call& call) {
    auto next = last_event(call.earlier);
    for (const auto& id : read_stream(call.body).ids) {
      if (id != std::to_string(++next)) return false;
    }
    return true;
  }

  /** Whether nothing but the end is lacking. */
  static bool has_all(const gateway_call& call) {
    const auto got = read_stream(call.body).ids;
    return !got.empty() && got.back() == std::to_string(kEvents);
  }

  void take_up_broken() {
    std::vector<gateway_call*> broken;
    for (auto i = first_open_; i < world_.calls().size(); ++i) {
      auto* call = world_.calls()[i].get();
      const bool is_over = call->ended != time_point{};
      if (!is_over || !handled_.insert(call).second) continue;
      const bool has_time = world_.now() - call->begun_by().sent < 7s;
      const bool is_broken =
          call->aborted && !call->body.empty() && !has_all(*call);
      if ((is_broken || is_unread(*call)) && has_time) broken.push_back(call);
    }
    while (first_open_ < world_.calls().size() &&
           handled_.contains(world_.calls()[first_open_].get())) {
      ++first_open_;
    }
    const auto entries = world_.instances();
    for (const auto* call : broken) {
      auto entry = entries[random_() % entries.size()];
      if (entry == call->entry) entry = entries.front();
      // Where nobody read it, the next try follows soon.
      if (comes_back_after_ == duration{} || is_unread(*call)) {
        world_.take_up(entry, *call);
        continue;
      }
      world_.at(world_.now() + comes_back_after_,
                [this, entry, call] { world_.take_up(entry, *call); });
    }
  }

  /** Tokens of each shared part of a prompt, and the fewest of the last. */
  static constexpr std::uint32_t kSharedTokens = 200;
  static constexpr std::uint32_t kOwnTokens = 120;

  std::mt19937_64 random_;
  gateway_world world_;
  double broken_share_ = 0;
  std::uint32_t session_growth_ = 0;
  bool repeats_prompts_ = false;
  bool has_prompts_ = true;
  bool is_plain_ = false;
  duration comes_back_after_{};
  /** Between two pieces of a stream. */
  duration gap_ = 15ms;
  std::size_t first_open_ = 0;
  std::set<const gateway_call*> handled_;
};

}  // namespace seamglade

#endif  // SEAMGLADE_TEST_VERSION_PLAY_H_
