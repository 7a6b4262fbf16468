// Package soak contains randomized soak tests of the node and control replica programs. It consists
// of test files only, so that code which starts processes is not linked into either program:
//
//	go test ./internal/soak -run Soak -seed 7 -for 30s
//
// Control replicas and nodes run as processes on loopback, connected through proxies that can
// delay, reset or drop traffic in one or both directions, or silence open connections. Processes
// are stopped, paused, killed and restarted, disks are lost, and backend servers crash and restart.
// These faults are injected individually and in sequences, and overlap. Meanwhile callers and
// operators send requests, including uploads on persistent connections, and the requests and
// responses seen by the callers and the backend servers are checked against the guarantees. At the
// end nodes are stopped gracefully one after the other without any other fault.
//
// To run many seeds, three at once (a seed takes about 20 s and 1.5 cores):
//
//	go test -c -o /tmp/soak.test ./internal/soak && cd internal/soak &&
//	seq 1 50 | xargs -P 3 -I{} sh -c '/tmp/soak.test -test.run Soak -seed {} -for 8s > /tmp/soak-{}.log 2>&1'
//
// To run a large site with 100 nodes and 5 replicas:
//
//	go test ./internal/soak -run Soak -seed 1 -for 15s -nodes 100
//
// This takes 41 s and 7.6 of 12 cores, 2.7 GB of memory in the processes (25 MB each, sum of
// resident memory) and 1.2 GB in the test. Choose sizes that stay below half of the machine's
// memory. Each run logs its memory usage.
package soak
