#pragma once

#include "base/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks {

/** One record of the snapshot stream. The snapshot is complete when all chunks are there. */
struct snapshot_chunk {
    std::string id;
    std::uint64_t next_offset = 0;
    int index = 0;
    int count = 0;
    std::string data;
};

FULMARWORKS_JSON(snapshot_chunk, id, next_offset, index, count, data)

/** Cuts a snapshot into records; its id is its digest. */
[[nodiscard]] std::vector<std::string> cut_snapshot(std::uint64_t next_offset,
                                                    std::string_view text);

/** Puts chunks together and keeps the newest complete snapshot. */
class snapshot_assembler {
public:
    /** Takes one record; one that is no chunk is passed over. */
    void add(std::string_view record);

    /** Returns the text of the newest complete snapshot; empty if there is none. */
    [[nodiscard]] const std::string& newest() const { return newest_; }

private:
    void complete(const snapshot_chunk& last);

    std::map<std::string, std::vector<std::string>> parts_;
    std::string newest_;
    std::uint64_t newest_offset_ = 0;
};

} // namespace fulmarworks
