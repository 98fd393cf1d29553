# Installs the library, its public headers by module and the files for find_package(endivestage).
# The daemon's adapters and the stand-ins are not part of the library.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(TARGETS endivestage EXPORT endivestage-targets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
if(TARGET endivestage_binary)
  install(TARGETS endivestage_binary RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
endif()
foreach(module IN LISTS CORE_MODULES)
  install(FILES endivestage/${module}.hpp
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/endivestage)
  # Public headers include those in internal, so they are installed as well.
  install(DIRECTORY endivestage/${module}
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/endivestage FILES_MATCHING PATTERN "*.hpp")
endforeach()

set(package_folder ${CMAKE_INSTALL_LIBDIR}/cmake/endivestage)
install(EXPORT endivestage-targets NAMESPACE endivestage:: DESTINATION ${package_folder})
configure_package_config_file(cmake/endivestage-config.cmake.in
                              "${CMAKE_BINARY_DIR}/endivestage-config.cmake"
                              INSTALL_DESTINATION ${package_folder})
write_basic_package_version_file("${CMAKE_BINARY_DIR}/endivestage-config-version.cmake"
                                 COMPATIBILITY SameMinorVersion)
install(FILES "${CMAKE_BINARY_DIR}/endivestage-config.cmake"
              "${CMAKE_BINARY_DIR}/endivestage-config-version.cmake"
        DESTINATION ${package_folder})
