#include "model/configuration_document.h"

#include "object_reader.h"

#include <algorithm>

namespace fulmarworks {

namespace {

using fault_list = std::vector<configuration_fault>;

void read_fields(object_reader& reader, failure_domain& object) {
    reader.read("name", object.name, true);
    reader.read("region", object.region);
}

void read_fields(object_reader& reader, client_account& object) {
    reader.read("name", object.name, true);
    reader.read("weight", object.weight);
    reader.read("queue_limit", object.queue_limit);
}

void read_fields(object_reader& reader, guarantee& object) {
    reader.read("name", object.name, true);
    reader.read("client_account", object.client_account, true);
    reader.read("host_pool", object.host_pool, true);
    reader.read("hosts", object.hosts);
    reader.read("accelerators_per_host", object.accelerators_per_host);
    reader.read("count", object.count);
}

void read_fields(object_reader& reader, retry_policy& object) {
    reader.read("name", object.name, true);
    reader.read("max_attempts", object.max_attempts);
    reader.read_duration("backoff", object.backoff_ms);
    reader.read("budget_per_minute", object.budget_per_minute);
}

void read_fields(object_reader& reader, job_class& object) {
    reader.read("name", object.name, true);
    reader.read_enum("urgency", object.priority);
    reader.read_duration("deadline", object.deadline_ms);
    reader.read_duration("queue_timeout", object.queue_timeout_ms);
    reader.read("repeatable", object.repeatable);
    reader.read_enum("preemption", object.preempt);
    reader.read_duration("checkpoint_time", object.checkpoint_ms);
    reader.read("retry_policy", object.retry_policy, true);
    reader.read("queue_limit", object.queue_limit);
}

void read_fields(object_reader& reader, scheduling_policy& object) {
    reader.read("fragmentation_weight", object.fragmentation_weight);
    reader.read("completion_weight", object.completion_weight);
    reader.read_duration("reclaim_limit", object.reclaim_limit_ms);
}

void read_racks(const YAML::Node& list, host_pool& object, fault_list& faults) {
    for (const auto& node : list) {
        rack_description rack;
        object_reader reader(node, "rack of host_pool " + object.name, faults);
        reader.read("name", rack.name, true);
        reader.read("hosts", rack.hosts);
        reader.read("spare_hosts", rack.spare_hosts);
        reader.finish();
        object.racks.push_back(std::move(rack));
    }
}

void read_fields(object_reader& reader, host_pool& object, fault_list& faults) {
    reader.read("name", object.name, true);
    reader.read("failure_domain", object.failure_domain, true);
    reader.read("accelerators", object.host_capacity.accelerators);
    reader.read("cores", object.host_capacity.cores);
    reader.read_memory("memory", object.host_capacity.memory_gb);
    reader.read_duration("startup_time", object.startup_ms);
    const YAML::Node racks = reader.child("racks");
    if (!racks.IsDefined() || !racks.IsSequence() || racks.size() == 0) {
        reader.add_fault("racks", "is missing or empty", "list at least one rack");
        return;
    }
    read_racks(racks, object, faults);
}

template <class Object>
Object read_object(const YAML::Node& node, const char* kind, fault_list& faults) {
    Object object;
    object_reader reader(node, kind, faults);
    if constexpr (std::is_same_v<Object, host_pool>) {
        read_fields(reader, object, faults);
    } else {
        read_fields(reader, object);
    }
    reader.finish();
    return object;
}

template <class Object>
void read_list(object_reader& top, const char* key, const char* kind,
               configuration_document& document) {
    const YAML::Node list = top.child(key);
    if (!list.IsDefined()) {
        return;
    }
    if (!list.IsSequence()) {
        top.add_fault(key, "is not a list", "write a list of objects");
        return;
    }
    for (const auto& node : list) {
        object_edit edit;
        edit.object = read_object<Object>(node, kind, document.faults);
        edit.line = node.Mark().line + 1;
        document.edits.push_back(std::move(edit));
    }
}

template <class Object>
bool read_edited_object(object_reader& reader, const char* kind, object_edit& edit,
                        fault_list& faults) {
    const YAML::Node node = reader.child(kind);
    if (!node.IsDefined()) {
        return false;
    }
    if (edit.remove && node.IsScalar()) {
        Object object;
        if constexpr (requires { object.name; }) {
            object.name = node.Scalar();
        }
        edit.object = object;
    } else {
        edit.object = read_object<Object>(node, kind, faults);
    }
    return true;
}

void read_edit(const YAML::Node& node, configuration_document& document) {
    object_reader outer(node, "edit", document.faults);
    object_edit edit;
    edit.line = node.Mark().line + 1;
    const YAML::Node put = outer.child("put");
    const YAML::Node deleted = outer.child("delete");
    edit.remove = !put.IsDefined();
    const YAML::Node& body = edit.remove ? deleted : put;
    outer.finish();
    if (!body.IsDefined()) {
        document.faults.push_back({edit.line, "an edit has neither 'put' nor 'delete'",
                                   "write put: {KIND: {...}} or delete: {KIND: NAME}"});
        return;
    }
    object_reader reader(body, "edit", document.faults);
    const bool known =
        read_edited_object<failure_domain>(reader, "failure_domain", edit, document.faults) ||
        read_edited_object<host_pool>(reader, "host_pool", edit, document.faults) ||
        read_edited_object<client_account>(reader, "client_account", edit, document.faults) ||
        read_edited_object<guarantee>(reader, "guarantee", edit, document.faults) ||
        read_edited_object<retry_policy>(reader, "retry_policy", edit, document.faults) ||
        read_edited_object<job_class>(reader, "job_class", edit, document.faults) ||
        read_edited_object<scheduling_policy>(reader, "policy", edit, document.faults);
    reader.finish();
    if (known) {
        document.edits.push_back(std::move(edit));
    } else {
        document.faults.push_back({edit.line, "an edit names no kind of object",
                                   "name one of failure_domain, host_pool, client_account, "
                                   "guarantee, retry_policy, job_class, policy"});
    }
}

void read_complete_configuration(object_reader& top, configuration_document& document) {
    read_list<failure_domain>(top, "failure_domains", "failure_domain", document);
    read_list<host_pool>(top, "host_pools", "host_pool", document);
    read_list<client_account>(top, "client_accounts", "client_account", document);
    read_list<guarantee>(top, "guarantees", "guarantee", document);
    read_list<retry_policy>(top, "retry_policies", "retry_policy", document);
    read_list<job_class>(top, "job_classes", "job_class", document);
    const YAML::Node policy = top.child("policy");
    if (policy.IsDefined()) {
        object_edit edit;
        edit.object = read_object<scheduling_policy>(policy, "policy", document.faults);
        document.edits.push_back(std::move(edit));
    }
}

template <class Object>
void apply_edit(std::vector<Object>& objects, const Object& object, const object_edit& edit,
                bool replace, fault_list& faults) {
    const auto found = std::find_if(objects.begin(), objects.end(),
                                    [&](const Object& o) { return o.name == object.name; });
    if (edit.remove) {
        if (found == objects.end()) {
            faults.push_back({edit.line, "cannot delete '" + object.name + "': no such object",
                              "correct the name or drop the edit"});
        } else {
            objects.erase(found);
        }
    } else if (found == objects.end()) {
        objects.push_back(object);
    } else if (replace) {
        *found = object;
    } else {
        faults.push_back({edit.line, "'" + object.name + "' is defined twice",
                          "rename or remove one of the two"});
    }
}

struct edit_applier {
    configuration& target;
    const object_edit& edit;
    bool replace;
    fault_list& faults;

    void operator()(const failure_domain& o) const { apply(target.failure_domains, o); }
    void operator()(const host_pool& o) const { apply(target.host_pools, o); }
    void operator()(const client_account& o) const { apply(target.client_accounts, o); }
    void operator()(const guarantee& o) const { apply(target.guarantees, o); }
    void operator()(const retry_policy& o) const { apply(target.retry_policies, o); }
    void operator()(const job_class& o) const { apply(target.job_classes, o); }
    void operator()(const scheduling_policy& o) const {
        target.policy = edit.remove ? scheduling_policy{} : o;
    }

    template <class Object>
    void apply(std::vector<Object>& objects, const Object& object) const {
        apply_edit(objects, object, edit, replace, faults);
    }
};

void parse_root(const YAML::Node& root, configuration_document& document) {
    object_reader top(root, "configuration", document.faults);
    const YAML::Node based_on = top.child("based_on");
    if (based_on.IsDefined()) {
        document.based_on = based_on.as<std::uint64_t>();
    }
    const YAML::Node edits = top.child("edits");
    document.whole = !edits.IsDefined();
    if (document.whole) {
        read_complete_configuration(top, document);
    } else {
        for (const auto& node : edits) {
            read_edit(node, document);
        }
    }
    top.finish();
}

} // namespace

configuration_document parse_configuration_document(std::string_view yaml) {
    configuration_document document;
    try {
        parse_root(YAML::Load(std::string(yaml)), document);
    } catch (const YAML::Exception& e) {
        document.faults.push_back(
            {e.mark.line + 1, "not valid YAML: " + e.msg, "correct the syntax at this line"});
    }
    return document;
}

configuration apply_document(const configuration& base, const configuration_document& document,
                             fault_list& faults) {
    configuration target = document.whole ? configuration{} : base;
    for (const auto& edit : document.edits) {
        std::visit(edit_applier{target, edit, !document.whole, faults}, edit.object);
    }
    return target;
}

configuration evaluate_document(const configuration& base, std::string_view yaml,
                                fault_list& faults) {
    const configuration_document document = parse_configuration_document(yaml);
    faults.insert(faults.end(), document.faults.begin(), document.faults.end());
    configuration candidate = apply_document(base, document, faults);
    if (faults.empty()) {
        faults = check_configuration(base, candidate);
    }
    return candidate;
}

} // namespace fulmarworks
