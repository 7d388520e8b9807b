#include "recovery/record_writer.hpp"

#include <algorithm>
#include <utility>

#include "recovery/state_answer.hpp"

namespace mothslip::recovery {

namespace {
// A transaction may have so many bytes, or as many as the largest value if that is more.
constexpr std::size_t kTransactionBytes = std::size_t{48} * 1024;
// What a change takes in the body of a transaction besides its value and, in the guard and the put, its key.
constexpr std::size_t kFrameBytes = 100;
constexpr double kRetrySeconds = 0.3;
}  // namespace

RecordWriter::RecordWriter(Env& env, StateClient& store, const Settings& settings, Target target,
                           RebuiltRecords records)
    : env_(env),
      store_(store),
      key_space_(std::move(target.incarnation)),
      leader_revision_(target.leader_revision),
      batch_bytes_(std::max(static_cast<std::size_t>(settings.value_kb * 1024), kTransactionBytes)),
      queue_(std::move(records.others)),
      delegations_(std::move(records.delegations)) {
  // Job records first: delegations, which are added when all else is written, name their revisions.
  std::move(records.job_records.begin(), records.job_records.end(), std::back_inserter(queue_));
  total_ = queue_.size() + delegations_.size();
}

void RecordWriter::write(Handler handler) {
  handler_ = std::move(handler);
  next();
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
  std::size_t bytes = 0;
  const auto most = static_cast<std::size_t>(store_.max_writes_per_txn());
  while (!queue_.empty() && batch.size() < most) {
    const std::size_t needs =
        queue_.back().key.size() * 2 + dump_json(queue_.back().data).size() + kFrameBytes;
    if (!batch.empty() && bytes + needs > batch_bytes_) break;
    bytes += needs;
    batch.push_back(std::move(queue_.back()));
    queue_.pop_back();
  }
  return batch;
}

void RecordWriter::next() {
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
  send(batch, transaction.body());
}

void RecordWriter::send(const std::vector<RecordWrite>& batch, const std::string& body) {
  store_.commit_body(RequestPriority::kLaunch, body, static_cast<int>(batch.size()),
                     [this, batch, body](const StateReply& reply) {
                       if (reply.ok()) {
                         settle(batch, reply.revision());
                       } else if (reply.outcome == Outcome::kRefused || reply.outcome == Outcome::kUnknown) {
                         env_.after(kRetrySeconds, [this, batch, body] { send(batch, body); });
                       } else {
                         look_for(batch, body);
                       }
                     });
}

// Refused: a copy that went unanswered was carried out before, or the leader has been deposed.
void RecordWriter::look_for(const std::vector<RecordWrite>& batch, const std::string& body) {
  store_.get(RequestPriority::kLaunch, key_space_.stored_key(batch.front().key),
             [this, batch, body](const StateReply& reply) {
               if (reply.ok()) {
                 settle(batch, stored_revision(reply));
               } else if (reply.outcome == Outcome::kMissing) {
                 handler_(false);
               } else {
                 env_.after(kRetrySeconds, [this, batch, body] { look_for(batch, body); });
               }
             });
}

void RecordWriter::settle(const std::vector<RecordWrite>& batch, std::uint64_t revision) {
  written_ += batch.size();
  for (const RecordWrite& record : batch) {
    if (record.key.rfind(keys::kJobRecords, 0) == 0)
      job_revisions_[record.key] = key_space_.to_logical_revision(revision);
  }
  next();
}

}  // namespace mothslip::recovery
