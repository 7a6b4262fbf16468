package soak

import (
	"sync"
	"syscall"
	"time"
)

// step is one fault that begins now; it returns how the fault ends.
type step func() (end func())

// trouble lets random faults begin, overlap and end.
func (s *soak) trouble(d time.Duration) {
	var ends sync.WaitGroup
	down := make(chan struct{}, tolerate)
	for until := time.Now().Add(d); time.Now().Before(until); {
		lasts := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
		end := s.pick(down)()
		ends.Go(func() {
			time.Sleep(lasts)
			end()
		})
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
	}
	ends.Wait()
}

// pick draws a fault. No more replicas are lost at once than the group bears.
func (s *soak) pick(down chan struct{}) step {
	replica, node := s.replicas[s.random.IntN(replicas)], s.random.IntN(len(s.nodes))
	anyProcess := s.nodes[node]
	if s.random.IntN(3) == 0 {
		anyProcess = replica
	}
	k := anyProcess.links[0]
	wipe := s.random.IntN(2) == 0
	switch s.random.IntN(9) {
	case 0:
		return s.ofReplica(down, replica, func() func() {
			replica.end(syscall.SIGKILL)
			if wipe {
				replica.loseDisk(s.t)
			}
			return func() { replica.start(s.t) }
		})
	case 1:
		return s.ofReplica(down, replica, func() func() {
			replica.signal(syscall.SIGSTOP)
			return func() { replica.signal(syscall.SIGCONT) }
		})
	case 2:
		return once(anyOf(s.nodes[node]), func() func() {
			s.nodes[node].end(syscall.SIGKILL)
			return func() { s.nodes[node].start(s.t) }
		})
	case 3:
		return once(anyOf(s.nodes[node]), func() func() {
			s.stopAsPlanned(s.nodes[node])
			return func() { s.nodes[node].start(s.t) }
		})
	case 4:
		return once(anyOf(s.nodes[node]), func() func() {
			s.nodes[node].signal(syscall.SIGSTOP)
			return func() { s.nodes[node].signal(syscall.SIGCONT) }
		})
	case 5:
		return joined(anyProcess, func() { k.silent.Store(true) })
	case 6:
		return joined(anyProcess, func() { k.oneWay.Store(true) })
	case 7:
		delay := time.Duration(5+s.random.IntN(60)) * time.Millisecond
		return joined(anyProcess, func() { k.delay.Store(int64(delay)); k.reset() })
	}
	return func() func() { s.backends[node].drain(true); return func() { s.backends[node].drain(false) } }
}

// joined begins a fault of the link to a process.
func joined(p *process, begin func()) step {
	return func() func() {
		p.strike(1)
		begin()
		return func() {
			p.links[0].heal()
			p.strike(-1)
		}
	}
}

var busy sync.Map

func anyOf(p *process) *process { return p }

// once begins a fault of a process unless another one has it.
func once(p *process, begin step) step {
	return func() func() {
		if _, taken := busy.LoadOrStore(p, true); taken {
			return func() {}
		}
		end := begin()
		return func() {
			end()
			busy.Delete(p)
		}
	}
}

// lostFor is how long a replica that is back still counts as lost: it has to
// catch up.
const lostFor = 4 * time.Second

func (s *soak) ofReplica(down chan struct{}, p *process, begin step) step {
	return func() func() {
		select {
		case down <- struct{}{}:
		default:
			return func() {}
		}
		end := once(p, begin)()
		return func() {
			end()
			time.Sleep(lostFor)
			<-down
		}
	}
}

func (s *soak) heal() {
	for _, p := range append(append([]*process{}, s.replicas...), s.nodes...) {
		for _, k := range p.links {
			k.heal()
		}
	}
	for _, b := range s.backends {
		b.drain(false)
	}
}
