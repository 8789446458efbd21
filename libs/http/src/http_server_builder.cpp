#include "http/http_server.h"

namespace fulmarworks {

http_server::Builder& http_server::Builder::address(std::string value) {
    address_ = std::move(value);
    return *this;
}

http_server::Builder& http_server::Builder::max_body_bytes(std::uint64_t value) {
    max_body_bytes_ = value;
    return *this;
}

http_server::Builder& http_server::Builder::max_head_bytes(std::size_t value) {
    max_head_bytes_ = value;
    return *this;
}

http_server::Builder& http_server::Builder::idle_timeout_ms(time_ms value) {
    idle_timeout_ms_ = value;
    return *this;
}

http_server::Builder& http_server::Builder::transfer_timeout_ms(time_ms value) {
    transfer_timeout_ms_ = value;
    return *this;
}

http_server::Builder& http_server::Builder::max_connections(std::size_t value) {
    max_connections_ = value;
    return *this;
}

http_server::Builder& http_server::Builder::max_open_requests(std::size_t value) {
    max_open_requests_ = value;
    return *this;
}

http_server::Builder& http_server::Builder::memory(std::shared_ptr<client_memory> value) {
    memory_ = std::move(value);
    return *this;
}

http_server::Builder& http_server::Builder::header(std::string name) {
    headers_.push_back(std::move(name));
    return *this;
}

http_server::Builder& http_server::Builder::on_request(request_handler value) {
    on_request_ = std::move(value);
    return *this;
}

http_server::Builder& http_server::Builder::on_gone(gone_handler value) {
    on_gone_ = std::move(value);
    return *this;
}

http_server::Builder& http_server::Builder::on_limit(limit_handler value) {
    on_limit_ = std::move(value);
    return *this;
}

} // namespace fulmarworks
