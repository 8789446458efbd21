#pragma once

#include "base/error.h"
#include "scheduler/job.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fulmarworks::scheduler {

/** Encodes an accepted submission for the store (MessagePack). Thread safe. */
[[nodiscard]] std::string encode_job_spec(const job_spec& spec);

/** Decodes the output of `encode_job_spec`; malformed data is an error. Thread safe. */
[[nodiscard]] result<job_spec> decode_job_spec(std::string_view data);

/** Size above which progress is stored without checkpoints: less than the store takes in a record.
 */
inline constexpr std::size_t max_progress_bytes = 250'000;

/**
 * Encodes the progress of a job for the store (MessagePack). Leaves out the checkpoints if the
 * result would be too large for a record; after a change of leader, runs of such a job that have to
 * be repeated begin anew. Thread safe.
 */
[[nodiscard]] std::string encode_progress(const job& j);

/** Restores the output of `encode_progress` into a job that has only its spec. Thread safe. */
[[nodiscard]] result<void> decode_progress(std::string_view data, job& j);

} // namespace fulmarworks::scheduler
