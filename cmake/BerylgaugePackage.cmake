add_library(berylgauge_flags INTERFACE)
target_compile_options(berylgauge_flags INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
# GCC 12 reports it falsely for std::string at -O3.
target_compile_options(berylgauge_flags INTERFACE $<$<CONFIG:Release>:-Wno-error=restrict>)
target_include_directories(berylgauge_flags INTERFACE ${PROJECT_SOURCE_DIR}/src)
if(BERYLGAUGE_ASAN)
  # GCC 12 reports a false maybe-uninitialized in <regex> with these sanitizers.
  target_compile_options(berylgauge_flags INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -Wno-error=maybe-uninitialized)
  target_link_options(berylgauge_flags INTERFACE -fsanitize=address,undefined)
endif()
if(BERYLGAUGE_TSAN)
  target_compile_options(berylgauge_flags INTERFACE -fsanitize=thread)
  target_link_options(berylgauge_flags INTERFACE -fsanitize=thread)
endif()

# berylgauge_package(NAME DEPENDS lib...): a static library from all sources of the folder and its subfolders, but main.cc.
function(berylgauge_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
  if(sources)
    add_library(berylgauge_${name} STATIC ${sources})
    target_link_libraries(berylgauge_${name} PUBLIC berylgauge_flags ${ARG_DEPENDS} Threads::Threads)
  else()
    add_library(berylgauge_${name} INTERFACE)
    target_link_libraries(berylgauge_${name} INTERFACE berylgauge_flags ${ARG_DEPENDS} Threads::Threads)
  endif()
endfunction()
