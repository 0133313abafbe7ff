// The memory of the test process, for tests that show that it stays bounded.

#ifndef TREFOIL_BASE_TESTING_MEMORY_PEAK_H_
#define TREFOIL_BASE_TESTING_MEMORY_PEAK_H_

#include <cstddef>
#include <fstream>
#include <string>

namespace trefoil::testing {

// The most resident memory since the construction. One at a time: the kernel keeps one mark.
class memory_peak {
public:
    memory_peak() {
        std::ofstream("/proc/self/clear_refs") << "5";
        this->before = highest();
    }

    // Bytes above what was resident at first.
    std::size_t growth() const {
        std::size_t now = highest();
        return now > this->before ? now - this->before : 0;
    }

private:
    static std::size_t highest() {
        std::ifstream status("/proc/self/status");
        std::string word;
        std::size_t kib = 0;
        while (status >> word && word != "VmHWM:") {
        }
        status >> kib;
        return kib << 10U;
    }

    std::size_t before = 0;
};

}  // namespace trefoil::testing

#endif  // TREFOIL_BASE_TESTING_MEMORY_PEAK_H_
