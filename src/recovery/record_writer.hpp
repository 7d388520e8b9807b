// Writes the records of a new incarnation, a few in each transaction.
//
// Every transaction has as conditions that the leader of the rebuilding is still the leader, and that none of
// its keys exists: of two copies of one transaction only the first can succeed, and nothing that a deposed
// leader sent counts.
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
    Incarnation incarnation;            // that is written
    std::uint64_t leader_revision = 0;  // of the key that names the leader
  };
  // Called once: with true when all records are durable, with false when the leader has been deposed.
  using Handler = std::function<void(bool written)>;
  // `store` works without any prefix.
  RecordWriter(Env& env, StateClient& store, const Settings& settings, Target target, RebuiltRecords records);

  void write(Handler handler);
  // Records to be written in all, and those that are durable.
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
  std::vector<RecordWrite> queue_;  // those to be written next stand last
  std::vector<RebuiltRecords::Delegation> delegations_;
  std::map<std::string, std::uint64_t> job_revisions_;  // as the new incarnation sees them
  std::size_t total_records_;
  std::size_t written_records_ = 0;
  Handler handler_;
};

}  // namespace mothslip::recovery
