// mothslipctl, the operators' program.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "client/operator_client.hpp"
#include "client/tables.hpp"

namespace {

using mothslip::client::CallOutcome;
using mothslip::client::CallResult;
using mothslip::client::OperatorClient;

enum ExitCode { kDone = 0, kRefused = 1, kUsage = 2, kUnreachable = 3, kUnavailable = 4 };

int fail(const CallResult& result) {
  std::cerr << "mothslipctl: " << result.error() << '\n';
  switch (result.outcome) {
    case CallOutcome::kAnswered:
      return kDone;
    case CallOutcome::kRefused:
      return kRefused;
    case CallOutcome::kUnavailable:
      return kUnavailable;
    case CallOutcome::kUnreachable:
      return kUnreachable;
  }
  return kUnreachable;
}

using Render = std::string (*)(const mothslip::Json&);

int show(const CallResult& result, bool json, Render render) {
  if (!result.ok()) return fail(result);
  if (json) {
    std::cout << result.body.dump(2) << '\n';
  } else {
    std::cout << render(result.body);
  }
  return kDone;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"mothslipctl, for those who operate a mothslip cluster"};
  app.set_version_flag("--version", "mothslipctl " MOTHSLIP_VERSION);
  app.require_subcommand(1);
  std::vector<std::string> controllers;
  double timeout_s = 30;
  bool json = false;
  app.add_option("--at", controllers,
                 "a controller's address for other controllers; may be given several times")
      ->required();
  app.add_option("--timeout", timeout_s, "seconds after which to give up")->check(CLI::PositiveNumber);
  app.add_flag("--json", json, "print what the controller answers as JSON");
  CLI::App* recovery = app.add_subcommand("recovery", "lost state and its rebuilding");
  recovery->require_subcommand(1);
  CLI::App* status =
      recovery->add_subcommand("status", "whether records are being rebuilt, and how far that is");
  CLI::App* unaccounted = recovery->add_subcommand("unaccounted", "jobs that could not be accounted for");
  CLI::App* resolve = recovery->add_subcommand("resolve", "decide about such a job");
  std::string job;
  std::string decision;
  resolve->add_option("job", job, "the job's id")->required();
  resolve->add_option("--as", decision, "done, rerun or cancelled")
      ->required()
      ->check(CLI::IsMember({"done", "rerun", "cancelled"}));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  mothslip::EventEnv env;
  OperatorClient client(env, controllers, timeout_s);
  if (status->parsed()) return show(client.status(), json, mothslip::client::status_text);
  if (unaccounted->parsed()) return show(client.unaccounted(), json, mothslip::client::unaccounted_table);
  if (!resolve->parsed()) return kUsage;
  const CallResult result = client.resolve(job, decision);
  if (!result.ok()) return fail(result);
  std::cout << job << ": " << decision << '\n';
  return kDone;
}
