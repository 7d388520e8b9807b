// Reads the records that the state service still holds and converts them to evidence.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/state/state_client.hpp"
#include "recovery/evidence.hpp"

namespace mothslip::recovery {

struct SurvivingRecords {
  Evidence evidence;           // the evidence passed in, merged with that from the records
  TaskSet endings;             // numbers of the jobs whose ending is stored
  std::uint64_t revision = 0;  // highest revision that the state service returned
};

// Reads the records of `incarnation`. `known_evidence` is the evidence from other sources. The ending and the
// progress of a job are added only if the job occurs in that evidence or in another record. The handler gets
// nullopt if the state service could not be read; the caller may then try again.
using SurvivingRecordsHandler = std::function<void(std::optional<SurvivingRecords>)>;
void read_surviving_records(StateClient& store, const Incarnation& incarnation, Evidence known_evidence,
                            SurvivingRecordsHandler handler);

}  // namespace mothslip::recovery
