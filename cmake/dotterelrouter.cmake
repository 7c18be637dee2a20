# Functions and settings shared by the CMakeLists.txt files of all folders.

set(DOTTERELROUTER_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wconversion
    -Werror)

# dotterelrouter_library(NAME [SOURCES file...] [DEPENDS target...])
# Defines the library of a folder, which other targets link as
# dotterelrouter::NAME. Without SOURCES the library is header-only.
function(dotterelrouter_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  set(target dotterelrouter_${name})
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR})
    target_compile_options(${target} PRIVATE ${DOTTERELROUTER_WARNINGS})
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${CMAKE_SOURCE_DIR})
    target_link_libraries(${target} INTERFACE ${ARG_DEPENDS})
  endif()
  add_library(dotterelrouter::${name} ALIAS ${target})
endfunction()

# dotterelrouter_test(NAME SOURCES file... [DEPENDS target...])
# Defines a CppUTest program and registers it with CTest. The program's main()
# comes from testing/test_main.cpp. Does nothing if DOTTERELROUTER_TESTS is
# off.
function(dotterelrouter_test name)
  if(NOT DOTTERELROUTER_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES}
                         ${CMAKE_SOURCE_DIR}/testing/test_main.cpp)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${DOTTERELROUTER_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} PkgConfig::CPPUTEST)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
