#include "snapshot_chunks.h"

#include "base/digest.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr std::size_t chunk_bytes = 32 * 1024;
constexpr int max_chunks = 1 << 16;

} // namespace

std::vector<std::string> split_snapshot(std::uint64_t next_offset, std::string_view text) {
    const std::string id = digest(text);
    const auto count = static_cast<int>((text.size() + chunk_bytes - 1) / chunk_bytes);
    std::vector<std::string> records;
    for (int i = 0; i < count; ++i) {
        const std::string data(text.substr(static_cast<std::size_t>(i) * chunk_bytes, chunk_bytes));
        records.push_back(json(snapshot_chunk{id, next_offset, i, count, data}).dump());
    }
    return records;
}

void snapshot_assembler::add(std::string_view record) {
    const auto parsed = parse_json(record);
    if (!parsed) {
        return;
    }
    auto decoded = decode_json<snapshot_chunk>(parsed.value());
    if (!decoded) {
        return;
    }
    snapshot_chunk& chunk = decoded.value();
    if (chunk.count < 1 || chunk.count > max_chunks || chunk.index < 0 ||
        chunk.index >= chunk.count) {
        return;
    }
    auto& parts = parts_[chunk.id];
    parts.resize(chunk.count);
    parts[chunk.index] = std::move(chunk.data);
    const bool is_complete =
        std::none_of(parts.begin(), parts.end(), [](const auto& p) { return p.empty(); });
    if (is_complete) {
        finish_snapshot(chunk);
    }
}

void snapshot_assembler::finish_snapshot(const snapshot_chunk& last) {
    std::string text;
    for (const auto& part : parts_[last.id]) {
        text += part;
    }
    parts_.erase(last.id);
    if (digest(text) == last.id && last.next_offset >= newest_offset_) {
        newest_ = std::move(text);
        newest_offset_ = last.next_offset;
    }
}

} // namespace fulmarworks
