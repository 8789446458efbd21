#include "configuration_view.h"

#include "evacuations.h"
#include "platform/documents.h"

#include <algorithm>

namespace fulmarworks::node {

namespace {

/** Time that a read of the operator's documents waits at the store; a third of the time within
 * which a change must be in force. */
constexpr time_ms document_wait_ms = 650;
/** Part of the configuration bound that is reserved for the network delay of a request. */
constexpr time_ms configuration_margin_ms = 150;

} // namespace

configuration_view::configuration_view(configuration_view_context context)
    : context_(std::move(context)) {
    follower_options options;
    options.log_topic = platform::topic::operator_documents;
    options.wait_ms = document_wait_ms;
    options.on_snapshot = [this](const auto& records) { apply_snapshot(records); };
    options.on_record = [this](const auto& record) { apply_record(record); };
    options.on_read = [this](bool ok) { read_done(ok); };
    follower_ = std::make_unique<topic_follower>(context_.loop, context_.store, std::move(options));
}

std::shared_ptr<const gateway::configuration> configuration_view::in_force(time_ms bound_ms) const {
    const time_ms oldest = boottime_now() - bound_ms + configuration_margin_ms;
    return confirmed_at_ms() >= oldest ? configuration_ : nullptr;
}

std::uint64_t configuration_view::version() const {
    return configuration_ ? configuration_->version : 0;
}

time_ms configuration_view::confirmed_at_ms() const {
    return std::max(store_confirmed_at_ms_, peer_confirmed_at_ms_);
}

std::optional<store_view> configuration_view::view_for_peer(std::uint64_t known_version) const {
    if (!configuration_ || store_confirmed_at_ms_ == 0) {
        return std::nullopt;
    }
    store_view view;
    view.configuration_version = configuration_->version;
    view.configuration_age_ms = boottime_now() - store_confirmed_at_ms_;
    if (configuration_->version > known_version) {
        view.configuration = configuration_text_;
    }
    return view;
}

void configuration_view::apply_peer_view(const store_view& view, time_ms sent_at_ms) {
    if (!view.configuration.empty()) {
        apply_configuration(view.configuration, "peer");
    }
    if (configuration_ && configuration_->version >= view.configuration_version) {
        peer_confirmed_at_ms_ =
            std::max(peer_confirmed_at_ms_, sent_at_ms - view.configuration_age_ms);
    }
}

void configuration_view::apply_snapshot(const std::vector<platform::logged_record>& records) {
    set_evacuated_domains(evacuated_domains_of(records));
    std::for_each(records.begin(), records.end(), [this](const auto& r) { apply_record(r); });
}

void configuration_view::apply_record(const platform::logged_record& record) {
    if (auto domains = evacuated_domains_; apply_evacuation(domains, record)) {
        set_evacuated_domains(std::move(domains));
    } else if (record.key == platform::configuration_key && !record.value.empty()) {
        unread_document_ = record.value;
    }
}

void configuration_view::read_done(bool ok) {
    if (ok && unread_document_) {
        readable_ = apply_configuration(*unread_document_, "store");
        unread_document_.reset();
    }
    if (ok && configuration_ && readable_) {
        store_confirmed_at_ms_ = follower_->confirmed_at_ms();
    }
    context_.on_read(ok);
}

bool configuration_view::apply_configuration(const std::string& text, const char* source) {
    auto decoded = platform::decode_configuration(text);
    if (!decoded) {
        context_.log.write("configuration_unreadable",
                           std::string("source=") + source +
                               " version_in_force=" + std::to_string(version()) + " error=\"" +
                               describe(decoded.error()) + "\"");
        return false;
    }
    if (decoded.value().version <= version()) {
        return true;
    }
    context_.log.write(
        "configuration_in_force",
        "version=" + std::to_string(decoded.value().version) + " source=" + source +
            " confirmed_ms_ago=" + std::to_string(boottime_now() - confirmed_at_ms()) +
            " routes=" + std::to_string(decoded.value().routes.size()) +
            " keys=" + std::to_string(decoded.value().account_by_key.size()));
    const bool other_guarantees =
        !configuration_ || configuration_->guarantees != decoded.value().guarantees;
    configuration_ = std::make_shared<const gateway::configuration>(std::move(decoded.value()));
    configuration_text_ = text;
    context_.on_new_version();
    if (other_guarantees) {
        context_.on_requests_change();
    }
    return true;
}

void configuration_view::set_evacuated_domains(std::set<std::string> domains) {
    if (domains != evacuated_domains_) {
        evacuated_domains_ = std::move(domains);
        context_.on_requests_change();
    }
}

} // namespace fulmarworks::node
