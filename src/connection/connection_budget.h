// seamglade - a bound on the connections that an instance opens
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_CONNECTION_BUDGET_H_
#define SEAMGLADE_SRC_CONNECTION_CONNECTION_BUDGET_H_

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace seamglade::detail {

/** What a connection carries. */
enum class connection_use : std::uint8_t {
  /** Callers' requests, to targets and to other instances. */
  requests,
  /** What the instance itself has to know or order. */
  control
};

inline constexpr std::size_t kConnectionUses = 2;

/**
 * The connections that an instance opens, over all its clients: in use, coming
 * up, or kept for later. Requests may not have them all, so the store and the
 * targets' reports can be read while every other connection carries a request.
 * The one that has been idle for longest gives its place to a new one.
 */
class connection_budget {
 public:
  class place;

  struct counters {
    /** Idle connections that gave their place to a new one. */
    std::uint64_t replaced = 0;
    /** Connections that were not opened since all others were in use. */
    std::uint64_t refused = 0;
  };

  explicit connection_budget(std::size_t bound);
  connection_budget(const connection_budget&) = delete;
  connection_budget& operator=(const connection_budget&) = delete;

  /**
   * Makes room for one more connection, closing an idle one if need be; false:
   * there is none.
   */
  [[nodiscard]] bool make_room(connection_use use);
  /** The system has no descriptor, port or memory for one more. */
  void note_refused() { ++counts_.refused; }

  std::size_t bound() const { return bound_; }
  std::size_t open() const;
  std::size_t idle() const;
  const counters& counts() const { return counts_; }

 private:
  using hook = boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
  using place_list =
      boost::intrusive::list<place, boost::intrusive::base_hook<hook>,
                             boost::intrusive::constant_time_size<false>>;

  std::size_t& open_for(connection_use use);
  place_list& idle_for(connection_use use);
  bool is_part_full(connection_use use) const;

  std::size_t bound_;
  /** Of the bound, what requests may have. */
  std::size_t for_requests_;
  std::array<std::size_t, kConnectionUses> open_{};
  /** The one that has been idle for longest comes first. */
  std::array<place_list, kConnectionUses> idle_;
  counters counts_;

 public:
  /** What one connection has of the budget; its end gives it back. */
  class place : public hook {
   public:
    /** `close`: ends the connection, and with it this place. */
    place(connection_budget& budget, connection_use use,
          std::function<void()> close);
    ~place();
    place(const place&) = delete;
    place& operator=(const place&) = delete;

    /** It carries nothing now, and may be closed for another one. */
    void rest();
    /**
     * It is to carry something again; false, and as before: there is no room
     * for one more of this use.
     */
    [[nodiscard]] bool carry(connection_use use);

   private:
    friend class connection_budget;

    connection_budget& budget_;
    connection_use use_;
    std::function<void()> close_;
  };
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_CONNECTION_BUDGET_H_
