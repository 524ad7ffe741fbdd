// seamglade - what an instance of the direct path knows and has under way
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_GATEWAY_MEMORY_H_
#define SEAMGLADE_SRC_PROCESS_GATEWAY_MEMORY_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/admission_ledger.h"
#include "process/domain_watch.h"
#include "process/doubt_table.h"
#include "process/end_watch.h"
#include "process/engine_choice.h"
#include "process/failure_domains.h"
#include "process/gateway_state.h"
#include "process/grant_ledger.h"
#include "process/life_checks.h"
#include "process/origin_table.h"
#include "process/planned_stop.h"
#include "process/prompt_memory.h"
#include "process/quarantine.h"
#include "process/quota_accounts.h"
#include "process/region_map.h"
#include "process/residency_log.h"
#include "process/retry_budget.h"
#include "process/roster.h"
#include "process/target_keeper.h"
#include "process/target_reach.h"
#include "process/target_table.h"
#include "process/version_history.h"
#include "request/exchange.h"
#include "seamglade/gateway.h"
#include "version/store_mirror.h"
#include "version/store_range.h"

namespace seamglade::gateway {

/** What is known of a service's prompts and reading. */
struct reading_habits {
  read_pace pace;
  double prompt_tokens = 0;
};

/**
 * What the decisions of the direct path go by, grouped by matter; it decides
 * nothing itself. Nothing of it outlasts the process.
 */
class gateway_memory {
 protected:
  gateway_memory(gateway_options options, const dialect& platform);
  ~gateway_memory() = default;

  gateway_options options_;
  const dialect& platform_;
  time_point now_{};
  time_point started_{};
  bool is_started_ = false;
  planned_stop stop_;
  std::vector<any_action> actions_;
  std::mt19937_64 random_;
  gateway_status counts_;

  // The store.
  store_mirror mirror_;
  std::shared_ptr<const configuration> config_;
  /** When the configuration in force was accepted here. */
  time_point configuration_since_{};
  std::map<adapter_name, std::uint32_t> versions_;
  enum class reading : std::uint8_t { idle, range, watch };
  reading reading_ = reading::idle;
  store_range range_;
  /** Pause after its last page, which led no further; 0: it did. */
  duration range_stuck_pause_{};
  bool needs_range_ = true;
  time_point next_read_{};
  /** The last watch was replaced by a read of pages then. */
  time_point pages_since_{};
  store_call_id next_store_call_ = 1;
  /** The call under way; an answer to another was given up. */
  store_call_id read_call_ = 0;
  /** When that was made, and how long the store may hold it. */
  time_point read_sent_{};
  duration read_wait_{};
  /** The call that it repeats, whose connection may be silent. */
  store_call overdue_read_;
  /** How much later than due an answer of the store may be; 0: as usual. */
  duration read_patience_{};
  time_point last_answer_{};
  bool ever_answered_ = false;
  bool store_failing_ = false;
  /** HTTP status of the last failed call; 0: no answer. */
  int store_status_ = 0;
  duration after_failure_{};
  time_point range_not_before_{};
  bool range_spread_ = false;
  /** Version of the configuration that the store holds. */
  std::uint64_t store_configuration_ = 0;
  /** The highest version of a configuration that is in force at a peer. */
  std::uint64_t told_configuration_ = 0;
  /** Items of a former epoch that are in force still, by key. */
  std::map<std::string, store_item, std::less<>> kept_;
  /** Evacuations that a restored store contradicts: what was known stands. */
  std::map<std::string, time_point, std::less<>> contradicted_;
  /** Revision of the last known evacuation of each failure domain. */
  std::map<std::string, std::uint64_t, std::less<>> evacuation_revisions_;
  /** The mirror was last known to be the store's state then. */
  std::optional<time_point> copy_confirmed_;
  /** The staying members as they watch the store, the first first. */
  std::vector<member_address> watch_order_;
  time_point watch_order_until_{};
  operator_watch operator_watch_;
  operators_word operators_told_;
  /** Nobody was known to be without the store since it last answered. */
  bool is_store_back_ = true;
  bool fetching_ = false;
  copy_fetch fetch_;
  fetch_id next_fetch_call_ = 1;
  /** What the copy being fetched confirms: the store's state then. */
  time_point fetch_confirms_{};
  time_point next_fetch_{};

  // Keys and quotas of workspaces.
  std::optional<time_point> keys_confirmed_;
  /** A restored store may lack what revokes a key until then. */
  time_point keys_doubted_until_{};
  time_point next_confirmation_{};
  /** The watchers are asked in turn. */
  std::size_t next_confirmer_ = 0;
  quota_accounts accounts_;
  time_point next_accounts_{};
  std::uint64_t next_quota_request_ = 1;
  std::map<std::uint64_t, caller_id> quota_requests_;
  /** Accounts that were found empty, and until when. */
  std::map<std::pair<std::uint64_t, member_address>, time_point> empty_until_;

  // Places at plain targets.
  admission_ledger ledger_;
  std::uint64_t next_admission_ = 1;
  std::map<std::uint64_t, caller_id> admissions_;

  // Grants of targets that bear few requests.
  grant_ledger grants_;
  time_point next_grant_update_{};
  std::uint64_t next_grant_request_ = 1;
  std::map<std::uint64_t, grant_ask> grant_asks_;

  // Peers.
  roster roster_;
  /** The members that live and stay, as of a moment ago, in order. */
  std::vector<member_address> staying_;
  time_point staying_until_{};
  std::map<member_address, peer_state> peers_;
  time_point next_beat_{};
  std::set<member_address> silent_members_;
  std::map<target_id, sent_interest> sent_interests_;
  /** Targets at which this instance's work has changed since it was told. */
  std::set<target_id> loads_dirty_;
  time_point loads_sent_{};
  std::set<target_id> interest_dirty_;
  std::map<target_id, std::pair<std::uint64_t, time_point>> sent_editions_;
  std::map<std::pair<member_address, target_hash>, told_word> told_;
  std::map<target_id, residency_log> residency_logs_;

  // Orders.
  std::map<target_hash, claim_state> claims_;
  target_hash next_claim_told_ = 0;
  /** Changed claims that are still to be told to all, and how often. */
  std::map<target_hash, unsigned> announcements_;
  time_point next_announcement_{};
  std::map<target_id, std::unique_ptr<target_keeper>> keepers_;
  std::map<target_id, time_point> orders_from_;
  std::map<target_hash, time_point> stepped_back_;
  std::map<engine_call_id, engine_call> engine_calls_;
  engine_call_id next_engine_call_ = 1;
  time_point next_claim_check_{};
  time_point next_expiry_{};
  time_point orders_suspended_until_{};
  bool was_isolated_ = true;
  /** Since when it is out of touch, or was last; none: never after its start.
   */
  std::optional<time_point> isolated_since_;
  /** It was last back in touch then, after more than a moment. */
  time_point back_since_{};

  // Where requests may go.
  failure_domains domains_;
  region_map regions_;
  /** Targets held here that were evacuated and have not been read since. */
  std::set<target_id> resting_;

  // What is silent.
  domain_watch watch_;
  doubt_table doubts_;
  target_reach reach_;
  /** Instances that could not help with a request, and until when. */
  std::map<member_address, time_point> no_help_until_;
  /** How long targets of a service take for their first byte. */
  std::map<std::string, wait_estimate, std::less<>> waits_;
  std::map<domain_key, std::string> domain_names_;
  std::size_t known_domains_ = 0;
  time_point domains_until_{};
  time_point next_look_{};
  /** Suspicions that are still to be told to all, and how often. */
  std::map<domain_key, unsigned> alarms_;
  time_point next_alarm_{};

  // What targets say of themselves.
  std::map<target_id, untold_word> untold_words_;
  time_point next_words_;
  std::map<target_id, untold_limit> untold_limits_;
  /** The limits in force are told in turn. */
  std::size_t next_limit_ = 0;

  // Where streams began.
  origin_table origins_;
  version_history history_;
  /** Since when each change of the store was heard of, and why since then. */
  time_point watching_since_{};
  std::string_view watching_since_reason_ = "start";
  prompt_memory memory_;
  std::uint64_t next_origin_request_ = 1;
  std::map<std::uint64_t, caller_id> origin_asks_;

  life_checks lives_;

  // Requests that end targets.
  end_watch ends_;
  quarantine quarantine_;
  /** Blame that is still to be told to all, and how often. */
  std::map<request_fingerprint, unsigned> untold_blame_;
  /** Refused while this event is handled. */
  std::vector<request_fingerprint> newly_refused_;
  time_point next_blame_{};
  /** The last pause of the process ended then. */
  time_point resumed_{};

  // Requests.
  target_table targets_;
  std::map<caller_id, exchange> exchanges_;
  std::map<call_id, caller_id> calls_;
  call_id next_call_ = 1;
  std::map<std::string, retry_budget, std::less<>> budgets_;
  std::map<std::string, reading_habits, std::less<>> habits_;
  /** Of loads at targets that others hold, as they last told. */
  duration told_load_time_{};
  bool waiting_dirty_ = false;
  /** When requests that wait were last looked at. */
  time_point placed_at_{};
  /** Requests wait for the first configuration. */
  bool has_unrouted_ = false;
  /** The log was last told why there is none. */
  time_point missing_told_{};
  /** Copies asked for by demand, and until when. */
  std::map<std::pair<target_id, adapter_name>, time_point> copies_wanted_;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_GATEWAY_MEMORY_H_
