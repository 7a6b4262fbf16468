package main

// Links the program against the system's C library, which the supported platforms
// require of every program.
import _ "runtime/cgo"
