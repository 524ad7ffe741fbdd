// seamglade - the HTTP statuses that the direct path answers and reads
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_STATUS_CODES_H_
#define SEAMGLADE_SRC_PROCESS_STATUS_CODES_H_

namespace seamglade::gateway {

inline constexpr int kOk = 200;
inline constexpr int kMultipleChoices = 300;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kTimeout = 408;
inline constexpr int kGone = 410;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooMany = 429;
inline constexpr int kServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

constexpr bool is_success(int status) {
  return status >= kOk && status < kMultipleChoices;
}

}  // namespace seamglade::gateway

#endif  // SEAMGLADE_SRC_PROCESS_STATUS_CODES_H_
