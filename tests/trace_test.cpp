// Replays recorded traces: messages to one controller and the decisions expected from it.
// tests/traces/README.md describes the format.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "sim/world.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

Options one_node() {
  Options out;
  out.nodes = 1;
  out.shard_count = 3;
  out.message_loss_share = 0;
  return out;
}

class TracePlayer {
 public:
  TracePlayer() : world_(one_node()) {
    set_up_log();
    world_.network.on_unknown_destination = [this](const HttpCall& call) {
      const Json body = parse_json(call.body);
      output_.push_back("~ " + call.destination.substr(0, call.destination.find(':')) + " " +
                        format_orders(body));
    };
    world_.run_until(5);
    world_.cloud.outage = true;  // the trace supplies its own machines
  }

  // Plays one line of the trace and returns the answers and commands of the controller.
  std::vector<std::string> play(const std::string& line) {
    output_.clear();
    std::istringstream in(line);
    std::string verb;
    in >> verb;
    if (verb == "hello") {
      hello(in);
    } else if (verb == "submit") {
      submit(in);
    } else if (verb == "poll" || verb == "cancel") {
      std::string ref;
      in >> ref;
      const bool poll = verb == "poll";
      const HttpReply reply =
          ask(poll ? "GET" : "POST", "/v2/runs/" + ref + (poll ? "" : "/cancel"), poll ? "" : "{}");
      const Json body = parse_json(reply.body);
      output_.push_back("= " + std::to_string(reply.status) + " " +
                        (body.is_object() ? body.value("phase", body.value("error", "")) : ""));
    } else if (verb == "wait") {
      double seconds = 0;
      in >> seconds;
      world_.run_until(world_.now + seconds);
    } else if (verb == "state") {
      std::string what;
      in >> what;
      if (what == "out") world_.state.set_outage(true);
      if (what == "back") world_.state.set_outage(false);
      if (what == "loses-answer") world_.network.commit_answers_to_drop = 1;
    } else if (verb == "restart") {
      world_.nodes.crash(0, 0.2);
      world_.run_until(world_.now + 1.5);
    } else {
      ADD_FAILURE() << "the trace has an unknown verb: " << line;
    }
    return output_;
  }

 private:
  HttpReply ask(const std::string& method, const std::string& path, const std::string& body) {
    HttpReply out;
    bool is_complete = false;
    world_.network.send("user", {"10.0.0.1:8080", method, path, body, 5}, [&](HttpReply reply) {
      out = std::move(reply);
      is_complete = true;
    });
    while (!is_complete) world_.run_until(world_.now + 0.01);
    return out;
  }

  // hello HOST FLAVOUR HALL tenure=N tick=N baton=B [REF/I:T:PHASE[:CAUSE]]...
  void hello(std::istringstream& in) {
    std::string machine_name;
    std::string machine_type;
    std::string zone;
    std::string word;
    in >> machine_name >> machine_type >> zone;
    Json report = {{"host", machine_name},    {"address", machine_name + ":9000"},
                   {"flavour", machine_type}, {"hall", zone},
                   {"loaner", false},         {"warning_s", nullptr},
                   {"pieces", Json::array()}};
    while (in >> word) {
      const auto eq = word.find('=');
      if (eq != std::string::npos) {
        const std::string value = word.substr(eq + 1);
        report[word.substr(0, eq)] = value[0] == 'B' ? fencing_tokens_.at(value) : std::stoull(value);
        continue;
      }
      std::istringstream fields(word);
      std::string task;
      std::string attempt;
      std::string phase;
      std::string cause;
      std::getline(fields, task, ':');
      std::getline(fields, attempt, ':');
      std::getline(fields, phase, ':');
      Json item = {{"piece", task}, {"try_no", attempts_.at(attempt)}, {"phase", phase}};
      if (std::getline(fields, cause, ':')) item["exit_cause"] = cause;
      report["pieces"].push_back(item);
    }
    const HttpReply reply = ask("POST", "/hello", report.dump());
    output_.push_back("= " + std::to_string(reply.status) + " " + format_orders(parse_json(reply.body)));
  }

  // submit REF pieces=N cores=N owner=TEAM [field=value]...
  void submit(std::istringstream& in) {
    std::string ref;
    std::string word;
    in >> ref;
    Json body = {{"ref", ref},
                 {"workload", "w"},
                 {"owner", "red"},
                 {"shape", "array"},
                 {"urgency", "normal"},
                 {"pieces", 1},
                 {"cores", 1.0},
                 {"accelerators", 0.0},
                 {"memory_gb", 1.0},
                 {"bundle", "img-1"},
                 {"pull_gb", 1.0},
                 {"together", false},
                 {"scatter", false},
                 {"loaner", true},
                 {"guess_s", 20.0},
                 {"snapshot_every_s", 0.0},
                 {"snapshot_cost_s", 0.0}};
    while (in >> word) {
      const auto eq = word.find('=');
      const std::string value = word.substr(eq + 1);
      const Json parsed = parse_json(value);
      body[word.substr(0, eq)] = parsed.is_discarded() ? Json(value) : parsed;
    }
    const HttpReply reply = ask("POST", "/v2/runs", body.dump());
    const Json answer = parse_json(reply.body);
    output_.push_back("= " + std::to_string(reply.status) + " " +
                      (answer.is_object() ? answer.value("phase", answer.value("error", "")) : ""));
  }

  std::string format_orders(const Json& body) {
    if (!body.is_object() || !body.contains("baton")) return body.is_object() ? body.value("error", "") : "";
    std::string out = alias(fencing_tokens_, "B", body["baton"].get<std::uint64_t>());
    for (const Json& order : body["orders"]) {
      out += " " + order["verb"].get<std::string>() + " " + order["piece"].get<std::string>() + ":" +
             alias(attempts_, "T", order["try_no"].get<std::uint64_t>());
    }
    return out;
  }

  // Returns the alias of a token or an attempt. Aliases are numbered in the order of first appearance.
  static std::string alias(std::map<std::string, std::uint64_t>& names, const char* letter,
                           std::uint64_t value) {
    for (const auto& [name, existing] : names) {
      if (existing == value) return name;
    }
    std::string name = letter + std::to_string(names.size() + 1);
    names.emplace(name, value);
    return name;
  }

  World world_;
  std::map<std::string, std::uint64_t> fencing_tokens_;
  std::map<std::string, std::uint64_t> attempts_;
  std::vector<std::string> output_;
};

std::vector<std::string> trace_files() {
  std::vector<std::string> out;
  for (const auto& entry : std::filesystem::directory_iterator(TRACES_DIR)) {
    if (entry.path().extension() == ".trace") out.push_back(entry.path().stem().string());
  }
  std::sort(out.begin(), out.end());
  return out;
}

class Trace : public ::testing::TestWithParam<std::string> {};

}  // namespace

TEST_P(Trace, ProducesTheRecordedDecisions) {
  std::ifstream file(std::string(TRACES_DIR) + "/" + GetParam() + ".trace");
  TracePlayer player;
  std::string line;
  std::string step;
  std::vector<std::string> expected;
  int line_number = 0;
  int step_line = 0;
  int checked = 0;
  const auto finish = [&] {
    if (step.empty()) return;
    EXPECT_EQ(player.play(step), expected) << GetParam() << ".trace:" << step_line << ": " << step;
    checked += static_cast<int>(expected.size());
    expected.clear();
  };
  while (std::getline(file, line)) {
    line_number++;
    if (line.empty() || line[0] == '#') continue;
    if (line[0] == '=' || line[0] == '~') {
      expected.push_back(line);
      continue;
    }
    finish();
    step = line;
    step_line = line_number;
  }
  finish();
  EXPECT_GT(checked, 0);
}

INSTANTIATE_TEST_SUITE_P(Recorded, Trace, ::testing::ValuesIn(trace_files()),
                         [](const auto& test) { return test.param; });
