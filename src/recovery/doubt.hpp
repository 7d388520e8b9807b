// How long a controller that has just started cannot know whether the records it reads are recent.
//
// A new process has no memory that could contradict the state service. Workers may, through their fencing
// tokens and tasks, and controllers that have been serving do. Until the new process has received their
// messages for long enough, the records that it read may prove to be stale.
#pragma once

#include <algorithm>

#include "protocol/settings.hpp"

namespace mothslip::recovery {

// If no other controller was serving when a controller started, the records that it reads may prove to be
// stale for this long.
inline constexpr double kStaleRiskSeconds = 60.0;

// How long a starting controller waits for reports of workers if no other controller serves. If no report
// contradicts the state service within this time, the controller assumes that nothing was lost.
[[nodiscard]] inline double report_wait_s(const Settings& settings) {
  constexpr double kReportPeriods = 2.0;
  constexpr double kMinWaitSeconds = 2.0;
  return std::max(kMinWaitSeconds, kReportPeriods * settings.report_s);
}

// How long a node whose records may prove stale for another `stale_risk_s` makes no decisions. A result of 0
// or less means that it makes decisions at once.
[[nodiscard]] inline double decision_suspension_s(const Settings& settings, double stale_risk_s) {
  return stale_risk_s - (kStaleRiskSeconds - report_wait_s(settings));
}

}  // namespace mothslip::recovery
