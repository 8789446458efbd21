#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "peers.h"
#include "platform/store_client.h"

#include <memory>
#include <string>

namespace fulmarworks::node {

/** What the list of members uses of its process. Precondition: all references outlive it. */
struct member_list_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    /** Receives the other hosts of the list. */
    peers& peer_hosts;
    /** IP:PORT of this host for calls from other entry hosts. */
    std::string own_address;
    double cpu_share = 0;
};

/** Registers this host in the list of entry hosts in the store, and follows the list. Not thread
 * safe. */
class member_list {
public:
    explicit member_list(member_list_context context);
    ~member_list();
    member_list(const member_list&) = delete;
    member_list& operator=(const member_list&) = delete;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
