# trefoil_library(NAME SOURCES... DEPENDS...) builds packages/NAME as the library trefoil_NAME.
function(trefoil_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(trefoil_${name} STATIC ${arg_SOURCES})
  target_include_directories(trefoil_${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
  target_link_libraries(trefoil_${name} PUBLIC ${arg_DEPENDS} Threads::Threads)
endfunction()

# trefoil_test(NAME SOURCES... DEPENDS...) builds one Boost.Test program and registers it with CTest.
function(trefoil_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name} --log_level=test_suite)
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()
