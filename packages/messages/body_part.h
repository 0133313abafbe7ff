// Messages that carry large bodies of calls between daemons. A body is sent in parts before its
// call, so that no frame is large and no call runs without its body. These messages have frames of
// their own, which the codec of the other messages does not decode.
//
// Example:
//
//     std::string frame = messages::encode_body_frame(messages::body_part{.sequence = 7, ...});
//     if (messages::is_body_frame(frame)) { auto decoded = messages::decode_body_frame(frame); }

#ifndef TREFOIL_MESSAGES_BODY_PART_H_
#define TREFOIL_MESSAGES_BODY_PART_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "messages/codec.h"
#include "messages/messages.h"

namespace trefoil::messages {

// Sent by the ingress. Parts arrive in order.
struct body_part {
    std::uint64_t sequence = 0;  // Of the call.
    std::uint64_t offset = 0;    // Of the first byte in the body.
    std::uint64_t total = 0;     // Size of the body.
    std::string bytes;

    friend bool operator==(const body_part&, const body_part&) = default;
};

// Sent by the egress for each part.
struct body_progress {
    std::uint64_t sequence = 0;
    std::uint64_t received = 0;  // Bytes from the start of the body.

    friend bool operator==(const body_progress&, const body_progress&) = default;
};

// Sent by the egress: it has no room for the body. The call was not run.
struct body_refusal {
    std::uint64_t sequence = 0;

    friend bool operator==(const body_refusal&, const body_refusal&) = default;
};

// Sent by the ingress: no call will follow the parts.
struct body_discard {
    std::uint64_t sequence = 0;

    friend bool operator==(const body_discard&, const body_discard&) = default;
};

// Sent by the ingress after the egress has confirmed the whole body.
struct call_with_body {
    std::uint64_t total = 0;  // Size of the body.
    messages::call call;      // Its own body is empty.

    friend bool operator==(const call_with_body&, const call_with_body&) = default;
};

// The index is the frame's kind, so the order must not change.
using body_message =
    std::variant<body_part, body_progress, body_refusal, body_discard, call_with_body>;

bool is_body_frame(std::string_view frame);
std::string encode_body_frame(const body_message& message);
result<body_message, decode_failure> decode_body_frame(std::string_view frame);

// Adds to an encoded hello that its sender accepts these messages. Earlier versions ignore it.
std::string announce_bodies(std::string_view hello_frame);
bool announces_bodies(std::string_view hello_frame);

}  // namespace trefoil::messages

#endif  // TREFOIL_MESSAGES_BODY_PART_H_
