#include "coordination/fleet/cloud_client.hpp"

#include <algorithm>

namespace mothslip {

namespace {
constexpr double kCallSeconds = 4.0;  // timeout of a call
}

CloudClient::CloudClient(Env& env, const Settings& settings)
    : env_(env),
      address_(settings.cloud),
      rps_(settings.cloud_rps),
      calls_(settings.cloud_rps / 4, std::max(1.0, settings.cloud_rps / 4), env.now()) {}

void CloudClient::set_share(double share) {
  calls_.set_rate(rps_ * share, std::max(1.0, 2 * rps_ * share), env_.now());
}

bool CloudClient::ready(double reserve) { return calls_.can_take(1, reserve, env_.now()); }

void CloudClient::send(const char* method, std::string path, std::string body, CloudHandler handler) {
  calls_.take(1, env_.now());
  env_.call({address_, method, std::move(path), std::move(body), kCallSeconds},
            [this, handler = std::move(handler)](const HttpReply& reply) {
              if (reply.status == 429) calls_.drain(env_.now());
              CloudReply out;
              out.status = reply.status;
              if (!reply.body.empty()) out.body = parse_json(reply.body);
              handler(std::move(out));
            });
}

void CloudClient::machine_types(CloudHandler handler) {
  send("GET", "/machine_types", "", std::move(handler));
}

void CloudClient::rent(const RentalRequest& request, CloudHandler handler) {
  send("POST", "/hosts", dump_json(request.to_json()), std::move(handler));
}

void CloudClient::give_back(const std::vector<std::string>& machine_names, CloudHandler handler) {
  send("POST", "/hosts/return", dump_json({{"hosts", machine_names}}), std::move(handler));
}

void CloudClient::list(const std::string& from, CloudHandler handler) {
  std::string path = "/hosts?most=500";
  if (!from.empty()) path += "&from=" + from;
  send("GET", std::move(path), "", std::move(handler));
}

}  // namespace mothslip
