// Includes all modules that parse, validate and write the messages of users, workers and the cloud. Only
// these modules contain the names on the wire; the rest of the program uses the usual terms of schedulers.
#pragma once

#include "protocol/job_spec.hpp"
#include "protocol/json.hpp"
#include "protocol/machine_types.hpp"
#include "protocol/names.hpp"
#include "protocol/settings.hpp"
#include "protocol/worker_messages.hpp"
