// The controller program: it reads the settings and runs a recovery::Controller.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "protocol/settings.hpp"
#include "recovery/controller.hpp"
#include "transport/event_env.hpp"
#include "transport/http_server.hpp"

namespace {

// Exit codes of the process.
constexpr int kSuccessExitCode = 0;
constexpr int kFailureExitCode = 1;
constexpr int kBadSettingsExitCode = 2;  // also for an invalid command line

constexpr const char* kTuningFileName = "mothslip.ini";

struct CommandLine {
  std::string config;  // path of the settings file
  std::string tuning;  // operators' file; empty: kTuningFileName beside the settings file, if it exists
  bool check = false;  // only check the settings and exit
};

// Writes logs to standard error. The environment variable LOG_LEVEL sets the lowest level that is logged; the
// default is info.
void set_up_log() {
  auto logger = spdlog::stderr_logger_st("mothslip");
  logger->set_pattern("%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  logger->set_level(spdlog::level::from_str(level == nullptr ? "info" : level));
  spdlog::set_default_logger(std::move(logger));
}

void add_options(CLI::App& app, CommandLine& command_line) {
  app.add_option("--config", command_line.config, "settings file provided by the platform (TOML)")
      ->required();
  app.add_option("--tuning", command_line.tuning,
                 "operators' own settings (INI); by default mothslip.ini beside the settings file");
  app.add_flag("--check", command_line.check, "read the settings, print whether they are valid, and exit");
  app.set_version_flag("--version", "mothslip " MOTHSLIP_VERSION);
}

// The path of the operators' file; empty if there is none.
std::string tuning_path(const CommandLine& command_line) {
  if (!command_line.tuning.empty()) return command_line.tuning;
  const auto beside = std::filesystem::path(command_line.config).parent_path() / kTuningFileName;
  std::error_code ignored;
  return std::filesystem::exists(beside, ignored) ? beside.string() : "";
}

// Runs the controller until the process is killed. Throws std::exception if it cannot start.
void run(const mothslip::Settings& settings) {
  mothslip::EventEnv env;
  mothslip::recovery::Controller controller(env, settings);
  const mothslip::HttpServer client_listener(env.base(), settings.client_address,
                                             mothslip::Node::kMaxClientBodyBytes,
                                             mothslip::Node::max_client_connections(settings),
                                             [&controller](const auto& request, const auto& responder) {
                                               controller.on_client_request(request, responder);
                                             });
  const mothslip::HttpServer peer_listener(env.base(), settings.peer_address,
                                           mothslip::Node::kMaxPeerBodyBytes, 0,
                                           [&controller](const auto& request, const auto& responder) {
                                             controller.on_peer_request(request, responder);
                                           });
  spdlog::info("{}: controller starts, with client address {} and peer address {}", settings.node,
               settings.client_address, settings.peer_address);
  controller.start();
  env.run();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"mothslip, a cluster scheduler"};
  CommandLine command_line;
  add_options(app, command_line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kSuccessExitCode : kBadSettingsExitCode;
  }
  mothslip::Settings settings;
  try {
    settings = mothslip::load_settings(command_line.config, tuning_path(command_line));
  } catch (const mothslip::SettingsError& error) {
    std::cerr << error.what() << '\n';
    return kBadSettingsExitCode;
  }
  if (command_line.check) {
    std::cout << command_line.config << ": good\n";
    return kSuccessExitCode;
  }
  // A write to a connection that the other side has closed must not kill this process.
  std::signal(SIGPIPE, SIG_IGN);
  set_up_log();
  try {
    run(settings);
  } catch (const std::exception& error) {
    spdlog::critical("controller exits because of an error: {}", error.what());
    return kFailureExitCode;
  }
  return kSuccessExitCode;
}
