#include "free_address.h"

#include "free_ports.h"

std::string free_address() {
    return "127.0.0.1:" + std::to_string(fulmarworks::find_free_ports(1));
}
