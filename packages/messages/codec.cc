// Implements the CBOR encoding of peer messages with nlohmann::json. A frame is an array of the
// type number, which is the index of the alternative in peer_message, and an array of the fields in
// the order of the struct. Leaving out field names keeps control traffic small. A decoder skips
// trailing elements that it does not know, and gives fields that an earlier version does not send
// their default values.

#include "messages/codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace trefoil::messages {

namespace {

using json = nlohmann::json;

json to_binary(const std::string& bytes) {
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string bytes_of(const json& value) {
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

json encode_fields(const hello& m) {
    return {m.fleet_protocol, m.instance, m.incarnation, m.failure_domain,
            m.site,           m.service,  m.address,     m.nonce};
}
json encode_fields(const proof& m) {
    return json::array({m.hmac});
}
json encode_fields(const ping& m) {
    return json::array({m.sent_us, m.echo_us, m.clock_us, m.interval_ms});
}
json encode_fields(const pong& m) {
    return json::array({m.echo_us, m.clock_us});
}

json encode_fields(const digest& m) {
    json documents = json::array();
    for (const document_state& each : m.documents) {
        json state = json::array({each.name, each.revision, each.checksum, each.revision_in_force});
        // The difference, which takes fewer bytes.
        if (each.read_revision > each.revision) {
            state.push_back(each.read_revision - each.revision);
        }
        documents.push_back(std::move(state));
    }
    json list = json::array({m.wants_reply, m.round, m.leaving, std::move(documents),
                             m.platform_age_ms, m.list_revision, json::binary(m.ages)});
    if (!m.contact_ages.empty()) {
        list.push_back(json::binary(m.contact_ages));
    }
    return list;
}

// Fields that were added later come last and are left out at their defaults, so that daemons of
// earlier versions can read the messages.
json encode_fields(const document_request& m) {
    json list = json::array({m.name, m.revision});
    if (m.accepts_compressed || m.max_bytes != 0) {
        list.push_back(m.accepts_compressed);
    }
    if (m.max_bytes != 0) {
        list.push_back(m.offset);
        list.push_back(m.max_bytes);
    }
    return list;
}
json encode_fields(const document& m) {
    json list = json::array({m.name, m.revision, m.checksum, to_binary(m.body)});
    if (m.compressed || m.total_bytes != 0) {
        list.push_back(m.compressed);
    }
    if (m.total_bytes != 0) {
        list.push_back(m.offset);
        list.push_back(m.total_bytes);
    }
    return list;
}

json encode_headers(const std::vector<header>& headers) {
    json list = json::array();
    for (const header& each : headers) {
        list.push_back(to_binary(each.name));
        list.push_back(to_binary(each.value));
    }
    return list;
}

json encode_fields(const call& m) {
    return json::array({m.sequence,
                        m.sent_us,
                        m.budget_us,
                        to_binary(m.request_id),
                        m.caller_service,
                        m.service,
                        m.route,
                        m.workspace,
                        m.idempotent,
                        m.priority,
                        m.objective_us,
                        m.may_be_late,
                        m.depth,
                        m.base_revision,
                        to_binary(m.method),
                        to_binary(m.target),
                        encode_headers(m.headers),
                        to_binary(m.body),
                        m.retry_probability,
                        m.precedes});
}

json encode_fields(const load_report& m) {
    return json::array(
        {m.running, m.queued, m.limit, m.service_us, m.mean_service_us, m.failing_share});
}

json encode_fields(const call_result& m) {
    return json::array({m.sequence, static_cast<unsigned>(m.outcome), m.reason, m.reached_upstream,
                        m.retry_after_ms, m.held_us, m.status, encode_headers(m.headers),
                        to_binary(m.body), encode_fields(m.load)});
}

json encode_fields(const cancel& m) {
    return json::array({m.sequence});
}
json encode_fields(const loan_request& m) {
    json releases = json::array();
    for (const loan_request::release& each : m.releases) {
        releases.push_back(json::array({each.workspace, each.loan, each.tokens}));
    }
    return json::array({m.round, m.incarnation, m.workspaces, std::move(releases)});
}

json encode_fields(const loan_grant& m) {
    json loans = json::array();
    for (const loan& each : m.loans) {
        loans.push_back(json::array({each.workspace, each.id, each.weight, each.tokens}));
    }
    return json::array({m.round, m.duration_ms, std::move(loans)});
}

json encode_fields(const token_request& m) {
    json settlements = json::array();
    for (const token_request::settlement& each : m.settlements) {
        settlements.push_back(json::array({each.batch, each.spent, each.returned}));
    }
    return json::array(
        {m.round, m.workspace, m.wanted_now, m.wanted_prefetch, std::move(settlements)});
}

json encode_fields(const token_grant& m) {
    return json::array(
        {m.round, m.workspace, m.batch, m.tokens, m.lifetime_ms, m.is_home, m.recall});
}

json encode_demands(const std::vector<workspace_demand>& demands) {
    json list = json::array();
    for (const workspace_demand& each : demands) {
        json entry = json::array(
            {each.workspace, static_cast<float>(each.rate), static_cast<float>(each.admitted)});
        // Omitted if it has the default value, as in a single daemon's report.
        if (each.holders != 1) {
            entry.push_back(each.holders);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

json encode_fields(const demand_report& m) {
    return json::array({m.round, encode_demands(m.demands)});
}
json encode_fields(const demand_totals& m) {
    return json::array({m.round, m.heard, m.missing, encode_demands(m.demands)});
}
json encode_fields(const domain_demand& m) {
    return json::array({m.failure_domain, m.heard, m.missing, encode_demands(m.demands)});
}

// Reads the elements of an array in order. Throws json::exception if an element is missing or has
// another type; decode() turns every exception into a decode_failure.
class field_reader {
public:
    explicit field_reader(const json& source) : list(source) {}

    bool has_more() const { return this->position < this->list.size(); }
    const json& next() { return this->list.at(this->position++); }

    template <class Value>
    void read(Value& value) {
        this->next().get_to(value);
    }
    void read_binary(std::string& value) { value = bytes_of(this->next()); }

private:
    const json& list;
    std::size_t position = 0;
};

template <class... Values>
void read_all(field_reader& in, Values&... values) {
    (in.read(values), ...);
}

std::vector<header> decode_headers(const json& list) {
    std::vector<header> headers;
    for (std::size_t i = 0; i + 1 < list.size(); i += 2) {
        headers.push_back({.name = bytes_of(list.at(i)), .value = bytes_of(list.at(i + 1))});
    }
    return headers;
}

void decode_fields(field_reader& in, hello& m) {
    read_all(in, m.fleet_protocol, m.instance, m.incarnation, m.failure_domain, m.site, m.service,
             m.address, m.nonce);
}
void decode_fields(field_reader& in, proof& m) {
    in.read(m.hmac);
}
void decode_fields(field_reader& in, ping& m) {
    read_all(in, m.sent_us, m.echo_us, m.clock_us);
    if (in.has_more()) {
        in.read(m.interval_ms);
    }
}
void decode_fields(field_reader& in, pong& m) {
    read_all(in, m.echo_us, m.clock_us);
}

void decode_fields(field_reader& in, digest& m) {
    read_all(in, m.wants_reply, m.round, m.leaving);
    for (const json& each : in.next()) {
        field_reader entry(each);
        document_state state;
        read_all(entry, state.name, state.revision, state.checksum, state.revision_in_force);
        if (entry.has_more()) {
            entry.read(state.read_revision);
            state.read_revision += state.revision;
        }
        m.documents.push_back(std::move(state));
    }
    read_all(in, m.platform_age_ms, m.list_revision);
    m.ages = in.next().get_binary();
    if (in.has_more()) {
        m.contact_ages = in.next().get_binary();
    }
}

void decode_fields(field_reader& in, document_request& m) {
    read_all(in, m.name, m.revision);
    if (in.has_more()) {
        in.read(m.accepts_compressed);
    }
    if (in.has_more()) {
        read_all(in, m.offset, m.max_bytes);
    }
}
void decode_fields(field_reader& in, document& m) {
    read_all(in, m.name, m.revision, m.checksum);
    in.read_binary(m.body);
    if (in.has_more()) {
        in.read(m.compressed);
    }
    if (in.has_more()) {
        read_all(in, m.offset, m.total_bytes);
    }
}

void decode_fields(field_reader& in, call& m) {
    read_all(in, m.sequence, m.sent_us, m.budget_us);
    in.read_binary(m.request_id);
    read_all(in, m.caller_service, m.service, m.route, m.workspace, m.idempotent, m.priority,
             m.objective_us, m.may_be_late, m.depth, m.base_revision);
    in.read_binary(m.method);
    in.read_binary(m.target);
    m.headers = decode_headers(in.next());
    in.read_binary(m.body);
    if (in.has_more()) {
        in.read(m.retry_probability);
    }
    if (in.has_more()) {
        in.read(m.precedes);
    }
}

void decode_fields(field_reader& in, load_report& m) {
    read_all(in, m.running, m.queued, m.limit, m.service_us, m.mean_service_us);
    if (in.has_more()) {
        in.read(m.failing_share);
    }
}

void decode_fields(field_reader& in, call_result& m) {
    unsigned outcome = 0;
    read_all(in, m.sequence, outcome, m.reason, m.reached_upstream, m.retry_after_ms, m.held_us,
             m.status);
    if (outcome > static_cast<unsigned>(call_outcome::unknown)) {
        throw std::out_of_range("call outcome");
    }
    m.outcome = static_cast<call_outcome>(outcome);
    m.headers = decode_headers(in.next());
    in.read_binary(m.body);
    field_reader load(in.next());
    decode_fields(load, m.load);
}

void decode_fields(field_reader& in, cancel& m) {
    in.read(m.sequence);
}
void decode_fields(field_reader& in, loan_request& m) {
    read_all(in, m.round, m.incarnation, m.workspaces);
    for (const json& each : in.next()) {
        field_reader entry(each);
        loan_request::release item;
        read_all(entry, item.workspace, item.loan, item.tokens);
        m.releases.push_back(std::move(item));
    }
}

void decode_fields(field_reader& in, loan_grant& m) {
    read_all(in, m.round, m.duration_ms);
    for (const json& each : in.next()) {
        field_reader entry(each);
        loan item;
        read_all(entry, item.workspace, item.id, item.weight, item.tokens);
        m.loans.push_back(std::move(item));
    }
}

void decode_fields(field_reader& in, token_request& m) {
    read_all(in, m.round, m.workspace, m.wanted_now, m.wanted_prefetch);
    for (const json& each : in.next()) {
        field_reader entry(each);
        token_request::settlement item;
        read_all(entry, item.batch, item.spent, item.returned);
        m.settlements.push_back(item);
    }
}

std::vector<workspace_demand> decode_demands(const json& list) {
    std::vector<workspace_demand> demands;
    for (const json& each : list) {
        field_reader entry(each);
        workspace_demand item;
        read_all(entry, item.workspace, item.rate, item.admitted);
        if (entry.has_more()) {
            entry.read(item.holders);
        }
        demands.push_back(std::move(item));
    }
    return demands;
}

void decode_fields(field_reader& in, demand_report& m) {
    in.read(m.round);
    m.demands = decode_demands(in.next());
}
void decode_fields(field_reader& in, demand_totals& m) {
    read_all(in, m.round, m.heard, m.missing);
    m.demands = decode_demands(in.next());
}
void decode_fields(field_reader& in, domain_demand& m) {
    read_all(in, m.failure_domain, m.heard, m.missing);
    m.demands = decode_demands(in.next());
}

void decode_fields(field_reader& in, token_grant& m) {
    read_all(in, m.round, m.workspace, m.batch, m.tokens, m.lifetime_ms, m.is_home, m.recall);
}

// Decodes the alternative of peer_message with index `type`.
template <std::size_t Index = 0>
peer_message decode_alternative(std::size_t type, field_reader& in) {
    if constexpr (Index >= std::variant_size_v<peer_message>) {
        throw std::out_of_range("message type");
    } else {
        if (type == Index) {
            std::variant_alternative_t<Index, peer_message> message;
            decode_fields(in, message);
            return message;
        }
        return decode_alternative<Index + 1>(type, in);
    }
}

}  // namespace

std::string encode(const peer_message& message) {
    json frame = json::array({message.index()});
    frame.push_back(std::visit([](const auto& m) { return encode_fields(m); }, message));
    std::string bytes;
    json::to_cbor(frame, bytes);
    return bytes;
}

result<peer_message, decode_failure> decode(std::string_view frame) {
    try {
        json parsed = json::from_cbor(frame);
        field_reader in(parsed.at(1));
        return decode_alternative(parsed.at(0).get<std::size_t>(), in);
    } catch (const std::exception& error) {
        return decode_failure{.detail = error.what()};
    }
}

}  // namespace trefoil::messages
