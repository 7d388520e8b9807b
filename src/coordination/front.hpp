// The users' door on every node: submissions, questions and cancellations.
//
// Any node accepts a job by creating its head; questions and cancellations belong to the owner of the job's
// part and are forwarded to it. Ended jobs are answered by anyone who knows, for good.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "coordination/ownership.hpp"
#include "coordination/part.hpp"
#include "transport/http.hpp"

namespace mothslip {

class Front {
 public:
  struct Context {
    Env* env = nullptr;
    StateClient* state = nullptr;
    const Settings* settings = nullptr;
    const MachineTypes* types = nullptr;
    const Ownership* ownership = nullptr;
    std::function<Part*(int part)> part;  // ours and active, or null
    std::function<std::string(const std::string& node)> peer_address;
  };
  explicit Front(Context context) : ctx_(std::move(context)) {}

  void submit(const std::string& body, Responder responder);
  void show(const std::string& ref, bool forwarded, Responder responder);
  void cancel(const std::string& ref, bool forwarded, Responder responder);
  void note_ended(const std::string& ref, const char* phase, int pieces);

 private:
  struct Ended {
    std::string phase;
    int pieces = 0;
  };
  enum class Known { kOpen, kEnded, kUnknown, kUnsure };
  void look_up(const std::string& ref, std::function<void(Known)> handler);
  void show_from_state(const std::string& ref, Responder responder);
  void refuse(const std::string& ref, int status, const std::string& why, Responder responder);
  [[nodiscard]] std::string ended_body(const std::string& ref) const;
  void relay_ended(const std::string& ref, const std::string& body);
  [[nodiscard]] Part* sure_part(const std::string& ref) const;

  Context ctx_;
  std::unordered_map<std::string, Ended> ended_;
  std::deque<std::string> ended_age_;
};

}  // namespace mothslip
