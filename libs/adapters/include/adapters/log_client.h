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

/** Result of a search for a snapshot; `text` is empty if there is none. */
struct stored_snapshot {
    /** Whether the service answered. */
    bool answered = false;
    std::string text;
};

/**
 * HTTP client of the platform's log service; docs/PLATFORM.md specifies the calls.
 *
 * Not thread safe; runs on the event loop's thread. The `http_client` must outlive it.
 */
class log_client {
public:
    /** `stream` is the stream of decisions; snapshots are stored in `stream`-snapshots. */
    log_client(http_client& client, std::string address, std::string stream);

    /** Reads records starting at offset `from`; waits up to `wait_ms` for the first one. */
    void read(std::uint64_t from, time_ms wait_ms, std::function<void(const log_page&)> done);

    /** Appends records in order. With status `unknown` they may or may not have been appended. */
    void append(std::span<const std::string> records, time_ms timeout_ms,
                std::function<void(log_status)> done);

    /** Loads the newest complete snapshot. */
    void load_snapshot(std::function<void(const stored_snapshot&)> done);

    /** Writes a snapshot in chunks. Readers ignore it until all chunks are written. */
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
