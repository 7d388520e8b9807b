// Paths of the client address: what users and workers call. (Those between controllers:
// coordination/node/peer_messages.hpp.)
#pragma once

#include <string>

namespace mothslip::paths {

inline constexpr const char* kReport = "/hello";         // POST, workers: a Report
inline constexpr const char* kReady = "/ready";          // GET, health checks
inline constexpr const char* kJobs = "/v2/runs";         // POST, users: submits a job
inline constexpr const char* kCancelSuffix = "/cancel";  // POST, after the path of a job

// GET, users: polls the job.
inline std::string job(const std::string& ref) { return std::string(kJobs) + "/" + ref; }
// POST, users: cancels the job.
inline std::string cancel(const std::string& ref) { return job(ref) + kCancelSuffix; }

}  // namespace mothslip::paths
