// Measures the peak memory of the test process, for tests that check that memory stays bounded.

#ifndef TREFOIL_BASE_TESTING_MEMORY_PEAK_H_
#define TREFOIL_BASE_TESTING_MEMORY_PEAK_H_

#include <cstddef>
#include <fstream>
#include <string>

namespace trefoil::testing {

// Measures the peak resident memory since construction. Only one object may be in use at a time,
// because the kernel keeps one high-water mark per process.
class memory_peak {
public:
    memory_peak() {
        std::ofstream("/proc/self/clear_refs") << "5";
        this->initial = read_peak();
    }

    // Returns the number of bytes by which the peak exceeds the resident memory at construction.
    std::size_t growth() const {
        std::size_t now = read_peak();
        return now > this->initial ? now - this->initial : 0;
    }

private:
    static std::size_t read_peak() {
        std::ifstream status("/proc/self/status");
        std::string word;
        std::size_t kib = 0;
        while (status >> word && word != "VmHWM:") {
        }
        status >> kib;
        return kib << 10U;
    }

    std::size_t initial = 0;
};

}  // namespace trefoil::testing

#endif  // TREFOIL_BASE_TESTING_MEMORY_PEAK_H_
