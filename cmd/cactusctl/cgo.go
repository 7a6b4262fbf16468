package main

// Links the program against the system's C library, like cactuspath.
import _ "runtime/cgo"
