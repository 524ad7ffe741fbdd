// seamglade - encodes what instances of the direct path tell each other
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <limits>
#include <utility>

#include "gateway_wire_generated.h"
#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {
namespace {

namespace fb = flatbuffers;

std::string finished(const fb::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

frames::TargetWork write(const target_work& from) {
  return {from.running, from.reading, from.reading_urgent};
}

std::vector<frames::TargetLoad> write(const std::vector<target_load>& from) {
  std::vector<frames::TargetLoad> out;
  for (const auto& l : from) out.emplace_back(l.target, write(l.work));
  return out;
}

std::vector<frames::MemberRow> write(const std::vector<member_row>& from) {
  std::vector<frames::MemberRow> out;
  for (const auto& r : from) {
    out.emplace_back(r.address, r.domain, r.incarnation, r.beat, r.leaving,
                     static_cast<std::uint8_t>(r.standing), r.cut_off);
  }
  return out;
}

std::vector<frames::TargetClaim> write(const std::vector<target_claim>& from) {
  std::vector<frames::TargetClaim> out;
  for (const auto& c : from) out.emplace_back(c.target, c.fence, c.holder);
  return out;
}

/** Returns a number as one of a smaller type: its bound where it is beyond. */
template <typename Small, typename Number>
Small narrowed(Number number) {
  using limits = std::numeric_limits<Small>;
  if (std::cmp_greater(number, limits::max())) return limits::max();
  if (std::cmp_less(number, limits::min())) return limits::min();
  return static_cast<Small>(number);
}

std::uint32_t write_age(duration age) {
  return narrowed<std::uint32_t>(age / std::chrono::milliseconds(1));
}

fb::Offset<frames::Blame> write(fb::FlatBufferBuilder& b,
                                const blame_row& from) {
  std::vector<frames::TargetEnd> ends;
  for (const auto& end : from.ends) {
    ends.emplace_back(end.target, write_age(end.age));
  }
  return frames::CreateBlameDirect(
      b, from.request.caller, from.request.content, &ends,
      from.answered_age.has_value(),
      write_age(from.answered_age.value_or(duration{})), from.request.part);
}

using blame_offsets = std::vector<fb::Offset<frames::Blame>>;

blame_offsets write(fb::FlatBufferBuilder& b,
                    const std::vector<blame_row>& from) {
  blame_offsets out;
  for (const auto& row : from) out.push_back(write(b, row));
  return out;
}

fb::Offset<frames::Blames> write(fb::FlatBufferBuilder& b,
                                 const blame_message& from) {
  const auto rows = write(b, from.rows);
  return frames::CreateBlamesDirect(b, &rows);
}

frames::TargetLimit write(const limit_row& from) {
  return {from.target, from.life, from.rate, write_age(from.age)};
}

std::vector<frames::TargetLimit> write(const std::vector<limit_row>& from) {
  std::vector<frames::TargetLimit> out;
  for (const auto& row : from) out.push_back(write(row));
  return out;
}

fb::Offset<frames::TargetWords> write(fb::FlatBufferBuilder& b,
                                      const word_message& from) {
  std::vector<frames::TargetWord> rows;
  for (const auto& row : from.rows) {
    rows.emplace_back(row.target, row.life, write_age(row.rest),
                      row.is_leaving);
  }
  const auto limits = write(from.limits);
  return frames::CreateTargetWordsDirect(b, &rows,
                                         limits.empty() ? nullptr : &limits);
}

fb::Offset<frames::Heartbeat> write(fb::FlatBufferBuilder& b,
                                    const heartbeat& from) {
  const auto rows = write(from.rows);
  const auto claims = write(from.claims);
  const auto loads = write(from.loads);
  const auto quarantined = write(b, from.quarantined);
  const auto limits = write(from.limits);
  return frames::CreateHeartbeatDirect(
      b, &rows, from.members, from.store_revision, from.store_age.count(),
      from.copy_age.count(), from.watching, &claims, from.claims_digest, &loads,
      quarantined.empty() ? nullptr : &quarantined,
      limits.empty() ? nullptr : &limits, from.epoch, from.configuration);
}

/** The models that rows name, each once. */
class model_list {
 public:
  std::uint16_t index_of(const std::string& model) {
    const auto at = std::find(names_.begin(), names_.end(), model);
    const auto index = at - names_.begin();
    if (at == names_.end()) names_.push_back(model);
    return narrowed<std::uint16_t>(index);
  }
  fb::Offset<fb::Vector<fb::Offset<fb::String>>> write(
      fb::FlatBufferBuilder& b) const {
    return names_.empty() ? 0 : b.CreateVectorOfStrings(names_);
  }

 private:
  std::vector<std::string> names_;
};

fb::Offset<frames::Wish> write(fb::FlatBufferBuilder& b, model_list& models,
                               const adapter_interest& from) {
  const auto adapter = b.CreateString(from.name.adapter);
  const frames::WishFacts facts(
      from.version, narrowed<std::int32_t>(from.waited.count()),
      narrowed<std::int32_t>(from.slack.count()),
      narrowed<std::uint16_t>(from.waiting),
      narrowed<std::uint16_t>(from.running), narrowed<std::uint16_t>(from.rank),
      models.index_of(from.name.model));
  return frames::CreateWish(b, &facts, adapter);
}

/** Returns a vector, or none where it would be empty. */
template <typename Row>
fb::Offset<fb::Vector<const Row*>> structs(fb::FlatBufferBuilder& b,
                                           const std::vector<Row>& rows) {
  return rows.empty() ? 0 : b.CreateVectorOfStructs(rows);
}

fb::Offset<frames::Interest> write(fb::FlatBufferBuilder& b,
                                   const interest_message& from) {
  model_list models;
  std::vector<frames::AdapterRun> runs;
  std::vector<fb::Offset<frames::Wish>> wishes;
  for (const auto& r : from.rows) {
    if (r.waiting > 0) {
      wishes.push_back(write(b, models, r));
    } else {
      runs.emplace_back(static_cast<std::uint64_t>(r.adapter), r.running);
    }
  }
  const frames::KnownWord known(from.known.fence, from.known.edition);
  const frames::InterestHead head(from.target, known, write(from.work),
                                  from.asks);
  const auto run_list = structs(b, runs);
  const auto model_names = models.write(b);
  const auto wish_list =
      wishes.empty() ? fb::Offset<fb::Vector<fb::Offset<frames::Wish>>>()
                     : b.CreateVector(wishes);
  return frames::CreateInterest(b, &head, run_list, model_names, wish_list);
}

fb::Offset<frames::Residency> write(fb::FlatBufferBuilder& b,
                                    const residency_message& from) {
  std::vector<frames::AdapterPlace> rows;
  for (const auto& p : from.places) {
    rows.emplace_back(static_cast<std::uint64_t>(p.adapter), p.version,
                      p.ready);
  }
  std::vector<std::uint64_t> gone;
  for (const auto a : from.gone) gone.push_back(static_cast<std::uint64_t>(a));
  const frames::ResidencyHead head(
      from.target, from.fence, from.edition, from.since,
      narrowed<std::uint32_t>(from.load_time.count()), write(from.work));
  const auto places = structs(b, rows);
  const auto gone_list = gone.empty() ? fb::Offset<fb::Vector<std::uint64_t>>()
                                      : b.CreateVector(gone);
  const auto running = from.running.empty()
                           ? fb::Offset<fb::Vector<std::uint8_t>>()
                           : b.CreateVector(from.running);
  return frames::CreateResidency(b, &head, places, gone_list, running);
}

fb::Offset<frames::StoreItem> write(fb::FlatBufferBuilder& b,
                                    const store_item& item) {
  const std::string_view value =
      item.value ? std::string_view(*item.value) : std::string_view();
  const auto key = b.CreateString(item.key);
  const auto bytes = b.CreateVector(
      reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
  return frames::CreateStoreItem(b, key, item.revision, bytes,
                                 !item.value.has_value());
}

std::vector<fb::Offset<frames::StoreItem>> write(
    fb::FlatBufferBuilder& b, const std::vector<store_item>& from) {
  std::vector<fb::Offset<frames::StoreItem>> items;
  for (const auto& item : from) items.push_back(write(b, item));
  return items;
}

fb::Offset<frames::News> write(fb::FlatBufferBuilder& b,
                               const news_message& from) {
  const auto items = write(b, from.items);
  return frames::CreateNewsDirect(b, &items, from.operators_from,
                                  from.operators_to, from.epoch);
}

fb::Offset<frames::Loads> write(fb::FlatBufferBuilder& b,
                                const loads_message& from) {
  const auto loads = write(from.loads);
  return frames::CreateLoadsDirect(b, &loads);
}

fb::Offset<frames::ProbeRequest> write(fb::FlatBufferBuilder& b,
                                       const probe_request& from) {
  return frames::CreateProbeRequest(b, from.origin, from.subject);
}

fb::Offset<frames::ProbeAnswer> write(fb::FlatBufferBuilder& b,
                                      const probe_answer& from) {
  const auto rows = write(from.rows);
  const auto claims = write(from.claims);
  return frames::CreateProbeAnswerDirect(b, from.origin, &rows,
                                         claims.empty() ? nullptr : &claims);
}

fb::Offset<frames::ConfirmationRequest> write(
    fb::FlatBufferBuilder& b, const confirmation_request& from) {
  return frames::CreateConfirmationRequest(b, from.asked.count());
}

fb::Offset<frames::ConfirmationAnswer> write(fb::FlatBufferBuilder& b,
                                             const confirmation_answer& from) {
  return frames::CreateConfirmationAnswer(b, from.asked.count(),
                                          from.age.count(), from.configuration);
}

fb::Offset<frames::QuotaRequest> write(fb::FlatBufferBuilder& b,
                                       const quota_request& from) {
  return frames::CreateQuotaRequest(b, from.request, from.workspace,
                                    from.amount);
}

fb::Offset<frames::QuotaAnswer> write(fb::FlatBufferBuilder& b,
                                      const quota_answer& from) {
  return frames::CreateQuotaAnswer(b, from.request, from.workspace,
                                   static_cast<std::uint8_t>(from.verdict),
                                   from.empty_for.count());
}

fb::Offset<frames::AdmissionRequest> write(fb::FlatBufferBuilder& b,
                                           const admission_request& from) {
  return frames::CreateAdmissionRequest(b, from.request, from.target,
                                        from.slack.count(), from.rank,
                                        from.held_for.count());
}

fb::Offset<frames::AdmissionAnswer> write(fb::FlatBufferBuilder& b,
                                          const admission_answer& from) {
  return frames::CreateAdmissionAnswer(b, from.request, from.target,
                                       from.is_granted, from.expected.count(),
                                       from.full_for.count());
}

fb::Offset<frames::AdmissionEnd> write(fb::FlatBufferBuilder& b,
                                       const admission_end& from) {
  return frames::CreateAdmissionEnd(b, from.request, from.target,
                                    static_cast<std::uint8_t>(from.outcome),
                                    from.took.count());
}

fb::Offset<frames::DomainAlarm> write(fb::FlatBufferBuilder& b,
                                      const domain_alarm& from) {
  return frames::CreateDomainAlarm(b, from.domain);
}

fb::Offset<frames::GrantRequest> write(fb::FlatBufferBuilder& b,
                                       const grant_request& from) {
  const auto limit = write(from.limit);
  return frames::CreateGrantRequest(b, from.request, from.target, from.is_cold,
                                    from.limit.rate > 0 ? &limit : nullptr);
}

fb::Offset<frames::GrantAnswer> write(fb::FlatBufferBuilder& b,
                                      const grant_answer& from) {
  return frames::CreateGrantAnswer(b, from.request, from.target,
                                   from.is_granted, from.spent_for.count());
}

frames::StreamOrigin write(const origin_row& from) {
  return {from.stream, from.origin.service, from.origin.software};
}

fb::Offset<frames::Origins> write(fb::FlatBufferBuilder& b,
                                  const origin_message& from) {
  std::vector<frames::StreamOrigin> rows;
  for (const auto& row : from.rows) rows.push_back(write(row));
  return frames::CreateOriginsDirect(b, &rows);
}

fb::Offset<frames::OriginRequest> write(fb::FlatBufferBuilder& b,
                                        const origin_request& from) {
  return frames::CreateOriginRequest(b, from.request, from.stream,
                                     from.service);
}

fb::Offset<frames::OriginAnswer> write(fb::FlatBufferBuilder& b,
                                       const origin_answer& from) {
  const auto origin =
      write(origin_row{0, from.origin.value_or(stream_origin())});
  return frames::CreateOriginAnswer(b, from.request,
                                    from.origin ? &origin : nullptr,
                                    from.is_single_version, from.watched);
}

frames::Body kind_of(const heartbeat&) { return frames::Body::Heartbeat; }
frames::Body kind_of(const interest_message&) { return frames::Body::Interest; }
frames::Body kind_of(const residency_message&) {
  return frames::Body::Residency;
}
frames::Body kind_of(const news_message&) { return frames::Body::News; }
frames::Body kind_of(const loads_message&) { return frames::Body::Loads; }
frames::Body kind_of(const probe_request&) {
  return frames::Body::ProbeRequest;
}
frames::Body kind_of(const probe_answer&) { return frames::Body::ProbeAnswer; }
frames::Body kind_of(const confirmation_request&) {
  return frames::Body::ConfirmationRequest;
}
frames::Body kind_of(const confirmation_answer&) {
  return frames::Body::ConfirmationAnswer;
}
frames::Body kind_of(const quota_request&) {
  return frames::Body::QuotaRequest;
}
frames::Body kind_of(const quota_answer&) { return frames::Body::QuotaAnswer; }
frames::Body kind_of(const admission_request&) {
  return frames::Body::AdmissionRequest;
}
frames::Body kind_of(const admission_answer&) {
  return frames::Body::AdmissionAnswer;
}
frames::Body kind_of(const admission_end&) {
  return frames::Body::AdmissionEnd;
}
frames::Body kind_of(const domain_alarm&) { return frames::Body::DomainAlarm; }
frames::Body kind_of(const grant_request&) {
  return frames::Body::GrantRequest;
}
frames::Body kind_of(const grant_answer&) { return frames::Body::GrantAnswer; }
frames::Body kind_of(const blame_message&) { return frames::Body::Blames; }
frames::Body kind_of(const word_message&) { return frames::Body::TargetWords; }
frames::Body kind_of(const origin_message&) { return frames::Body::Origins; }
frames::Body kind_of(const origin_request&) {
  return frames::Body::OriginRequest;
}
frames::Body kind_of(const origin_answer&) {
  return frames::Body::OriginAnswer;
}

}  // namespace

std::string encode_peer_message(const peer_message& message) {
  fb::FlatBufferBuilder b;
  std::visit(
      [&](const auto& m) {
        const auto body = write(b, m).Union();
        b.Finish(frames::CreatePeerFrame(b, kind_of(m), body));
      },
      message);
  return finished(b);
}

std::string encode_store_changes(const store_changes& changes) {
  fb::FlatBufferBuilder b;
  const auto list = b.CreateVector(write(b, changes.items));
  const auto kept = b.CreateVector(write(b, changes.kept));
  b.Finish(frames::CreateStoreChanges(b, changes.revision, changes.whole, list,
                                      changes.operators, changes.epoch, kept));
  return finished(b);
}

}  // namespace seamglade::gateway
