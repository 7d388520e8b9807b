// HTTP paths that users and workers call at the client address. coordination/node/peer_messages.hpp has the
// paths that controllers call.
#pragma once

#include <string>

namespace mothslip::paths {

inline constexpr const char* kReport = "/hello";         // POST, called by workers with a Report
inline constexpr const char* kReady = "/ready";          // GET, called by health checks
inline constexpr const char* kJobs = "/v2/runs";         // POST, called by users to submit a job
inline constexpr const char* kCancelSuffix = "/cancel";  // follows the path of a job

// GET, called by users to poll the job.
inline std::string job(const std::string& ref) { return std::string(kJobs) + "/" + ref; }
// POST, called by users to cancel the job.
inline std::string cancel(const std::string& ref) { return job(ref) + kCancelSuffix; }

}  // namespace mothslip::paths
