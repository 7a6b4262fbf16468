package gate

import (
	"math"
	"time"
)

// arrivalTime is the time constant of the measured rate of arrivals.
const arrivalTime = 2 * time.Second

// arrivalRate measures how many requests arrive per second.
type arrivalRate struct {
	rate float64
	at   time.Duration
}

// ArrivalRate returns the recent number of requests per second that have arrived.
func (g *Gate) ArrivalRate(now time.Duration) float64 { return g.arrivals.perSecond(now) }

func (r *arrivalRate) record(now time.Duration) {
	r.rate = r.perSecond(now) + 1/arrivalTime.Seconds()
	r.at = now
}

// perSecond returns the decayed rate.
func (r *arrivalRate) perSecond(now time.Duration) float64 {
	return r.rate * math.Exp(-(now-r.at).Seconds()/arrivalTime.Seconds())
}
