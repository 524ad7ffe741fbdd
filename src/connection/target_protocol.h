// seamglade - what targets and the platform speak: orders, reports, documents
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_TARGET_PROTOCOL_H_
#define SEAMGLADE_SRC_CONNECTION_TARGET_PROTOCOL_H_

#include "connection/http_client.h"
#include "seamglade/controller.h"

namespace seamglade::detail {

/** Header that carries the fence of an order: config.count.holder. */
inline constexpr std::string_view kFenceHeader = "Fence";

/** Error type by which an engine says that an adapter is not loaded. */
inline constexpr std::string_view kNotLoadedType = "adapter_not_loaded";

std::string to_header(const fence& guard);
std::optional<fence> fence_from_header(std::string_view text);

/** Returns the HTTP call for an order. */
http_call order_call(const std::string& address, const target_order& order,
                     duration timeout);

/** Understands the answer to an order. */
order_status order_status_of(int http_status);
std::optional<target_report> parse_report(std::string_view json);

/** Whether an answer says that the adapter is not loaded: it did not run. */
bool says_not_loaded(int http_status, std::string_view json);

/** Returns the HTTP call that reads all documents below a prefix. */
http_call documents_call(const std::string& address, const std::string& prefix,
                         const action::read_service& read);

/** Understands the answer: entries of a Consul key-value store. */
std::optional<event::published> parse_documents(
    std::string_view json, const std::vector<http_header>& headers,
    const std::string& prefix);

std::string base64_encode(std::string_view bytes);
std::optional<std::string> base64_decode(std::string_view text);

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_TARGET_PROTOCOL_H_
