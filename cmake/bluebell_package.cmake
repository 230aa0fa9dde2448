# Compile options that every target of the workspace shares.
add_library(bluebell_options INTERFACE)
target_compile_options(bluebell_options INTERFACE -Wall -Wextra -Werror -Wno-psabi)
target_compile_definitions(bluebell_options INTERFACE
  BOOST_ALLOW_DEPRECATED_HEADERS
  BOOST_BIND_GLOBAL_PLACEHOLDERS
  BOOST_COROUTINES_NO_DEPRECATION_WARNING
  BOOST_ERROR_CODE_HEADER_ONLY
  SPDLOG_FMT_EXTERNAL)
target_include_directories(bluebell_options INTERFACE 
  ${PROJECT_SOURCE_DIR}/packages ${PROJECT_SOURCE_DIR})
if(BLUEBELL_SANITIZE)
  target_compile_options(bluebell_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  target_link_options(bluebell_options INTERFACE -fsanitize=address,undefined)
endif()
if(BLUEBELL_FUZZ)
  target_compile_options(bluebell_options INTERFACE
    -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  target_link_options(bluebell_options INTERFACE -fsanitize=address,undefined)
endif()
target_link_libraries(bluebell_options INTERFACE Threads::Threads)

if(BLUEBELL_TESTS)
  include(GoogleTest)
endif()

# bluebell_library(<name> [DEPENDS <package>...] [LIBRARIES <library>...]
#   [TESTS_ONE_BY_ONE])
# Builds the static library of the package in the current directory and, when
# tests/ holds sources, its test program <name>_tests. TESTS_ONE_BY_ONE lets
# ctest run each test of the program as a process of its own, side by side.
function(bluebell_library name)
  cmake_parse_arguments(ARG "TESTS_ONE_BY_ONE" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  list(TRANSFORM ARG_DEPENDS PREPEND bluebell_ OUTPUT_VARIABLE dependencies)
  if(sources)
    add_library(bluebell_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(bluebell_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_link_libraries(bluebell_${name} ${scope}
    bluebell_options ${dependencies} ${ARG_LIBRARIES})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(tests AND BLUEBELL_TESTS)
    add_executable(${name}_tests ${tests})
    target_link_libraries(${name}_tests PRIVATE
      bluebell_${name} GTest::gmock GTest::gtest_main)
    set(properties
      TIMEOUT 300 ENVIRONMENT "BLUEBELL_SOURCE_DIR=${PROJECT_SOURCE_DIR}")
    if(ARG_TESTS_ONE_BY_ONE)
      gtest_discover_tests(${name}_tests TEST_PREFIX ${name}.
        PROPERTIES ${properties})
    else()
      add_test(NAME ${name} COMMAND ${name}_tests)
      set_tests_properties(${name} PROPERTIES ${properties})
    endif()
  endif()
endfunction()

# bluebell_program(<name> SOURCES <file>... [DEPENDS <package>...])
function(bluebell_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  list(TRANSFORM ARG_DEPENDS PREPEND bluebell_ OUTPUT_VARIABLE dependencies)
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE
    bluebell_options ${dependencies} ${ARG_LIBRARIES})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
