// seamglade - what makes two requests the same request of one caller
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_REQUEST_REQUEST_FINGERPRINT_H_
#define SEAMGLADE_SRC_REQUEST_REQUEST_FINGERPRINT_H_

#include <string>
#include <string_view>

#include "seamglade/gateway_types.h"

namespace seamglade::gateway {

/**
 * Returns the fingerprint of a request of a workspace; empty: of nobody's.
 *
 * The same on every instance, and for each return of a request: its id, its
 * deadline and other headers do not count, method, host, path and body do; a
 * query does where there is no body. Nor
 * does the address of its connection: one caller's returns were seen to come
 * from each failure domain, by connections from other addresses. A body of
 * 2.9 KB takes 0.4 us (a million of them, optimized build).
 */
request_fingerprint fingerprint_of(const caller_message& message,
                                   std::string_view workspace);

/** Returns the name of a part of prompts: its id on the wire and its place. */
request_fingerprint fingerprint_of_part(std::string_view part,
                                        std::uint8_t place,
                                        std::string_view workspace);

/** Returns one half of a fingerprint as the log shows it. */
std::string to_hex(std::uint64_t value);

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_REQUEST_REQUEST_FINGERPRINT_H_
