// seamglade - what an instance of the direct path believes and has counted
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_GATEWAY_STATUS_H_
#define SEAMGLADE_GATEWAY_STATUS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "seamglade/answer_end.h"
#include "seamglade/types.h"

namespace seamglade::gateway {

/** What an instance believes and has counted; for metrics and status. */
struct gateway_status {
  bool ready = false;
  bool draining = false;
  std::uint64_t configuration = 0;
  std::uint64_t store_revision = 0;
  std::uint64_t store_epoch = 0;
  /** Times that the store was found to be restored from an older copy. */
  std::uint64_t store_restores = 0;
  std::size_t members_alive = 0;
  std::size_t targets = 0;
  std::size_t held = 0;
  std::size_t waiting = 0;
  std::size_t calling = 0;
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  /** Answers of targets to requests. */
  answer_end_counts answer_ends;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cut = 0;
  std::uint64_t retries = 0;
  std::uint64_t loads = 0;
  std::uint64_t unloads = 0;
  std::uint64_t store_calls = 0;
  std::uint64_t step_backs = 0;
  /** Requests without a key that is known here. */
  std::uint64_t unknown_keys = 0;
  /** Refused since the word of the configuration in force was too old. */
  std::uint64_t unconfirmed_keys = 0;
  /** Refused since their workspace had used its quota up. */
  std::uint64_t over_quota = 0;
  /** Refused since no accountant answered. */
  std::uint64_t unmetered = 0;
  /** Refused since no plain target would have served them in time. */
  std::uint64_t overloaded = 0;
  /** Failure domains that were suspected, and that are now. */
  std::uint64_t domain_suspicions = 0;
  std::size_t suspect_domains = 0;
  /** Times that this instance lost its way to all targets; it has lost it. */
  std::uint64_t target_cuts = 0;
  bool is_cut_off = false;
  /** Requests handed on to other instances, and by them. */
  std::uint64_t relayed_out = 0;
  std::uint64_t relayed_in = 0;
  /** Targets that take no connection from here. */
  std::size_t out_of_reach = 0;
  /** Targets that ended while a request of this instance ran there. */
  std::uint64_t target_ends = 0;
  /** Answers that ended with their connections, of targets that may end. */
  std::uint64_t ends_in_doubt = 0;
  /** Requests that came to be refused, as seen here or told by others. */
  std::uint64_t quarantines = 0;
  /** Refused, not run, since their request had ended targets. */
  std::uint64_t quarantine_refusals = 0;
  /** Requests that are refused now, and all that were there at an end. */
  std::size_t quarantined = 0;
  std::size_t blamed = 0;
  /** Answers by which a target was found to leave, and that asked for rest. */
  std::uint64_t leaving_words = 0;
  std::uint64_t rest_words = 0;
  /** Answers that named a limit, and listed targets of which one is known. */
  std::uint64_t limit_words = 0;
  std::size_t limited = 0;
  /** Times that a target was left alone since it turned all away. */
  std::uint64_t assumed_rests = 0;
  /** Requests refused since all targets that may serve them wanted rest. */
  std::uint64_t all_at_rest = 0;
  /** Listed targets that say they leave, or have asked this one for rest. */
  std::size_t said_leaving = 0;
  std::size_t at_rest = 0;
  /** Calls given up and made elsewhere since their domain was suspect. */
  std::uint64_t left_calls = 0;
  /** Words of holders that built on others which were not heard here. */
  std::uint64_t unusable_words = 0;
  /** Age of that word; longest where there is none. */
  duration key_age{};
  /** Workspaces that this instance accounts for. */
  std::size_t accounts = 0;
  /** Failure domains that operators evacuated. */
  std::size_t evacuated_domains = 0;
  /** Requests refused since all targets of their service are evacuated. */
  std::uint64_t all_evacuated = 0;
  /** Requests refused since no target is in a region where they may run. */
  std::uint64_t no_allowed_region = 0;
  /** Requests that take an earlier stream up, by what became of them. */
  std::uint64_t taken_up = 0;
  /** Of these: nobody knew the stream, and one version alone served. */
  std::uint64_t taken_up_unknown = 0;
  /** Of these: the same prompt ran at the one version that serves. */
  std::uint64_t taken_up_prompt = 0;
  /** Of these: nobody knew the stream, and targets keep its prompt. */
  std::uint64_t taken_up_kept = 0;
  /** Lists of what targets keep that were asked for. */
  std::uint64_t content_lists = 0;
  /** Refused since nobody can tell at which version the stream began. */
  std::uint64_t origin_unknown = 0;
  /** Refused, or broken off, since no target of that version is left. */
  std::uint64_t origin_gone = 0;
  /** Streams that others were told of, and questions asked of others. */
  std::uint64_t origins_told = 0;
  std::uint64_t origin_questions = 0;
  /** Streams whose version is known here. */
  std::size_t origins = 0;
  /** Services whose targets were of several versions lately. */
  std::size_t mixed_services = 0;
  /** First events by the version that wrote them. */
  std::map<std::string, std::uint64_t> begun_streams;
  /** Given and refused here, as the grantor of targets that bear few. */
  std::uint64_t grants_given = 0;
  std::uint64_t grants_refused = 0;
  /** Questions for such a grant that were not answered in time. */
  std::uint64_t grant_unanswered = 0;
};

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_GATEWAY_STATUS_H_
