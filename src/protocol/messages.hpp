// All messages of users, workers and the cloud: how they are parsed, validated and written. Their wire names
// stand in these modules alone; the rest of the program goes by the terms of the field.
#pragma once

#include "protocol/job_spec.hpp"
#include "protocol/json.hpp"
#include "protocol/machine_types.hpp"
#include "protocol/names.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"
