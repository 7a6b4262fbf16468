// Package soak holds a randomized soak of the real programs. It is made of tests
// only, so that neither program can start a process:
//
//	go test ./internal/soak -run Soak -seed 7 -for 30s
//
// Control replicas and nodes run as processes on loopback, joined by proxies that
// can delay, reset, cut and silence them; processes are stopped, paused, killed
// and started again, and disks are lost. Meanwhile callers and operators work,
// and what they and the backend servers see is checked against the promises.
package soak
