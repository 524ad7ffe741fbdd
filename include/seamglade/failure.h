// seamglade - failures as types, and the result that carries one
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_FAILURE_H_
#define SEAMGLADE_FAILURE_H_

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace seamglade {

/** Every way in which an operation of the library can fail. */
enum class errc : std::uint8_t {
  bad_model_name,      // a model is not base/adapter@version
  bad_ini,             // a document is not an INI document
  unknown_key,         // a key that no level of the tree has
  bad_value,           // a value outside its accepted range
  wrong_level,         // a key at a level that cannot hold it
  missing_key,         // a required key is absent
  outside_branch,      // a section that is not below its document's branch
  older_document,      // a document older than the accepted one
  bad_frame,           // bytes that are no frame of this protocol
  frame_too_large,     // a frame above the size limit
  protocol_version,    // a peer that speaks another protocol version
  unreadable_file,     // a file that cannot be opened or read
  unfinished_file,     // a file that is empty or still being written
  cannot_listen,       // an address that cannot be bound
  cannot_listen_yet,   // one that is held or not there, which may pass
  bad_address,         // a text that is no IP number and port
  service_unreachable  // the other side of a command did not answer
};

/** Returns the stable name of a failure code, as used in logs. */
std::string_view to_string(errc code);

/** A failure: its type, and where it was met. */
struct failure {
  errc code = errc::bad_value;
  /** What was met, for a person; never a caller's content. */
  std::string detail;
  /** The line of the document, from 1; 0 where there is none. */
  int line = 0;

  friend bool operator==(const failure&, const failure&) = default;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** A value, or the failure that kept it from being made. */
template <typename T>
using result = outcome::basic_result<T, failure, outcome::policy::all_narrow>;

}  // namespace seamglade

#endif  // SEAMGLADE_FAILURE_H_
