// Writes the records of a new incarnation in batches, one transaction per batch.
//
// Every transaction is conditional on this controller still being the leader of the rebuild and on none of
// its keys existing. So only the first of two copies of a transaction can succeed, and transactions of a
// deposed leader fail.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/state/state_client.hpp"
#include "recovery/messages.hpp"
#include "recovery/rebuilt_records.hpp"

namespace mothslip::recovery {

class RecordWriter {
 public:
  struct Target {
    Incarnation incarnation;            // the incarnation to write
    std::uint64_t leader_revision = 0;  // revision of the key that names the leader
  };
  // Called once: with true when all records are durable, with false if this leader has been deposed.
  using Handler = std::function<void(bool written)>;
  // `store` must be a client without an incarnation prefix.
  RecordWriter(Env& env, StateClient& store, const Settings& settings, Target target, RebuiltRecords records);

  void write(Handler handler);
  // Number of records to write in total, and of those that are durable.
  [[nodiscard]] std::size_t total_records() const { return total_records_; }
  [[nodiscard]] std::size_t written_records() const { return written_records_; }

 private:
  void write_next_batch();
  void send_batch(const std::vector<RecordWrite>& batch, const std::string& body);
  void on_batch_written(const std::vector<RecordWrite>& batch, std::uint64_t revision);
  void check_batch_written(const std::vector<RecordWrite>& batch, const std::string& body);
  [[nodiscard]] std::vector<RecordWrite> take_batch();
  void add_delegations();

  Env& env_;
  StateClient& store_;
  KeySpace key_space_;
  std::uint64_t leader_revision_;
  std::size_t max_batch_bytes_;
  std::vector<RecordWrite> queue_;  // written from the back
  std::vector<RebuiltRecords::Delegation> delegations_;
  std::map<std::string, std::uint64_t> job_revisions_;  // by key, as revisions of the new incarnation
  std::size_t total_records_;
  std::size_t written_records_ = 0;
  Handler handler_;
};

}  // namespace mothslip::recovery
