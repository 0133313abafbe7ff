// Implements the frames of large bodies: a byte that no CBOR array begins with, the kind, numbers
// of eight bytes in network order, then the bytes of the part or the encoded call.

#include "messages/body_part.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

namespace trefoil::messages {

namespace {

constexpr char first_byte = '\x0b';
constexpr std::size_t number_bytes = 8;
constexpr std::size_t prefix_bytes = 2;
constexpr unsigned bits_of_byte = 8;
constexpr std::size_t hello_fields = 8;

void append_number(std::string& frame, std::uint64_t value) {
    for (std::size_t i = number_bytes; i > 0; --i) {
        frame += static_cast<char>((value >> ((i - 1) * bits_of_byte)) & 0xffU);
    }
}

// Reads the numbers of a frame in order.
class number_reader {
public:
    explicit number_reader(std::string_view bytes) : left(bytes) {}

    void read(std::uint64_t& value) {
        if (this->left.size() < number_bytes) {
            this->failed = true;
            return;
        }
        for (char each : this->left.substr(0, number_bytes)) {
            value = (value << bits_of_byte) | static_cast<unsigned char>(each);
        }
        this->left.remove_prefix(number_bytes);
    }
    std::string_view rest() const { return this->left; }
    bool ok() const { return !this->failed; }

private:
    std::string_view left;
    bool failed = false;
};

void append_fields(std::string& frame, const body_part& message) {
    append_number(frame, message.sequence);
    append_number(frame, message.offset);
    append_number(frame, message.total);
    frame += message.bytes;
}
void append_fields(std::string& frame, const body_progress& message) {
    append_number(frame, message.sequence);
    append_number(frame, message.received);
}
void append_fields(std::string& frame, const body_refusal& message) {
    append_number(frame, message.sequence);
}
void append_fields(std::string& frame, const body_discard& message) {
    append_number(frame, message.sequence);
}
void append_fields(std::string& frame, const call_with_body& message) {
    append_number(frame, message.total);
    frame += encode(message.call);
}

result<body_message, decode_failure> decode_part(number_reader& in) {
    body_part message;
    in.read(message.sequence);
    in.read(message.offset);
    in.read(message.total);
    message.bytes = std::string(in.rest());
    return message;
}

result<body_message, decode_failure> decode_progress(number_reader& in) {
    body_progress message;
    in.read(message.sequence);
    in.read(message.received);
    return message;
}

result<body_message, decode_failure> decode_call(number_reader& in) {
    call_with_body message;
    in.read(message.total);
    auto decoded = decode(in.rest());
    auto* inner = std::get_if<peer_message>(&decoded);
    auto* call = inner == nullptr ? nullptr : std::get_if<messages::call>(inner);
    if (call == nullptr) {
        return decode_failure{.detail = "no call"};
    }
    message.call = std::move(*call);
    return message;
}

template <class Message>
result<body_message, decode_failure> decode_sequence(number_reader& in) {
    Message message;
    in.read(message.sequence);
    return message;
}

}  // namespace

bool is_body_frame(std::string_view frame) {
    return !frame.empty() && frame.front() == first_byte;
}

std::string encode_body_frame(const body_message& message) {
    std::string frame{first_byte, static_cast<char>(message.index())};
    std::visit([&frame](const auto& each) { append_fields(frame, each); }, message);
    return frame;
}

result<body_message, decode_failure> decode_body_frame(std::string_view frame) {
    if (frame.size() < prefix_bytes || !is_body_frame(frame)) {
        return decode_failure{.detail = "not a frame of a body"};
    }
    number_reader in(frame.substr(prefix_bytes));
    result<body_message, decode_failure> message = decode_failure{.detail = "unknown kind"};
    switch (frame[1]) {
        case 0:
            message = decode_part(in);
            break;
        case 1:
            message = decode_progress(in);
            break;
        case 2:
            message = decode_sequence<body_refusal>(in);
            break;
        case 3:
            message = decode_sequence<body_discard>(in);
            break;
        case 4:
            message = decode_call(in);
            break;
        default:
            break;
    }
    return in.ok() ? message : decode_failure{.detail = "incomplete frame"};
}

std::string announce_bodies(std::string_view hello_frame) {
    nlohmann::json frame = nlohmann::json::from_cbor(hello_frame);
    frame.at(1).push_back(true);
    std::string bytes;
    nlohmann::json::to_cbor(frame, bytes);
    return bytes;
}

bool announces_bodies(std::string_view hello_frame) {
    nlohmann::json frame = nlohmann::json::from_cbor(hello_frame, true, false);
    return frame.is_array() && frame.size() > 1 && frame[1].is_array() &&
           frame[1].size() > hello_fields && frame[1][hello_fields] == true;
}

}  // namespace trefoil::messages
