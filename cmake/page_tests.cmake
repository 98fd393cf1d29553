# Tests that run what the pages show.
add_test(NAME readme_page COMMAND "${CMAKE_SOURCE_DIR}/tests/readme_page.sh")
set_tests_properties(readme_page PROPERTIES ENVIRONMENT "BUILD=${CMAKE_BINARY_DIR}" TIMEOUT 300)
