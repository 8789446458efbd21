#pragma once

#include "http/http_client.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace fulmarworks {

enum class log_status { ok, trimmed, unknown };

struct log_page {
    log_status status = log_status::unknown;
    std::uint64_t first_offset = 0;
    std::uint64_t tail = 0;
    std::vector<std::string> records;
};

/** A snapshot found on the log service, or none. */
struct stored_snapshot {
    /** Whether the service answered. */
    bool answered = false;
    std::string text;
};

/**
 * Adapter of the platform's log service; docs/PLATFORM.md specifies the calls.
 *
 * Not thread safe; runs on the loop's thread. The client must outlive it.
 */
class log_client {
public:
    /** Precondition: `stream` is the stream of decisions; snapshots go to `stream`-snapshots. */
    log_client(http_client& client, std::string address, std::string stream);

    /** Reads records from an offset on, waiting up to `wait_ms` for the first one. */
    void read(std::uint64_t from, time_ms wait_ms, std::function<void(const log_page&)> done);

    /** Appends records in order. Status unknown: they may or may not have been appended. */
    void append(std::span<const std::string> records, time_ms timeout_ms,
                std::function<void(log_status)> done);

    /** Finds the newest complete snapshot. */
    void load_snapshot(std::function<void(const stored_snapshot&)> done);

    /** Writes a snapshot in chunks; it counts only once all of them are there. */
    void write_snapshot(std::uint64_t next_offset, std::string_view text,
                        std::function<void(bool succeeded)> done);

private:
    struct snapshot_search;
    struct snapshot_upload;

    void read_stream(const std::string& stream, std::uint64_t from, time_ms wait_ms,
                     std::function<void(const log_page&)> done);
    void append_to(const std::string& stream, std::span<const std::string> records,
                   time_ms timeout_ms, std::function<void(log_status)> done);
    void continue_search(std::shared_ptr<snapshot_search> search);
    void continue_upload(std::shared_ptr<snapshot_upload> upload);

    http_client& client_;
    std::string address_;
    std::string stream_;
};

} // namespace fulmarworks
