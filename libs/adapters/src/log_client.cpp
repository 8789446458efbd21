#include "adapters/log_client.h"

#include "base/json.h"
#include "snapshot_chunks.h"

namespace fulmarworks {

namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;
/** Added to the wait of a read for the timeout of the call. */
constexpr time_ms answer_margin_ms = 2000;
constexpr int records_per_read = 512;
constexpr std::size_t chunks_per_append = 16;
constexpr time_ms snapshot_append_timeout_ms = 5000;

log_page parse_page(const http_answer& answer) {
    log_page page;
    const auto parsed = parse_json(answer.body);
    if (!parsed || (answer.status != status_ok && answer.status != status_gone)) {
        return page;
    }
    const json& j = parsed.value();
    try {
        page.tail = j.at("tail").get<std::uint64_t>();
        page.first_offset = j.at("first_offset").get<std::uint64_t>();
        if (answer.status == status_ok) {
            page.records = j.at("records").get<std::vector<std::string>>();
        }
    } catch (const json::exception&) {
        return {};
    }
    page.status = answer.status == status_ok ? log_status::ok : log_status::trimmed;
    return page;
}

std::string stream_path(const std::string& stream) {
    return "/v1/streams/" + stream + "/records";
}

} // namespace

struct log_client::snapshot_search {
    snapshot_assembler assembler;
    std::uint64_t next = 0;
    std::function<void(const stored_snapshot&)> done;
};

struct log_client::snapshot_upload {
    std::vector<std::string> records;
    std::size_t next = 0;
    std::function<void(bool)> done;
};

log_client::log_client(http_client& client, std::string address, std::string stream)
    : client_(client), address_(std::move(address)), stream_(std::move(stream)) {}

void log_client::read(std::uint64_t from, time_ms wait_ms,
                      std::function<void(const log_page&)> done) {
    read_stream(stream_, from, wait_ms, std::move(done));
}

void log_client::append(std::span<const std::string> records, time_ms timeout_ms,
                        std::function<void(log_status)> done) {
    append_to(stream_, records, timeout_ms, std::move(done));
}

void log_client::read_stream(const std::string& stream, std::uint64_t from, time_ms wait_ms,
                             std::function<void(const log_page&)> done) {
    http_call call;
    call.address = address_;
    call.target = stream_path(stream) + "?from=" + std::to_string(from) +
                  "&limit=" + std::to_string(records_per_read) +
                  "&wait_ms=" + std::to_string(wait_ms);
    call.timeout_ms = wait_ms + answer_margin_ms;
    client_.send(call, [done = std::move(done)](const http_answer& a) { done(parse_page(a)); });
}

void log_client::append_to(const std::string& stream, std::span<const std::string> records,
                           time_ms timeout_ms, std::function<void(log_status)> done) {
    http_call call;
    call.method = "POST";
    call.address = address_;
    call.target = stream_path(stream);
    call.body = json{{"records", std::vector<std::string>(records.begin(), records.end())}}.dump();
    call.timeout_ms = timeout_ms;
    client_.send(call, [done = std::move(done)](const http_answer& a) {
        done(a.status == status_ok ? log_status::ok : log_status::unknown);
    });
}

void log_client::load_snapshot(std::function<void(const stored_snapshot&)> done) {
    auto search = std::make_shared<snapshot_search>();
    search->done = std::move(done);
    continue_search(std::move(search));
}

void log_client::continue_search(std::shared_ptr<snapshot_search> search) {
    read_stream(stream_ + "-snapshots", search->next, 0, [this, search](const log_page& page) {
        if (page.status == log_status::unknown) {
            search->done({});
            return;
        }
        if (page.status == log_status::trimmed) {
            search->next = page.first_offset;
            continue_search(search);
            return;
        }
        for (const auto& record : page.records) {
            search->assembler.add(record);
        }
        search->next = page.first_offset + page.records.size();
        if (page.records.empty() || search->next >= page.tail) {
            search->done({true, search->assembler.newest()});
        } else {
            continue_search(search);
        }
    });
}

void log_client::write_snapshot(std::uint64_t next_offset, std::string_view text,
                                std::function<void(bool)> done) {
    auto upload = std::make_shared<snapshot_upload>();
    upload->records = split_snapshot(next_offset, text);
    upload->done = std::move(done);
    continue_upload(std::move(upload));
}

void log_client::continue_upload(std::shared_ptr<snapshot_upload> upload) {
    if (upload->next >= upload->records.size()) {
        upload->done(true);
        return;
    }
    const std::size_t count = std::min(chunks_per_append, upload->records.size() - upload->next);
    const std::span<const std::string> batch(upload->records.data() + upload->next, count);
    append_to(stream_ + "-snapshots", batch, snapshot_append_timeout_ms,
              [this, upload, count](log_status status) {
                  if (status != log_status::ok) {
                      upload->done(false);
                      return;
                  }
                  upload->next += count;
                  continue_upload(upload);
              });
}

} // namespace fulmarworks
