// A child process that never outlives its owner.
//
// Example:
//
//     process daemon({"/path/trefoild", "--settings", "a.yaml"}, "a.log");
//     daemon.signal(SIGTERM);
//     std::optional<int> status = daemon.wait(std::chrono::seconds(5));

#ifndef TREFOIL_TESTING_SUPPORT_PROCESS_H_
#define TREFOIL_TESTING_SUPPORT_PROCESS_H_

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace trefoil::testing {

class process {
public:
    // Starts `arguments[0]`; standard output and error are appended to `output`. Throws
    // std::runtime_error when the program cannot be started.
    process(std::vector<std::string> arguments, const std::string& output) {
        std::vector<char*> pointers;
        pointers.reserve(arguments.size() + 1);
        for (std::string& argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        // The owner blocks the stop signals; its children must not inherit that.
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        int error =
            ::posix_spawn(&this->id, pointers[0], &files, &attributes, pointers.data(), environ);
        posix_spawnattr_destroy(&attributes);
        posix_spawn_file_actions_destroy(&files);
        if (error != 0) {
            throw std::runtime_error("cannot start " + arguments[0]);
        }
    }

    ~process() { this->kill(); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // Has no effect once the process was reaped, because its id may then belong to another one.
    void signal(int number) {
        if (!this->status) {
            ::kill(this->id, number);
        }
    }

    void kill() {
        this->signal(SIGKILL);
        this->wait(std::chrono::seconds(10));
    }

    // Returns the exit status, 128 plus the signal for a killed process, or nothing on timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout) {
        auto end = std::chrono::steady_clock::now() + timeout;
        while (!this->status) {
            int raw = 0;
            if (::waitpid(this->id, &raw, WNOHANG) == this->id) {
                this->status = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
            } else if (std::chrono::steady_clock::now() >= end) {
                break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return this->status;
    }

    // The most memory that the process has held, in bytes; 0 when it has ended.
    std::size_t peak_memory() const {
        std::ifstream file("/proc/" + std::to_string(this->id) + "/status");
        std::string word;
        std::size_t kib = 0;
        while (file >> word && word != "VmHWM:") {
        }
        file >> kib;
        return kib << 10U;
    }

private:
    pid_t id = -1;
    std::optional<int> status;  // Set when the process was reaped.
};

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_PROCESS_H_
