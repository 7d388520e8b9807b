#include "recovery/rebuilding_mode.hpp"

#include <utility>

namespace mothslip::recovery {

RebuildingMode::RebuildingMode(Env& env, const Settings& settings, const Options& options,
                               const PublishedHandler& published)
    : outer_env_(env),
      process_started_at_(options.process_started_at),
      snapshot_(options.known_evidence, env.now()),
      service_(options.memory, env.now()),
      env_(env),
      recovery_(context(settings, options, published)) {}

Recovery::Context RebuildingMode::context(const Settings& settings, const Options& options,
                                          const PublishedHandler& published) {
  Recovery::Context out;
  out.env = &env_;
  out.settings = &settings;
  out.last_incarnation = options.last_incarnation;
  out.shards = options.memory.shard_count;
  out.process_started_at = options.process_started_at;
  out.own_evidence = [this] { return own_evidence(); };
  // The handler destroys this object, so a timer calls it, through a copy that the timer owns.
  out.published = [this, published](const MetaRecord& meta) {
    env_.after(0, [published, meta] { published(meta); });
  };
  return out;
}

void RebuildingMode::on_client_request(const HttpRequest& request, const Responder& responder) {
  service_.on_client_request(request, responder, outer_env_.now());
}

void RebuildingMode::on_peer_request(const HttpRequest& request, const Responder& responder) {
  service_.on_peer_request(request, responder, outer_env_.now());
}

EvidenceReply RebuildingMode::answer(const EvidenceRequest& request) const {
  EvidenceReply out;
  out.chunk_count = chunk_count();
  out.uptime_s = outer_env_.now() - process_started_at_;
  out.evidence = chunk(request.chunk);
  return out;
}

double RebuildingMode::suspended_s() const { return snapshot_.age_s(outer_env_.now()); }

// The chunks of the snapshot come first; the last chunk is the evidence that workers have reported since.
Evidence RebuildingMode::chunk(std::size_t number) const {
  if (number >= snapshot_.chunk_count()) return service_.reported();
  return snapshot_.chunk(number, outer_env_.now());
}

Evidence RebuildingMode::own_evidence() const {
  Evidence out;
  for (std::size_t number = 0; number < chunk_count(); number++) out.merge(chunk(number));
  return out;
}

}  // namespace mothslip::recovery
