// seamglade - callers' requests: from HTTP to a request_spec, and refusals
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_CALLER_PROTOCOL_H_
#define SEAMGLADE_SRC_CONNECTION_CALLER_PROTOCOL_H_

#include <string>

#include "seamglade/settings.h"
#include "seamglade/types.h"

namespace seamglade::detail {

/** A caller's HTTP request, before it is understood. */
struct raw_request {
  std::string method;
  /** Path and query, as sent. */
  std::string target;
  std::vector<http_header> headers;
  std::shared_ptr<const std::string> body;
  /** Address of the caller's side of the connection. */
  std::string remote;
};

/** A request that was understood, or why it was not. */
struct parsed_request {
  std::optional<request_spec> spec;
  refusal_reason reason = refusal_reason::bad_request;
  /** What is wrong, in words of this code. */
  std::string detail;
};

/**
 * Understands a caller's request.
 *
 * POST /v1/completions and /v1/chat/completions name base/adapter@version as
 * their model; /services/SITE/SERVICE/... goes to a plain service.
 */
parsed_request parse_request(const raw_request& raw, const settings_tree& tree);

/** Returns the JSON body that goes with a refusal. */
std::string refusal_body(const refusal& why, std::string_view detail = {});

/** Returns the value of Retry-After in whole seconds; 0: none. */
std::int64_t retry_after_seconds(const refusal& why);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_CALLER_PROTOCOL_H_
