package main

// Links the program against the system's C library, as cmd/cactuspath does.
import _ "runtime/cgo"
