# Tests that run what the pages show.
add_test(NAME readme_page COMMAND "${CMAKE_SOURCE_DIR}/tests/readme_page.sh")
set_tests_properties(readme_page PROPERTIES ENVIRONMENT "BUILD=${CMAKE_BINARY_DIR}" TIMEOUT 300)
add_test(NAME callers_page COMMAND "${CMAKE_SOURCE_DIR}/tests/callers_page.sh")
set_tests_properties(callers_page PROPERTIES ENVIRONMENT "BUILD=${CMAKE_BINARY_DIR}" TIMEOUT 120 RESOURCE_LOCK fleet)
add_test(NAME operators_page COMMAND "${CMAKE_SOURCE_DIR}/tests/operators_page.sh")
set_tests_properties(operators_page PROPERTIES ENVIRONMENT "BUILD=${CMAKE_BINARY_DIR}" TIMEOUT 60)
add_test(NAME glossary_page COMMAND "${CMAKE_SOURCE_DIR}/tests/glossary_page.sh")
set_tests_properties(glossary_page PROPERTIES TIMEOUT 60)
