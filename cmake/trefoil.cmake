# trefoil_library(NAME SOURCES... DEPENDS...) builds packages/NAME as the library trefoil_NAME.
function(trefoil_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;SEPARATE" ${ARGN})
  add_library(trefoil_${name} STATIC ${arg_SOURCES})
  target_include_directories(trefoil_${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
  target_link_libraries(trefoil_${name} PUBLIC ${arg_DEPENDS} Threads::Threads)
endfunction()

# trefoil_test(NAME SOURCES... DEPENDS... [SEPARATE...]) builds one Boost.Test program and registers it
# with CTest. Each case named under SEPARATE is a CTest test of its own, NAME.CASE, so that
# KNOWN-RED.txt can name it alone.
function(trefoil_test name)
  if(NOT TREFOIL_TESTS)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;SEPARATE" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS} Boost::unit_test_framework)
  set(others)
  foreach(case ${arg_SEPARATE})
    add_test(NAME ${name}.${case} COMMAND ${name} --log_level=test_suite --run_test=${case})
    set_tests_properties(${name}.${case} PROPERTIES TIMEOUT 120)
    list(APPEND others --run_test=!${case})
  endforeach()
  add_test(NAME ${name} COMMAND ${name} --log_level=test_suite ${others})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()

# trefoil_measures_memory(NAME) says that a test checks how much memory stays resident. AddressSanitizer
# otherwise keeps freed memory for some time.
function(trefoil_measures_memory name)
  if(TREFOIL_TESTS AND TREFOIL_SANITIZE)
    set_tests_properties(${name} PROPERTIES
      ENVIRONMENT "ASAN_OPTIONS=quarantine_size_mb=0:thread_local_quarantine_size_kb=0")
  endif()
endfunction()
