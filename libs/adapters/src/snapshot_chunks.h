#pragma once

#include "base/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks {

/** One record of the snapshot stream. A snapshot is complete once all its chunks are present. */
struct snapshot_chunk {
    std::string id;
    std::uint64_t next_offset = 0;
    int index = 0;
    int count = 0;
    std::string data;
};

FULMARWORKS_JSON(snapshot_chunk, id, next_offset, index, count, data)

/** Splits a snapshot into records; the id of the snapshot is its digest. */
[[nodiscard]] std::vector<std::string> split_snapshot(std::uint64_t next_offset,
                                                      std::string_view text);

/** Assembles snapshots from chunks and keeps the newest complete one. */
class snapshot_assembler {
public:
    /** Adds one record; ignores it if it is not a valid chunk. */
    void add(std::string_view record);

    /** Returns the text of the newest complete snapshot; empty if there is none. */
    [[nodiscard]] const std::string& newest() const { return newest_; }

private:
    void finish_snapshot(const snapshot_chunk& last);

    std::map<std::string, std::vector<std::string>> parts_;
    std::string newest_;
    std::uint64_t newest_offset_ = 0;
};

} // namespace fulmarworks
