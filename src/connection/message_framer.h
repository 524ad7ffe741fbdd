// seamglade - where an HTTP/1.1 message is cut for its parser
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_MESSAGE_FRAMER_H_
#define SEAMGLADE_SRC_CONNECTION_MESSAGE_FRAMER_H_

#include <boost/beast/core/error.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace seamglade::detail {

/** The next bytes that a parser gets at once. */
struct message_piece {
  /** 0: more must come first. */
  std::size_t size = 0;
  /** Why no parser needs to see the bytes. */
  boost::beast::error_code ec;
};

/**
 * Finds heads, lines of chunks and trailers that have come whole, so that what
 * a parser makes of them does not depend on how they were split on their way.
 */
class message_framer {
 public:
  /** `header_bytes`: the most that a head may have. */
  message_framer(bool is_request, std::uint32_t header_bytes)
      : is_request_(is_request), header_bytes_(header_bytes) {}

  /** Returns the head that the unread bytes begin with. */
  message_piece next_head(std::string_view unread);
  /** Returns a chunk's line; the last one's with the trailers. */
  message_piece next_chunk_line(std::string_view unread) const;

  void begin_chunk(std::uint64_t size);
  void take_from_chunk(std::uint64_t size) { chunk_left_ -= size; }
  /** Whether bytes of a chunk are expected, and not its line. */
  bool in_chunk() const { return chunk_left_ > 0; }

 private:
  boost::beast::error_code fault_at_start(std::string_view unread) const;
  boost::beast::error_code line_fault(bool is_first_line) const;
  message_piece whole_if(std::string_view unread, std::size_t end) const;

  bool is_request_;
  std::uint32_t header_bytes_;
  /** Lines of the head before this byte are checked. */
  std::size_t scanned_ = 0;
  bool in_first_line_ = true;
  bool is_behind_chunk_ = false;
  std::uint64_t chunk_left_ = 0;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_MESSAGE_FRAMER_H_
