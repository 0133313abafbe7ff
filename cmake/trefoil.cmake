# trefoil_library(NAME SOURCES... DEPENDS...) builds the sources of packages/NAME as the static
# library trefoil_NAME.
function(trefoil_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;SEPARATE" ${ARGN})
  add_library(trefoil_${name} STATIC ${arg_SOURCES})
  target_include_directories(trefoil_${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
  target_link_libraries(trefoil_${name} PUBLIC ${arg_DEPENDS} Threads::Threads)
endfunction()

# trefoil_test(NAME SOURCES... DEPENDS... [SEPARATE...]) builds one Boost.Test program and registers
# it with CTest. Each test case listed under SEPARATE is registered as its own CTest test,
# NAME.CASE, so that KNOWN-RED.txt can list it separately.
function(trefoil_test name)
  if(NOT TREFOIL_TESTS)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;SEPARATE" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS} Boost::unit_test_framework)
  set(remaining_cases)
  foreach(case ${arg_SEPARATE})
    add_test(NAME ${name}.${case} COMMAND ${name} --log_level=test_suite --run_test=${case})
    set_tests_properties(${name}.${case} PROPERTIES TIMEOUT 120)
    list(APPEND remaining_cases --run_test=!${case})
  endforeach()
  add_test(NAME ${name} COMMAND ${name} --log_level=test_suite ${remaining_cases})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()

# trefoil_measures_memory(NAME) marks a test that checks resident memory. It disables the quarantine
# in which AddressSanitizer otherwise holds freed memory.
function(trefoil_measures_memory name)
  if(TREFOIL_TESTS AND TREFOIL_SANITIZE)
    set_tests_properties(${name} PROPERTIES
      ENVIRONMENT "ASAN_OPTIONS=quarantine_size_mb=0:thread_local_quarantine_size_kb=0")
  endif()
endfunction()
