// Reads what the state service still holds, as evidence.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/state/state_client.hpp"
#include "recovery/evidence.hpp"

namespace mothslip::recovery {

struct SurvivingRecords {
  Evidence evidence;           // what was known before, and what the records add
  TaskSet endings;             // numbers of the jobs whose ending is held
  std::uint64_t revision = 0;  // newest one that the state service answered with
};

// `incarnation`: of the records that are read. `known`: what other sources say; records of jobs that are over
// matter only where one of those, or another record, takes the job for open. The handler gets nothing where
// the service could not be read; it may be asked again.
using SurvivingRecordsHandler = std::function<void(std::optional<SurvivingRecords>)>;
void read_surviving_records(StateClient& store, const Incarnation& incarnation, Evidence known_evidence,
                            SurvivingRecordsHandler handler);

}  // namespace mothslip::recovery
