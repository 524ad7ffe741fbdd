// seamglade - frames between instances: FlatBuffers headers and raw payloads
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_WIRE_H_
#define SEAMGLADE_WIRE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "seamglade/message.h"

namespace seamglade {

/** Version of the protocol between instances; peers must have the same. */
inline constexpr std::uint32_t kProtocolVersion = 1;

/** Bytes of a frame's two lengths. */
inline constexpr std::size_t kFramePrefix = 8;

/** Largest frame accepted, in bytes, prefix included. */
inline constexpr std::size_t kMaxFrame = (64 << 20) + (1 << 16);

/** The first frame on a connection, each way. */
struct hello {
  std::uint32_t protocol = kProtocolVersion;
  instance_id instance;
  std::uint64_t incarnation = 0;
};

/** A frame ready to be sent: the payload is shared, not copied. */
struct encoded_frame {
  /** Prefix and header. */
  std::string head;
  std::shared_ptr<const std::string> payload;

  std::size_t size() const {
    return head.size() + (payload ? payload->size() : 0);
  }
};

encoded_frame encode(const hello& first);
encoded_frame encode(const message& body);

/** Lengths of the frame that begins with these kFramePrefix bytes. */
struct frame_lengths {
  std::uint32_t header = 0;
  std::uint32_t payload = 0;
};

/** Reads a prefix; fails with frame_too_large or bad_frame. */
result<frame_lengths> decode_prefix(std::string_view prefix);

/** What a frame may hold. */
using frame = std::variant<hello, message>;

/** Decodes a frame's header and payload; fails with bad_frame. */
result<frame> decode(std::string_view header,
                     std::shared_ptr<const std::string> payload);

}  // namespace seamglade

#endif  // SEAMGLADE_WIRE_H_
