// seamglade - decodes what instances of the direct path tell each other
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

failure bad_frame(const char* what) {
  return failure{errc::bad_frame, what, 0};
}

std::string text(const fb::String* from) {
  return from == nullptr ? std::string() : from->str();
}

target_work read(const frames::TargetWork& from) {
  return {from.running(), from.reading(), from.reading_urgent()};
}

template <typename Rows, typename Read>
void each(const Rows* rows, Read read) {
  if (rows == nullptr) return;
  for (const auto* row : *rows) read(*row);
}

member_row read(const frames::MemberRow& from) {
  // What a later release may call worse than gone is no less than that.
  const auto worst = static_cast<std::uint8_t>(member_standing::gone);
  const auto standing =
      static_cast<member_standing>(std::min(from.standing(), worst));
  return {from.address(), from.domain(), from.incarnation(), from.beat(),
          from.leaving(), standing,      from.cut_off()};
}

std::vector<target_claim> read_claims(
    const fb::Vector<const frames::TargetClaim*>* from) {
  std::vector<target_claim> out;
  each(from, [&](const frames::TargetClaim& c) {
    out.push_back({c.target(), c.fence(), c.holder()});
  });
  return out;
}

blame_row read(const frames::Blame& from) {
  blame_row out;
  out.request = {from.caller(), from.content(), from.part()};
  each(from.ends(), [&](const frames::TargetEnd& end) {
    out.ends.push_back({end.target(), std::chrono::milliseconds(end.age_ms())});
  });
  if (from.answered()) {
    out.answered_age = std::chrono::milliseconds(from.answered_age_ms());
  }
  return out;
}

std::vector<blame_row> read_rows(
    const fb::Vector<fb::Offset<frames::Blame>>* from) {
  std::vector<blame_row> out;
  each(from, [&](const frames::Blame& row) { out.push_back(read(row)); });
  return out;
}

peer_message read(const frames::Blames& from) {
  return blame_message{read_rows(from.rows())};
}

limit_row read(const frames::TargetLimit& from) {
  return {from.target(), from.life(), from.rate(),
          std::chrono::milliseconds(from.age_ms())};
}

std::vector<limit_row> read_limits(
    const fb::Vector<const frames::TargetLimit*>* from) {
  std::vector<limit_row> out;
  each(from, [&](const frames::TargetLimit& row) { out.push_back(read(row)); });
  return out;
}

peer_message read(const frames::TargetWords& from) {
  word_message out;
  out.limits = read_limits(from.limits());
  each(from.rows(), [&](const frames::TargetWord& row) {
    out.rows.push_back({row.target(), row.life(), row.is_leaving(),
                        std::chrono::milliseconds(row.rest_ms())});
  });
  return out;
}

peer_message read(const frames::Heartbeat& from) {
  heartbeat out;
  each(from.rows(),
       [&](const frames::MemberRow& r) { out.rows.push_back(read(r)); });
  out.members = from.members();
  out.store_revision = from.store_revision();
  out.epoch = from.epoch();
  out.configuration = from.configuration();
  out.store_age = duration(from.store_age_us());
  out.copy_age = duration(from.copy_age_us());
  out.watching = from.watching();
  out.claims = read_claims(from.claims());
  out.claims_digest = from.claims_digest();
  each(from.loads(), [&](const frames::TargetLoad& l) {
    out.loads.push_back({l.target(), read(l.work())});
  });
  out.quarantined = read_rows(from.quarantined());
  out.limits = read_limits(from.limits());
  return out;
}

peer_message read(const frames::Loads& from) {
  loads_message out;
  each(from.loads(), [&](const frames::TargetLoad& l) {
    out.loads.push_back({l.target(), read(l.work())});
  });
  return out;
}

adapter_interest read(const frames::Wish& from, std::string model) {
  adapter_interest out;
  out.name = {std::move(model), text(from.adapter())};
  out.adapter = hash_of(out.name);
  const auto& facts = *from.facts();
  out.version = facts.version();
  out.waiting = facts.waiting();
  out.running = facts.running();
  out.rank = facts.rank();
  out.waited = duration(facts.waited_us());
  out.slack = duration(facts.slack_us());
  return out;
}

peer_message read(const frames::Interest& from) {
  interest_message out;
  if (const auto* head = from.head()) {
    out.target = head->target();
    out.work = read(head->work());
    out.asks = head->asks();
    out.known = {head->known().fence(), head->known().edition()};
  }
  each(from.wishes(), [&](const frames::Wish& w) {
    const auto* models = from.models();
    const auto* facts = w.facts();
    const bool is_whole = facts != nullptr && models != nullptr &&
                          facts->model() < models->size();
    if (is_whole) {
      out.rows.push_back(read(w, text(models->Get(facts->model()))));
    }
  });
  each(from.runs(), [&](const frames::AdapterRun& r) {
    adapter_interest row;
    row.adapter = adapter_hash{r.adapter()};
    row.running = r.running();
    out.rows.push_back(std::move(row));
  });
  return out;
}

peer_message read(const frames::Residency& from) {
  residency_message out;
  if (const auto* head = from.head()) {
    out.target = head->target();
    out.fence = head->fence();
    out.edition = head->edition();
    out.since = head->since();
    out.load_time = duration(head->load_time_us());
    out.work = read(head->work());
  }
  each(from.places(), [&](const frames::AdapterPlace& p) {
    out.places.push_back({adapter_hash{p.adapter()}, p.version(), p.ready()});
  });
  if (const auto* gone = from.gone()) {
    for (const auto hash : *gone) out.gone.push_back(adapter_hash{hash});
  }
  if (const auto* running = from.running()) {
    out.running.assign(running->begin(), running->end());
  }
  return out;
}

store_item read(const frames::StoreItem& from) {
  store_item out{text(from.key()), from.revision(), std::nullopt};
  if (from.deleted()) return out;
  out.value.emplace();
  if (const auto* value = from.value()) {
    out.value->assign(reinterpret_cast<const char*>(value->data()),
                      value->size());
  }
  return out;
}

peer_message read(const frames::News& from) {
  news_message out;
  out.operators_from = from.operators_from();
  out.operators_to = from.operators_to();
  out.epoch = from.epoch();
  each(from.items(),
       [&](const frames::StoreItem& item) { out.items.push_back(read(item)); });
  return out;
}

peer_message read(const frames::ProbeRequest& from) {
  return probe_request{from.origin(), from.subject()};
}

peer_message read(const frames::ProbeAnswer& from) {
  probe_answer out;
  out.origin = from.origin();
  each(from.rows(),
       [&](const frames::MemberRow& r) { out.rows.push_back(read(r)); });
  out.claims = read_claims(from.claims());
  return out;
}

peer_message read(const frames::ConfirmationRequest& from) {
  return confirmation_request{duration(from.asked_us())};
}

peer_message read(const frames::ConfirmationAnswer& from) {
  return confirmation_answer{duration(from.asked_us()), duration(from.age_us()),
                             from.configuration()};
}

peer_message read(const frames::QuotaRequest& from) {
  return quota_request{from.request(), from.workspace(), from.amount()};
}

peer_message read(const frames::QuotaAnswer& from) {
  // What a later release may add grants nothing here.
  const auto last = static_cast<std::uint8_t>(quota_verdict::not_mine);
  return quota_answer{
      from.request(), from.workspace(),
      static_cast<quota_verdict>(std::min(from.verdict(), last)),
      duration(from.empty_for_us())};
}

peer_message read(const frames::AdmissionRequest& from) {
  return admission_request{from.request(), from.target(),
                           duration(from.slack_us()), from.rank(),
                           duration(from.held_for_us())};
}

peer_message read(const frames::AdmissionAnswer& from) {
  return admission_answer{from.request(), from.target(), from.is_granted(),
                          duration(from.expected_us()),
                          duration(from.full_for_us())};
}

peer_message read(const frames::AdmissionEnd& from) {
  const auto last = static_cast<std::uint8_t>(admission_outcome::other);
  return admission_end{
      from.request(), from.target(),
      static_cast<admission_outcome>(std::min(from.outcome(), last)),
      duration(from.took_us())};
}

peer_message read(const frames::DomainAlarm& from) {
  return domain_alarm{from.domain()};
}

peer_message read(const frames::GrantRequest& from) {
  grant_request out{from.request(), from.target(), from.is_cold()};
  if (from.limit() != nullptr) out.limit = read(*from.limit());
  return out;
}

peer_message read(const frames::GrantAnswer& from) {
  return grant_answer{from.request(), from.target(), from.is_granted(),
                      duration(from.spent_for_us())};
}

origin_row read(const frames::StreamOrigin& from) {
  return {from.stream(), {from.service(), from.software()}};
}

peer_message read(const frames::Origins& from) {
  origin_message out;
  each(from.rows(),
       [&](const frames::StreamOrigin& row) { out.rows.push_back(read(row)); });
  return out;
}

peer_message read(const frames::OriginRequest& from) {
  return origin_request{from.request(), from.stream(), from.service()};
}

peer_message read(const frames::OriginAnswer& from) {
  origin_answer out;
  out.request = from.request();
  if (from.origin() != nullptr) out.origin = read(*from.origin()).origin;
  out.is_single_version = from.is_single_version();
  out.watched = from.watched();
  return out;
}

}  // namespace

result<peer_message> decode_peer_message(std::string_view bytes) {
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                        bytes.size());
  if (!frames::VerifyPeerFrameBuffer(verifier)) return bad_frame("datagram");
  const auto* frame = frames::GetPeerFrame(bytes.data());
  if (const auto* beat = frame->body_as_Heartbeat()) return read(*beat);
  if (const auto* interest = frame->body_as_Interest()) return read(*interest);
  if (const auto* places = frame->body_as_Residency()) return read(*places);
  if (const auto* news = frame->body_as_News()) return read(*news);
  if (const auto* loads = frame->body_as_Loads()) return read(*loads);
  if (const auto* probe = frame->body_as_ProbeRequest()) return read(*probe);
  if (const auto* answer = frame->body_as_ProbeAnswer()) return read(*answer);
  if (const auto* ask = frame->body_as_ConfirmationRequest()) return read(*ask);
  if (const auto* word = frame->body_as_ConfirmationAnswer()) {
    return read(*word);
  }
  if (const auto* ask = frame->body_as_QuotaRequest()) return read(*ask);
  if (const auto* word = frame->body_as_QuotaAnswer()) return read(*word);
  if (const auto* ask = frame->body_as_AdmissionRequest()) return read(*ask);
  if (const auto* word = frame->body_as_AdmissionAnswer()) return read(*word);
  if (const auto* end = frame->body_as_AdmissionEnd()) return read(*end);
  if (const auto* alarm = frame->body_as_DomainAlarm()) return read(*alarm);
  if (const auto* ask = frame->body_as_GrantRequest()) return read(*ask);
  if (const auto* word = frame->body_as_GrantAnswer()) return read(*word);
  if (const auto* blames = frame->body_as_Blames()) return read(*blames);
  if (const auto* words = frame->body_as_TargetWords()) return read(*words);
  if (const auto* rows = frame->body_as_Origins()) return read(*rows);
  if (const auto* ask = frame->body_as_OriginRequest()) return read(*ask);
  if (const auto* word = frame->body_as_OriginAnswer()) return read(*word);
  return bad_frame("datagram of an unknown kind");
}

result<store_changes> decode_store_changes(std::string_view bytes) {
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                        bytes.size());
  if (!verifier.VerifyBuffer<frames::StoreChanges>(nullptr)) {
    return bad_frame("store changes");
  }
  const auto* from = fb::GetRoot<frames::StoreChanges>(bytes.data());
  store_changes out;
  out.revision = from->revision();
  out.whole = from->whole();
  out.operators = from->operators();
  out.epoch = from->epoch();
  each(from->items(),
       [&](const frames::StoreItem& item) { out.items.push_back(read(item)); });
  each(from->kept(),
       [&](const frames::StoreItem& item) { out.kept.push_back(read(item)); });
  return out;
}

}  // namespace seamglade::gateway
