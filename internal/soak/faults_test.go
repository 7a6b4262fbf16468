package soak

import (
	"sync"
	"syscall"
	"time"
)

// injection is a function that starts a fault and returns a function that ends it.
type injection func() (end func())

// injectFaults injects random, overlapping faults for d and waits until they have ended.
func (s *soak) injectFaults(d time.Duration) {
	var pending sync.WaitGroup
	lostReplicas := make(chan struct{}, tolerate)
	for until := time.Now().Add(d); time.Now().Before(until); {
		duration := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
		end := s.randomFault(lostReplicas)()
		pending.Go(func() {
			time.Sleep(duration)
			end()
		})
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
	}
	pending.Wait()
}

// randomFault selects a fault. It never disables more replicas at once than the group tolerates.
func (s *soak) randomFault(lostReplicas chan struct{}) injection {
	replica, node := s.replicas[s.random.IntN(replicas)], s.random.IntN(len(s.nodes))
	anyProcess := s.nodes[node]
	if s.random.IntN(3) == 0 {
		anyProcess = replica
	}
	k := anyProcess.links[0]
	loseDisk := s.random.IntN(2) == 0
	kinds := 9
	if s.silence {
		kinds++
	}
	switch s.random.IntN(kinds) {
	case 0:
		return s.replicaFault(lostReplicas, replica, func() func() {
			replica.terminate(syscall.SIGKILL)
			if loseDisk {
				replica.loseDisk(s.t)
			}
			return func() { replica.start(s.t) }
		})
	case 1:
		return s.replicaFault(lostReplicas, replica, func() func() {
			replica.signal(syscall.SIGSTOP)
			return func() { replica.signal(syscall.SIGCONT) }
		})
	case 2:
		return exclusive(faultTarget(s.nodes[node]), func() func() {
			s.nodes[node].terminate(syscall.SIGKILL)
			return func() { s.nodes[node].start(s.t) }
		})
	case 3:
		return exclusive(faultTarget(s.nodes[node]), func() func() {
			s.gracefulStop(s.nodes[node])
			return func() { s.nodes[node].start(s.t) }
		})
	case 4:
		return exclusive(faultTarget(s.nodes[node]), func() func() {
			s.nodes[node].signal(syscall.SIGSTOP)
			return func() { s.nodes[node].signal(syscall.SIGCONT) }
		})
	case 5:
		return linkFault(anyProcess, func() { k.dropAll.Store(true) })
	case 6:
		return linkFault(anyProcess, func() { k.dropResponses.Store(true) })
	case 7:
		delay := time.Duration(5+s.random.IntN(60)) * time.Millisecond
		return linkFault(anyProcess, func() { k.delay.Store(int64(delay)); k.resetConnections() })
	case 9:
		return linkFault(anyProcess, k.silence)
	}
	return func() func() {
		s.backends[node].setDraining(true)
		return func() { s.backends[node].setDraining(false) }
	}
}

// linkFault returns an injection of a fault of the process's link.
func linkFault(p *process, begin func()) injection {
	return func() func() {
		p.addFaults(1)
		begin()
		return func() {
			p.links[0].heal()
			p.addFaults(-1)
		}
	}
}

var faultyProcesses sync.Map

func faultTarget(p *process) *process { return p }

// exclusive returns an injection that starts the fault unless another exclusive fault of the same
// process is active.
func exclusive(p *process, begin injection) injection {
	return func() func() {
		if _, taken := faultyProcesses.LoadOrStore(p, true); taken {
			return func() {}
		}
		end := begin()
		return func() {
			end()
			faultyProcesses.Delete(p)
		}
	}
}

// replicaCatchUpTime is the time after a restart during which a replica counts as lost, because it
// still has to receive the changes that it has missed.
const replicaCatchUpTime = 4 * time.Second

func (s *soak) replicaFault(lostReplicas chan struct{}, p *process, begin injection) injection {
	return func() func() {
		select {
		case lostReplicas <- struct{}{}:
		default:
			return func() {}
		}
		end := exclusive(p, begin)()
		return func() {
			end()
			time.Sleep(replicaCatchUpTime)
			<-lostReplicas
		}
	}
}

func (s *soak) healAll() {
	for _, p := range append(append([]*process{}, s.replicas...), s.nodes...) {
		for _, k := range p.links {
			k.heal()
		}
	}
	for _, b := range s.backends {
		b.setDraining(false)
	}
}
