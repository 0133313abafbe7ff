// Implements frame_socket with websocketpp and Boost.Asio. Compiled as C++17.

#include "transport/frame_socket.h"

#include <atomic>
#include <map>
#include <mutex>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace trefoil::transport {

namespace {

using server_endpoint = websocketpp::server<websocketpp::config::asio>;
using client_endpoint = websocketpp::client<websocketpp::config::asio_client>;

constexpr std::size_t max_handshake_frame_bytes = 4096;
constexpr std::size_t max_frame_bytes = std::size_t{4} << 20U;
constexpr std::size_t max_unsent_bytes = std::size_t{16} << 20U;
constexpr long handshake_timeout_ms = 2000;
// Close codes of RFC 6455 and its registry. A graceful close uses one of these two; any other code
// means a failure.
constexpr auto settled_code = websocketpp::close::status::going_away;
constexpr auto unsettled_code = websocketpp::close::status::service_restart;

}  // namespace

class frame_socket::implementation {
public:
    implementation(frame_events& receiver, io::event_loop& loop)
        : events(receiver), context(loop.context()) {}

    std::string start(const frame_socket_options& options) {
        try {
            if (!this->configured) {
                this->configure(this->server);
                this->configure(this->client);
                this->configured = true;
            }
            this->server.set_reuse_addr(true);
            this->server.listen(boost::asio::ip::tcp::endpoint(
                boost::asio::ip::make_address(options.ip), options.port));
            this->server.start_accept();
        } catch (const std::exception& error) {
            return error.what();
        }
        this->client.start_perpetual();
        return {};
    }

    connection_id connect(const std::string& ip, std::uint16_t port) {
        connection_id id = this->next_id++;
        websocketpp::lib::error_code error;
        auto connection =
            this->client.get_connection("ws://" + ip + ":" + std::to_string(port) + "/", error);
        if (error) {
            boost::asio::post(this->context,
                              [this, id] { this->events.on_disconnected(id, false); });
            return id;
        }
        this->register_connection(connection, id, true);
        this->client.connect(connection);
        return id;
    }

    bool send(connection_id id, const std::string& frame) {
        return this->with_connection(id, [&frame](auto& connection) {
            if (connection->get_buffered_amount() > max_unsent_bytes) {
                return false;
            }
            auto error =
                connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
            return !error;
        });
    }

    void allow_large_frames(connection_id id) {
        this->with_connection(id, [](auto& connection) {
            connection->set_max_message_size(max_frame_bytes);
            return true;
        });
    }

    void close_gracefully(connection_id id, bool settled) {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            auto entry = this->connections.find(id);
            if (entry == this->connections.end()) {
                return;
            }
            entry->second.closing = true;
        }
        bool close_sent = this->with_connection(id, [settled](auto& connection) {
            websocketpp::lib::error_code error;
            connection->close(settled ? settled_code : unsettled_code, "", error);
            return !error;
        });
        if (!close_sent) {
            this->drop(id);
        }
    }

    void drop(connection_id id) {
        this->with_connection(id, [](auto& connection) {
            // The connection's handlers run on its strand, so terminate() must run there, too.
            connection->get_strand()->post([connection] {
                connection->terminate(websocketpp::lib::error_code());
                // Until the socket is closed, websocketpp reads all that the peer has sent.
                boost::system::error_code ignored;
                connection->get_raw_socket().close(ignored);
            });
            return true;
        });
    }

private:
    struct connection_entry {
        server_endpoint::connection_ptr server;
        client_endpoint::connection_ptr client;
        bool closing = false;  // This side started a graceful close.

        // If this side closed first, the peer's close frame echoes the code of this side and says
        // nothing about the peer.
        bool settled_by_peer() const {
            return !this->closing &&
                   (this->server ? this->server->get_remote_close_code()
                                 : this->client->get_remote_close_code()) == settled_code;
        }
    };

    template <class Endpoint>
    void configure(Endpoint& endpoint) {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&this->context);
        endpoint.set_open_handshake_timeout(handshake_timeout_ms);
        endpoint.set_max_message_size(max_handshake_frame_bytes);
        endpoint.set_max_http_body_size(0);  // A handshake request has no body.
        endpoint.set_tcp_post_init_handler([&endpoint](websocketpp::connection_hdl hdl) {
            websocketpp::lib::error_code error;
            auto connection = endpoint.get_con_from_hdl(hdl, error);
            if (!error) {
                boost::system::error_code ignored;
                connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                                        ignored);
            }
        });
        if constexpr (std::is_same_v<Endpoint, server_endpoint>) {
            endpoint.set_open_handler([this, &endpoint](websocketpp::connection_hdl hdl) {
                this->on_accepted(endpoint.get_con_from_hdl(hdl));
            });
        }
    }

    void on_accepted(const server_endpoint::connection_ptr& connection) {
        connection_id id = this->next_id++;
        this->register_connection(connection, id, false);
        this->events.on_connected(id, false);
    }

    template <class ConnectionPtr>
    void register_connection(const ConnectionPtr& connection, connection_id id, bool outgoing) {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            if constexpr (std::is_same_v<ConnectionPtr, server_endpoint::connection_ptr>) {
                this->connections[id].server = connection;
            } else {
                this->connections[id].client = connection;
            }
        }
        connection->set_message_handler([this, id](websocketpp::connection_hdl, auto message) {
            if (message->get_opcode() == websocketpp::frame::opcode::binary) {
                this->events.on_frame(id, std::move(message->get_raw_payload()));
            } else {
                this->drop(id);
            }
        });
        connection->set_ping_handler([this, id](websocketpp::connection_hdl, const std::string&) {
            this->drop(id);
            return false;
        });
        connection->set_close_handler(
            [this, id](websocketpp::connection_hdl) { this->on_closed(id); });
        connection->set_fail_handler(
            [this, id](websocketpp::connection_hdl) { this->on_closed(id); });
        if (outgoing) {
            connection->set_open_handler(
                [this, id](websocketpp::connection_hdl) { this->events.on_connected(id, true); });
        }
    }

    void on_closed(connection_id id) {
        connection_entry ended;
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            auto entry = this->connections.find(id);
            if (entry == this->connections.end()) {
                return;
            }
            ended = entry->second;
            this->connections.erase(entry);
        }
        this->events.on_disconnected(id, ended.settled_by_peer());
    }

    // Calls `use` with the connection, without holding the mutex, and returns its result. Returns
    // false if there is no such connection.
    template <class Use>
    bool with_connection(connection_id id, Use use) {
        connection_entry found;
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            auto entry = this->connections.find(id);
            if (entry == this->connections.end()) {
                return false;
            }
            found = entry->second;
        }
        return found.server ? use(found.server) : use(found.client);
    }

    frame_events& events;
    boost::asio::io_context& context;
    server_endpoint server;
    client_endpoint client;
    bool configured = false;  // Used only by start(), which may be called again with another port.
    std::atomic<connection_id> next_id{1};
    std::mutex mutex;
    // Open connections and those that are being opened. Guarded by mutex.
    std::map<connection_id, connection_entry> connections;
};

frame_socket::frame_socket(frame_events& events, io::event_loop& loop)
    : self(std::make_unique<implementation>(events, loop)) {}

frame_socket::~frame_socket() = default;

std::string frame_socket::start(const frame_socket_options& options) {
    return this->self->start(options);
}

connection_id frame_socket::connect(const std::string& ip, std::uint16_t port) {
    return this->self->connect(ip, port);
}

bool frame_socket::send(connection_id id, const std::string& frame) {
    return this->self->send(id, frame);
}

void frame_socket::allow_large_frames(connection_id id) {
    this->self->allow_large_frames(id);
}

void frame_socket::close_gracefully(connection_id id, bool settled) {
    this->self->close_gracefully(id, settled);
}

void frame_socket::drop(connection_id id) {
    this->self->drop(id);
}

}  // namespace trefoil::transport
