// A child process that is killed when its `process` object is destroyed.
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
#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>
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
        posix_spawn_file_actions_t file_actions;
        posix_spawn_file_actions_init(&file_actions);
        posix_spawn_file_actions_addopen(&file_actions, 1, output.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&file_actions, 1, 2);
        // The parent blocks the stop signals; an empty mask keeps the child from inheriting that.
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        int error = ::posix_spawn(&this->pid, pointers[0], &file_actions, &attributes,
                                  pointers.data(), environ);
        posix_spawnattr_destroy(&attributes);
        posix_spawn_file_actions_destroy(&file_actions);
        if (error != 0) {
            throw std::runtime_error("cannot start " + arguments[0]);
        }
    }

    ~process() { this->kill(); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // Has no effect after the child was reaped, because the kernel may have reused its process id.
    void signal(int number) {
        if (!this->status) {
            ::kill(this->pid, number);
        }
    }

    // Sends SIGKILL and waits up to 10 s for the child to end.
    void kill() {
        this->signal(SIGKILL);
        this->wait(std::chrono::seconds(10));
    }

    // Returns the exit status, 128 plus the signal for a killed process, or nothing on timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout) {
        auto end = std::chrono::steady_clock::now() + timeout;
        while (!this->status) {
            int wait_status = 0;
            if (::waitpid(this->pid, &wait_status, WNOHANG) == this->pid) {
                this->status =
                    WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : 128 + WTERMSIG(wait_status);
            } else if (std::chrono::steady_clock::now() >= end) {
                break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return this->status;
    }

    // Peak resident memory (VmHWM) in bytes; 0 after the child has ended.
    std::size_t peak_memory() const {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
        std::string word;
        std::size_t kib = 0;
        while (file >> word && word != "VmHWM:") {
        }
        file >> kib;
        return kib << 10U;
    }

    // Open sockets and pipes; 0 after the child has ended.
    std::size_t open_channels() const {
        std::size_t count = 0;
        std::error_code ended;
        std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->pid) + "/fd",
                                                    ended);
        for (; !ended && entries != std::filesystem::directory_iterator();
             entries.increment(ended)) {
            std::error_code closed;
            std::string target = std::filesystem::read_symlink(entries->path(), closed).string();
            count += target.rfind("socket:", 0) == 0 || target.rfind("pipe:", 0) == 0 ? 1 : 0;
        }
        return count;
    }

private:
    pid_t pid = -1;
    std::optional<int> status;  // Set when the child was reaped.
};

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_PROCESS_H_
