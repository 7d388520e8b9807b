// A cancellation is told to users only once it is durable and every part that may hold tasks of the job has
// taken note: a borrower that the state service refuses would otherwise go on renewing the leases of machines
// that run cancelled tasks, and so it did, through an outage longer than cancel_s.
//
// Taken note has a borrower whose owner has answered our message while its lease was valid, or whose key
// showed that very owner, or no owner, or a later one, after the cancellation: who owns the part later loads
// its records later. One that shrank, completed or deleted its block, or wrote the cancellation into it, has
// shown it too. (Owners that were deposed before are bounded by Ownership::may_renew.)
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/part.hpp"

namespace mothslip {

namespace {
constexpr double kPressEvery = 0.25;
// Machines that can be reached have stopped the tasks by then; the others do so within their leases.
constexpr double kStopPatience = 1.2;
constexpr double kWriteNote = 3.0;  // a home that has not asked by then may not reach us
}  // namespace

// Its tasks are gone, as far as can be waited for: a launch on its way has arrived and is stopped.
bool Part::stopped(const Job& job) const {
  return job.placed == 0 || ctx_.env->now() - job.aborted_at >= kStopPatience;
}

// At home: it is durable now, or was when we loaded it.
void Part::cancelled(const JobPtr& job) {
  job->aborted_at = ctx_.env->now();
  for (const auto& [key, lent] : job->lent) {
    if (!lent.complete()) job->unaware.insert(keys::block_part(key));
  }
  stop_directly(job);
  press_cancels();
}

// Looks at every cancellation that is not confirmed yet.
void Part::press_cancels() {
  bool left = false;
  for (const auto& [ref, job] : jobs_) {
    if (job->borrowed() || !job->head.aborted || job->confirmed) continue;
    for (auto it = job->unaware.begin(); it != job->unaware.end();) {
      const int part = *it;
      const bool holds = std::any_of(job->lent.begin(), job->lent.end(), [part](const auto& item) {
        return keys::block_part(item.first) == part && !item.second.complete() && !item.second.noted;
      });
      if (!holds || ctx_.owner_since(part) > job->job_revision) {
        it = job->unaware.erase(it);
        continue;
      }
      if (job->asking.insert(part).second) ask_borrower(job, part);
      ++it;
    }
    if (job->unaware.empty() && stopped(*job)) {
      confirm(job);
    } else {
      left = true;
    }
  }
  if (!left || pressing_cancels_) return;
  pressing_cancels_ = true;
  ctx_.env->after(kPressEvery, alive([this] {
                    pressing_cancels_ = false;
                    press_cancels();
                  }));
}

void Part::ask_borrower(const JobPtr& job, int part) {
  ctx_.ask(part, "/peer/called_off", {{"ref", job->spec().ref}}, alive([this, job, part](const Json& answer) {
             const bool noted = answer.is_object() && answer.value("noted", false);
             if (noted && answer.value("valid", false)) {
               job->asking.erase(part);
               job->unaware.erase(part);
               press_cancels();
             } else if (answer.is_object() && answer.contains("noted") && !noted) {
               job->asking.erase(part);  // it knows, and its machines are still stopping
             } else {
               look_for_owner(job, part, noted ? answer.value("baton", std::uint64_t{0}) : 0);
             }
           }));
}

// `noted`: the token of the owner that has taken note, but whose lease may be over.
void Part::look_for_owner(const JobPtr& job, int part, std::uint64_t noted) {
  ctx_.state->get(Lane::kCancel, keys::part(part), alive([this, job, part, noted](const StateReply& reply) {
                    job->asking.erase(part);
                    const auto found = reply.ok() ? reply.body.value("stamp", std::uint64_t{0}) : 0;
                    const bool knows =
                        reply.outcome == Outcome::kMissing ||
                        (reply.ok() && (found > job->job_revision || (noted != 0 && found == noted)));
                    if (!knows) return;
                    job->unaware.erase(part);
                    press_cancels();
                  }));
}

void Part::confirm(const JobPtr& job) {
  if (job->confirmed) return;
  job->confirmed = true;
  const std::string& ref = job->spec().ref;
  spdlog::info("{}: cancellation confirmed", ref);
  for (const Job::CancelWaiter& waiter : job->cancel_waiters) {
    waiter.responder.send(200, cancellation_body(ref, JobPhase::kCancelled));
  }
  job->cancel_waiters.clear();
  ctx_.ended(ref, {JobPhase::kCancelled, 0, 0});
}

// Borrower: the home's owner says that a job is cancelled.
Json Part::on_called_off(const Json& body) {
  const std::string prefix = keys::blocks(id_, body.value("ref", ""));
  bool noted = true;
  for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    drop_borrowed(it->second);
    noted = noted && stopped(*it->second);
    it->second->acknowledged = true;
  }
  pump();
  return {{"noted", noted}, {"valid", ctx_.exclusive_owner()}, {"baton", fencing_token_}};
}

// Borrower: where the home does not reach us, it reads that we know. (A block without tasks on machines is
// deleted instead.)
bool Part::note_cancels() {
  Transaction txn = guarded();
  std::vector<JobPtr> noted;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (const auto& [key, job] : jobs_) {
    if (!job->borrowed() || !job->head.aborted || job->acknowledged || job->note_written || job->cleaning ||
        job->progress_inflight || job->placed == 0 || ctx_.env->now() - job->aborted_at < kWriteNote) {
      continue;
    }
    if (txn.then.size() + 1 > most) break;
    Json record = block_record(*job).to_json();
    if (static_cast<double>(dump_json(record).size()) > value_bytes_) continue;  // it is only asked for then
    txn.guard(key, job->delegation_revision);
    txn.put(key, std::move(record));
    job->note_written = job->progress_inflight = true;
    noted.push_back(job);
  }
  if (noted.empty()) return false;
  send_commit(Lane::kRest, kRestSlot, txn, [noted](std::uint64_t revision) {
    for (const JobPtr& job : noted) {
      job->progress_inflight = false;
      job->delegation_revision = revision;
    }
  });
  return true;
}

}  // namespace mothslip
