#include "coordination/fleet/cloud_client.hpp"

#include <algorithm>

namespace mothslip {

namespace {
constexpr double kCallTimeoutSeconds = 4.0;
}

CloudClient::CloudClient(Env& env, const Settings& settings)
    : env_(env),
      address_(settings.cloud),
      max_calls_per_second_(settings.cloud_rps),
      call_tokens_(settings.cloud_rps / 4, std::max(1.0, settings.cloud_rps / 4), env.now()) {}

void CloudClient::set_share(double share) {
  call_tokens_.set_rate(max_calls_per_second_ * share, std::max(1.0, 2 * max_calls_per_second_ * share),
                        env_.now());
}

bool CloudClient::can_call(double reserve) { return call_tokens_.can_take(1, reserve, env_.now()); }

void CloudClient::send(const char* method, std::string path, std::string body, CloudHandler handler) {
  call_tokens_.take(1, env_.now());
  env_.call({address_, method, std::move(path), std::move(body), kCallTimeoutSeconds},
            [this, handler = std::move(handler)](const HttpReply& reply) {
              if (reply.status == 429) call_tokens_.drain(env_.now());
              CloudReply out;
              out.status = reply.status;
              if (!reply.body.empty()) out.body = parse_json(reply.body);
              handler(std::move(out));
            });
}

void CloudClient::list_machine_types(CloudHandler handler) {
  send("GET", "/machine_types", "", std::move(handler));
}

void CloudClient::rent_machines(const RentalRequest& request, CloudHandler handler) {
  send("POST", "/hosts", dump_json(request.to_json()), std::move(handler));
}

void CloudClient::return_machines(const std::vector<std::string>& machine_names, CloudHandler handler) {
  send("POST", "/hosts/return", dump_json({{"hosts", machine_names}}), std::move(handler));
}

void CloudClient::list_machines(const std::string& after_machine, CloudHandler handler) {
  std::string path = "/hosts?most=500";
  if (!after_machine.empty()) path += "&from=" + after_machine;
  send("GET", std::move(path), "", std::move(handler));
}

}  // namespace mothslip
