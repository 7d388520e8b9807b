#include "recovery/record_writer.hpp"

#include <algorithm>
#include <utility>

namespace mothslip::recovery {

namespace {
// The byte limit of a transaction is this or the value size limit, whichever is larger.
constexpr std::size_t kMinBatchLimitBytes = std::size_t{48} * 1024;
// Bytes of a change in the body of a transaction in addition to its value and its key, which occurs in both
// the guard and the put.
constexpr std::size_t kChangeOverheadBytes = 100;
constexpr double kRetryDelaySeconds = 0.3;
}  // namespace

RecordWriter::RecordWriter(Env& env, StateClient& store, const Settings& settings, Target target,
                           RebuiltRecords records)
    : env_(env),
      store_(store),
      key_space_(std::move(target.incarnation)),
      leader_revision_(target.leader_revision),
      max_batch_bytes_(std::max(static_cast<std::size_t>(settings.value_kb * 1024), kMinBatchLimitBytes)),
      queue_(std::move(records.other_records)),
      delegations_(std::move(records.delegations)) {
  // Job records are written first. Delegations contain their revisions and are added once all else is
  // written.
  std::move(records.job_records.begin(), records.job_records.end(), std::back_inserter(queue_));
  total_records_ = queue_.size() + delegations_.size();
}

void RecordWriter::write(Handler handler) {
  handler_ = std::move(handler);
  write_next_batch();
}

void RecordWriter::add_delegations() {
  for (RebuiltRecords::Delegation& delegation : delegations_) {
    delegation.record.job_revision = job_revisions_[delegation.job_key];
    queue_.push_back({std::move(delegation.key), delegation.record.to_json()});
  }
  delegations_.clear();
}

std::vector<RecordWrite> RecordWriter::take_batch() {
  std::vector<RecordWrite> batch;
  std::size_t batch_bytes = 0;
  const auto max_writes = static_cast<std::size_t>(store_.max_writes_per_txn());
  while (!queue_.empty() && batch.size() < max_writes) {
    const std::size_t needed_bytes =
        queue_.back().key.size() * 2 + dump_json(queue_.back().data).size() + kChangeOverheadBytes;
    if (!batch.empty() && batch_bytes + needed_bytes > max_batch_bytes_) break;
    batch_bytes += needed_bytes;
    batch.push_back(std::move(queue_.back()));
    queue_.pop_back();
  }
  return batch;
}

void RecordWriter::write_next_batch() {
  if (queue_.empty()) add_delegations();
  if (queue_.empty()) {
    handler_(true);
    return;
  }
  const std::vector<RecordWrite> batch = take_batch();
  Transaction transaction;
  transaction.guard(kLeaderKey, leader_revision_);
  for (const RecordWrite& record : batch) {
    transaction.guard(key_space_.stored_key(record.key), 0);
    transaction.put(key_space_.stored_key(record.key), record.data);
  }
  send_batch(batch, transaction.body());
}

void RecordWriter::send_batch(const std::vector<RecordWrite>& batch, const std::string& body) {
  store_.commit_body(RequestPriority::kLaunch, body, static_cast<int>(batch.size()),
                     [this, batch, body](const StateReply& reply) {
                       if (reply.ok()) {
                         on_batch_written(batch, reply.revision());
                       } else if (reply.outcome == Outcome::kRefused || reply.outcome == Outcome::kUnknown) {
                         env_.after(kRetryDelaySeconds, [this, batch, body] { send_batch(batch, body); });
                       } else {
                         check_batch_written(batch, body);
                       }
                     });
}

// Called when a transaction was rejected: either an earlier attempt without a reply has succeeded, or this
// leader has been deposed.
void RecordWriter::check_batch_written(const std::vector<RecordWrite>& batch, const std::string& body) {
  store_.get(RequestPriority::kLaunch, key_space_.stored_key(batch.front().key),
             [this, batch, body](const StateReply& reply) {
               if (reply.ok()) {
                 on_batch_written(batch, reply.item_revision());
               } else if (reply.outcome == Outcome::kMissing) {
                 handler_(false);
               } else {
                 env_.after(kRetryDelaySeconds, [this, batch, body] { check_batch_written(batch, body); });
               }
             });
}

void RecordWriter::on_batch_written(const std::vector<RecordWrite>& batch, std::uint64_t revision) {
  written_records_ += batch.size();
  for (const RecordWrite& record : batch) {
    if (record.key.rfind(keys::kJobRecords, 0) == 0)
      job_revisions_[record.key] = key_space_.to_logical_revision(revision);
  }
  write_next_batch();
}

}  // namespace mothslip::recovery
