// seamglade - a bound on the bytes that an instance holds for others
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_CONNECTION_BYTE_BUDGET_H_
#define SEAMGLADE_SRC_CONNECTION_BYTE_BUDGET_H_

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace seamglade::detail {

/** A request of so many bytes is small: room is kept for it. */
inline constexpr std::size_t kSmallRequest = 65536;

/** For whom a listener is there. */
enum class listener_use : std::uint8_t {
  callers,
  /** Other instances, and those who look after this one. */
  fleet
};

/**
 * The bytes of requests and of answers not yet taken, over all connections of
 * an instance. Of the bound, requests may have 5/8: large ones 4/8 and those
 * of callers 9/16. Answers may have the other 3/8, so neither displaces the
 * other.
 */
class byte_budget {
 public:
  class share;

  explicit byte_budget(std::size_t bound) : bound_(bound) {}
  byte_budget(const byte_budget&) = delete;
  byte_budget& operator=(const byte_budget&) = delete;

  std::size_t bound() const { return bound_; }
  /** Returns the bytes that are set aside for requests. */
  std::size_t reserved() const { return reserved_; }
  /** Returns the bytes of answers that nobody has taken yet. */
  std::size_t unsent() const { return unsent_; }
  /** Whether a request of so many bytes fits while there is no other. */
  bool can_ever_hold(listener_use use, std::size_t bytes) const {
    return bytes <= bound_for(use, bytes);
  }
  /** Breaks off the connections with the most unsent until all is in bounds. */
  void relieve();

 private:
  using hook = boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  std::size_t bound_for(listener_use use, std::size_t bytes) const;
  std::size_t unsent_bound() const { return bound_ / 8 * 3; }

  std::size_t bound_;
  std::size_t reserved_ = 0;
  std::size_t unsent_ = 0;
  boost::intrusive::list<share, boost::intrusive::base_hook<hook>,
                         boost::intrusive::constant_time_size<false>>
      shares_;

 public:
  /** What one connection has of the budget; its end gives it back. */
  class share : public hook {
   public:
    /** `break_off`: ends the connection, and with it this share. */
    share(byte_budget& budget, listener_use use,
          std::function<void()> break_off);
    ~share();
    share(const share&) = delete;
    share& operator=(const share&) = delete;

    /** Sets the bytes of its request; false, and as before: no room. */
    [[nodiscard]] bool reserve(std::size_t bytes);
    /** The request is at an end. */
    void release();
    std::size_t reserved() const { return reserved_; }
    void set_unsent(std::size_t bytes);

   private:
    friend class byte_budget;

    byte_budget& budget_;
    listener_use use_;
    std::function<void()> break_off_;
    std::size_t reserved_ = 0;
    std::size_t unsent_ = 0;
  };
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_CONNECTION_BYTE_BUDGET_H_
