// seamglade - the settings reference, printed from the schema
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_PROCESS_REFERENCE_H_
#define SEAMGLADE_SRC_PROCESS_REFERENCE_H_

#include <string>

namespace seamglade::detail {

/** Returns the reference of all settings as Markdown tables. */
std::string settings_reference();

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_PROCESS_REFERENCE_H_
