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

constexpr int kBadSettings = 2;

void set_up_log() {
  auto logger = spdlog::stderr_logger_st("mothslip");
  logger->set_pattern("%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  logger->set_level(spdlog::level::from_str(level == nullptr ? "info" : level));
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"mothslip, a cluster scheduler"};
  std::string config;
  std::string ini;
  bool check = false;
  app.add_option("--config", config, "settings file handed over by the platform (TOML)")->required();
  app.add_option("--tuning", ini,
                 "operators' own settings (INI); by default mothslip.ini beside the settings file");
  app.add_flag("--check", check, "read the settings, say whether they are good, and end");
  app.set_version_flag("--version", "mothslip " MOTHSLIP_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kBadSettings;
  }
  mothslip::Settings settings;
  try {
    if (ini.empty()) {
      const auto beside = std::filesystem::path(config).parent_path() / "mothslip.ini";
      std::error_code ignored;
      if (std::filesystem::exists(beside, ignored)) ini = beside.string();
    }
    settings = mothslip::load_settings(config, ini);
  } catch (const mothslip::SettingsError& error) {
    std::cerr << error.what() << '\n';
    return kBadSettings;
  }
  if (check) {
    std::cout << config << ": good\n";
    return 0;
  }
  // A peer that closed its end must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
  set_up_log();
  try {
    mothslip::EventEnv env;
    mothslip::recovery::Controller controller(env, settings);
    const mothslip::HttpServer front(env.base(), settings.client_address, mothslip::Node::kMaxClientBody,
                                     mothslip::Node::max_client_connections(settings),
                                     [&controller](const auto& request, const auto& responder) {
                                       controller.on_client_request(request, responder);
                                     });
    const mothslip::HttpServer back(env.base(), settings.peer_address, mothslip::Node::kMaxPeerBody, 0,
                                    [&controller](const auto& request, const auto& responder) {
                                      controller.on_peer_request(request, responder);
                                    });
    spdlog::info("{} starts: client address {}, peer address {}", settings.node, settings.client_address,
                 settings.peer_address);
    controller.start();
    env.run();
  } catch (const std::exception& error) {
    spdlog::critical("{}", error.what());
    return 1;
  }
  return 0;
}
