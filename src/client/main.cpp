// mothslipctl, the command-line program for operators: it reads the command line, calls the controllers and
// prints their answer. The exit codes are in exit_code.hpp.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "client/exit_code.hpp"
#include "client/operator_client.hpp"
#include "client/tables.hpp"

namespace {

using mothslip::Json;
using mothslip::client::CallOutcome;
using mothslip::client::CallResult;
using mothslip::client::ExitCode;
using mothslip::client::OperatorClient;
using mothslip::recovery::ControllerStatus;
using mothslip::recovery::UnaccountedList;

constexpr double kDefaultTimeoutSeconds = 30;

ExitCode exit_code_of(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kAnswered:
      return ExitCode::kSuccess;
    case CallOutcome::kRefused:
      return ExitCode::kRefused;
    case CallOutcome::kUnavailable:
      return ExitCode::kUnavailable;
    case CallOutcome::kUnreachable:
      return ExitCode::kUnreachable;
  }
  return ExitCode::kUnreachable;
}

ExitCode print_error(const CallResult& result) {
  std::cerr << "mothslipctl: " << result.error() << '\n';
  return exit_code_of(result.outcome);
}

// Formats the body of an answer as text for people.
using Render = std::string (*)(const Json&);

std::string render_status(const Json& body) {
  return mothslip::client::status_text(ControllerStatus::from_json(body));
}

std::string render_unaccounted(const Json& body) {
  return mothslip::client::unaccounted_table(UnaccountedList::from_json(body));
}

ExitCode print_result(const CallResult& result, bool json, Render render) {
  if (!result.ok()) return print_error(result);
  if (json) {
    std::cout << result.body.dump(2) << '\n';
  } else {
    std::cout << render(result.body);
  }
  return ExitCode::kSuccess;
}

ExitCode resolve_job(OperatorClient& client, const std::string& job, const std::string& decision) {
  const CallResult result = client.resolve(job, decision);
  if (!result.ok()) return print_error(result);
  std::cout << job << ": " << decision << '\n';
  return ExitCode::kSuccess;
}

// The parsed command line.
struct Command {
  std::vector<std::string> controllers;
  double timeout_s = kDefaultTimeoutSeconds;
  bool json = false;
  std::string job;       // of `resolve`
  std::string decision;  // of `resolve`
  // The subcommands; parsed() is true for the one that was given.
  CLI::App* status = nullptr;
  CLI::App* unaccounted = nullptr;
  CLI::App* resolve = nullptr;
};

// Declares the options and subcommands. `app` fills `command` when it parses, so `command` must outlive it.
void declare_options(CLI::App& app, Command& command) {
  app.set_version_flag("--version", "mothslipctl " MOTHSLIP_VERSION);
  app.require_subcommand(1);
  app.add_option("--at", command.controllers, "peer address of a controller; may be given several times")
      ->required();
  app.add_option("--timeout", command.timeout_s, "seconds after which a call gives up")
      ->check(CLI::PositiveNumber);
  app.add_flag("--json", command.json, "print the controller's answer as JSON");
  CLI::App* recovery = app.add_subcommand("recovery", "recovery from lost state");
  recovery->require_subcommand(1);
  command.status = recovery->add_subcommand(
      "status", "whether records are being rebuilt, and how far the rebuild has got");
  command.unaccounted = recovery->add_subcommand("unaccounted", "jobs that could not be accounted for");
  command.resolve = recovery->add_subcommand("resolve", "decide what happens to an unaccounted job");
  command.resolve->add_option("job", command.job, "the job's id")->required();
  command.resolve->add_option("--as", command.decision, "done, rerun or cancelled")
      ->required()
      ->check(CLI::IsMember({"done", "rerun", "cancelled"}));
}

ExitCode run(const Command& command) {
  mothslip::EventEnv env;
  OperatorClient client(env, command.controllers, command.timeout_s);
  if (command.status->parsed()) return print_result(client.status(), command.json, render_status);
  if (command.unaccounted->parsed())
    return print_result(client.unaccounted(), command.json, render_unaccounted);
  if (command.resolve->parsed()) return resolve_job(client, command.job, command.decision);
  return ExitCode::kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  Command command;
  CLI::App app{"mothslipctl, the command line for operators of a mothslip cluster"};
  declare_options(app, command);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const ExitCode code = app.exit(error) == 0 ? ExitCode::kSuccess : ExitCode::kUsage;
    return static_cast<int>(code);
  }
  // A write to a connection that a controller has closed must not kill this process.
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(run(command));
}
