#pragma once

#include "base/error.h"
#include "scheduler/job.h"

#include <string>
#include <string_view>

namespace fulmarworks::scheduler {

/** Encodes an accepted submission for the store (MessagePack). Thread safe. */
[[nodiscard]] std::string encode_job_spec(const job_spec& spec);

/** Decodes the output of `encode_job_spec`; malformed data is an error. Thread safe. */
[[nodiscard]] result<job_spec> decode_job_spec(std::string_view data);

/** Encodes the progress of a job for the store (MessagePack). Thread safe. */
[[nodiscard]] std::string encode_progress(const job& j);

/** Restores the output of `encode_progress` into a job that has only its spec. Thread safe. */
[[nodiscard]] result<void> decode_progress(std::string_view data, job& j);

} // namespace fulmarworks::scheduler
