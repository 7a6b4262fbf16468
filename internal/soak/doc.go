// Package soak holds a randomized soak of the real programs. It is made of tests
// only, so that neither program can start a process:
//
//	go test ./internal/soak -run Soak -seed 7 -for 30s
//
// Control replicas and nodes run as processes on loopback, joined by proxies that
// can delay, reset, cut and silence them; processes are stopped, paused, killed
// and started again, disks are lost, and backend servers crash and restart. Such
// faults come singly and in series, and overlap. Meanwhile callers and operators work, some callers with uploads on
// connections that they keep, and what they and the backend servers see is checked
// against the promises. At the end nodes are stopped as planned, one after the
// other, with nothing else near.
//
// Many seeds, three at once (a seed takes about 20 s and 1.5 cores):
//
//	go test -c -o /tmp/soak.test ./internal/soak && cd internal/soak &&
//	seq 1 50 | xargs -P 3 -I{} sh -c '/tmp/soak.test -test.run Soak -seed {} -for 8s > /tmp/soak-{}.log 2>&1'
//
// The large size, 100 nodes and 5 replicas:
//
//	go test ./internal/soak -run Soak -seed 1 -for 15s -nodes 100
//
// It took 2.7 GB in the processes (25 MB each, sum of resident memory), 1.2 GB in
// the test, 41 s and 7.6 of 12 cores. Sizes are to stay below half of the machine's
// memory; each run logs what it took.
package soak
