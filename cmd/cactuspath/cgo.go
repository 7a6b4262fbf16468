package main

// Linked against the system's C library, which the platforms that we run on
// expect of every program.
import _ "runtime/cgo"
