// How long a controller that has just begun cannot know whether the records it reads are recent.
//
// It remembers nothing that could contradict the state service. Workers with fencing tokens and tasks may,
// and controllers that have been serving do; until it has heard them for long enough, it is in doubt.
#pragma once

#include <algorithm>

#include "protocol/settings.hpp"

namespace mothslip::recovery {

// So long a controller that began when no other served may be proved wrong, in seconds.
inline constexpr double kStaleRiskSeconds = 60.0;

// So long a controller that begins listens to workers first, where no controller serves, in seconds: the
// state service has lost nothing unless workers show otherwise within that.
[[nodiscard]] inline double report_wait_s(const Settings& settings) {
  constexpr double kReportPeriods = 2.0;
  constexpr double kMinWaitSeconds = 2.0;
  return std::max(kMinWaitSeconds, kReportPeriods * settings.report_s);
}

// So long a node that is in doubt for `doubt_s` more decides nothing; 0 or less: it decides at once.
[[nodiscard]] inline double hold_back_s(const Settings& settings, double stale_risk_s) {
  return stale_risk_s - (kStaleRiskSeconds - report_wait_s(settings));
}

}  // namespace mothslip::recovery
