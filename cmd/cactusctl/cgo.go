package main

// Linked against the system's C library, as cactuspath is.
import _ "runtime/cgo"
