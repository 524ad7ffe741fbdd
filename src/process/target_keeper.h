// seamglade - the adapters of one target that this instance gives orders to
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_TARGET_KEEPER_H_
#define SEAMGLADE_SRC_PROCESS_TARGET_KEEPER_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "process/roster.h"
#include "seamglade/gateway_types.h"

namespace seamglade::gateway {

/** What the keeper wants done next. */
struct keeper_step {
  enum class kind : std::uint8_t { none, order, report };
  kind what = kind::none;
  engine_order_kind order = engine_order_kind::load;
  adapter_name name;
  std::optional<std::uint32_t> version;
  /** Asks for a load that is under way, to learn whether it has ended. */
  bool repeated = false;
};

/** What makes a new keeper sure that nobody else gives orders. */
enum class takeover_check : std::uint8_t {
  /** The target refuses lower fences: an order that changes nothing. */
  fence_order,
  /** The target checks no fences: two reports that agree. */
  agreeing_reports
};

/**
 * Decides loads and unloads at one target, and knows what it holds.
 *
 * Places are counted so that no order can exceed the target: an adapter
 * counts from before its load is ordered until its unload is known to be
 * done, and a version that replaces another counts beside it. One call to the
 * target is under way at a time.
 *
 * Where fences are checked, the first order under a fence asks for a model
 * that is there already. Once it is answered, no order of a former holder and
 * no late one of this instance can be taken any more, so a report asked after
 * that tells all there is.
 */
class target_keeper {
 public:
  target_keeper(target_id id, engine_profile profile, std::uint64_t fence,
                takeover_check check);

  const target_id& id() const { return id_; }
  std::uint64_t fence() const { return fence_; }
  /** The content is known, and nobody else gives orders. */
  bool is_known() const { return known_; }
  /**
   * Goes on under a higher fence, and reads anew what is there: an order that
   * was not answered can then no longer be taken.
   */
  void renew_fence(time_point now, std::uint64_t fence);
  /** Gives no order before the target has told anew what it holds. */
  void read_anew(time_point now);
  /** Returns whether no call to the target is under way. */
  bool is_idle() const { return under_way_.what == keeper_step::kind::none; }
  void set_profile(engine_profile profile) { profile_ = std::move(profile); }

  /** Takes the whole interest of one instance, which replaces its last. */
  void set_interest(time_point now, member_address from,
                    std::vector<adapter_interest> rows, target_work work = {});
  /** Forgets the interest of instances not heard of since. */
  void expire_interest(time_point now);

  /** Returns what to do now; the call it names is then under way. */
  keeper_step next_step(time_point now, bool may_order);
  /** Returns when next_step() may have something to do. */
  time_point next_wakeup() const;

  /** Takes the number of the call that makes the order under way. */
  void note_order(const adapter_name& name, std::uint64_t call);
  /** Returns the call of the last order about an adapter; 0: none is known. */
  std::uint64_t order_about(const adapter_name& name) const;
  /** Takes the answer to the order under way. */
  void order_answered(time_point now, engine_order_status status);
  /** Takes a report that was asked for at `asked`; none: no answer. */
  void report_read(time_point now, time_point asked,
                   const std::optional<engine_report>& report);

  /** Returns the work of all instances there, as they told. */
  target_work work() const;
  /** Returns whether an instance has anything to do with the target. */
  bool concerns(member_address who) const;
  /** Returns what the target holds or loads, as believed. */
  std::vector<adapter_place> places() const;
  /** Rises whenever places() changes. */
  std::uint64_t edition() const { return edition_; }
  /** Returns the adapters that reports no longer showed, once. */
  std::vector<adapter_name> take_dropped() {
    return std::exchange(dropped_, {});
  }
  std::uint64_t loads() const { return loads_; }
  std::uint64_t unloads() const { return unloads_; }
  /** Returns how long a load of an adapter takes, as learned here. */
  duration load_time() const { return load_time_; }

 private:
  /** A report may be this much older than its answer. */
  static constexpr duration kReportLag = 700ms;
  /** An adapter used this recently is not unloaded: calls may be on their way.
   */
  static constexpr duration kRecentUse = 250ms;
  /** A report asked this long after an order shows all that came before it. */
  static constexpr duration kFenceSettled = 300ms;
  /** Without fences, two reports this far apart must agree after a claim. */
  static constexpr duration kConfirmPause = 400ms;

  enum class phase : std::uint8_t { loading, ready, unloading };
  struct place {
    phase now = phase::loading;
    /** Of its name: by it instances tell what runs on it. */
    adapter_hash hash{};
    std::uint32_t version = 0;
    time_point since;
    time_point used;
    double demand = 0;
    /** An order about it was not answered: only a report can tell. */
    bool uncertain = false;
    /** The version that is there while a newer one is loading. */
    std::optional<std::uint32_t> replaces;
    /** When its load was last ordered or asked about. */
    time_point asked;
    std::uint32_t questions = 0;
    /** The target held it lately, so the load is a matter of moments. */
    bool was_there = false;
    /** The call of the last order about it that was no question; 0: none. */
    std::uint64_t order = 0;
  };
  struct wish {
    adapter_name name;
    std::uint32_t version = 0;
    std::uint32_t rank = 0;
    std::uint32_t waiting = 0;
    time_point since;
    /** A request that waits can still be in time if the load begins now. */
    bool is_hopeful = false;
  };
  struct interest {
    time_point heard;
    std::vector<adapter_interest> rows;
    target_work work;
  };

  std::vector<wish> wishes(time_point now) const;
  std::size_t places_taken() const;
  bool has_room(const adapter_name& name) const;
  std::optional<adapter_name> victim(time_point now) const;
  keeper_step order_load(time_point now, const wish& wanted);
  keeper_step order_unload(time_point now, const adapter_name& name);
  /** Orders a load once more that should have ended by now; none: not yet. */
  std::optional<keeper_step> repeat_load(time_point now);
  /** Returns when a load under way is to be asked about; none: not at all. */
  std::optional<time_point> repeat_at(const place& held) const;
  void load_ended(time_point now, place& held);
  /** Returns how many loads this target may have under way. */
  std::size_t parallel_loads() const;
  /** Returns whether a report would tell something not yet known. */
  bool is_unsettled() const;
  void note_unloaded(time_point now, const adapter_name& name);
  std::optional<keeper_step> model_step(time_point now);
  std::optional<keeper_step> fence_step(time_point now);
  void model_order_answered(time_point now, const adapter_name& name,
                            engine_order_status status);
  bool reports_agree(time_point now, const engine_report& report);
  bool confirms_content(time_point now, time_point asked,
                        const engine_report& report);
  void start_places(time_point now, time_point asked,
                    const engine_report& report);
  void take_models(time_point now, const engine_report& report);
  void take_places(time_point now, time_point asked,
                   const engine_report& report);
  /** A report, as it is compared with what was believed. */
  struct report_facts {
    time_point now;
    time_point asked;
    std::map<adapter_name, std::uint32_t> held;
    std::set<adapter_name> pending;
  };
  /** Returns whether the adapter still has its place. */
  bool settle_place(place& mine, const report_facts& told,
                    const adapter_name& name);
  void add_place(const report_facts& told, const adapter_name& name,
                 std::uint32_t version, phase now_in);
  void changed() { ++edition_; }
  std::size_t loading_count() const;

  target_id id_;
  engine_profile profile_;
  std::uint64_t fence_;
  takeover_check check_;
  bool known_ = false;
  /** When the target first answered an order under this fence. */
  std::optional<time_point> fence_in_force_;
  std::uint32_t fence_rejections_ = 0;
  std::optional<engine_report> unconfirmed_;
  time_point unconfirmed_since_{};
  /** Base models that are there, by name, at their versions. */
  std::map<std::string, std::uint32_t, std::less<>> models_;
  std::map<adapter_name, place> places_;
  std::map<member_address, interest> interests_;
  std::map<adapter_name, time_point> unloaded_;
  /** What the target held lately and still has in its memory. */
  std::map<adapter_name, time_point> held_lately_;
  duration load_time_;
  /** How long loads take where the weight store is not at its limit. */
  duration quick_load_time_;
  std::vector<adapter_name> dropped_;
  keeper_step under_way_;
  time_point next_report_{};
  time_point not_before_{};
  time_point model_not_before_{};
  bool model_loading_ = false;
  std::uint64_t edition_ = 1;
  std::uint64_t loads_ = 0;
  std::uint64_t unloads_ = 0;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_TARGET_KEEPER_H_
