// seamglade - questions to the operators' listener of an instance
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_OPERATOR_CLIENT_H_
#define SEAMGLADE_SRC_PROCESS_OPERATOR_CLIENT_H_

#include <string>

#include "connection/event_handles.h"
#include "seamglade/failure.h"

namespace seamglade::detail {

/**
 * Makes one call to an operator address and runs the loop until it has ended.
 *
 * Returns the body of the answer; fails with service_unreachable, also where
 * the answer is broken or says that the call failed.
 */
result<std::string> ask_operator(event_base* base, const std::string& address,
                                 const char* method, const char* path);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_OPERATOR_CLIENT_H_
