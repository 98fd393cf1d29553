# Installation and the test that another project can use what is installed.
include(cmake/install.cmake)
add_test(NAME embedding_example
         COMMAND "${CMAKE_SOURCE_DIR}/tests/embedding_example.sh" "${CMAKE_BINARY_DIR}"
                 "${CMAKE_CXX_COMPILER}")
set_tests_properties(embedding_example PROPERTIES TIMEOUT 300)

find_program(DOXYGEN_PROGRAM doxygen REQUIRED)
add_test(NAME documentation
         COMMAND "${CMAKE_SOURCE_DIR}/tests/documentation.sh" "${CMAKE_BINARY_DIR}")
