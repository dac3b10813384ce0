package bench

import (
	"math/rand/v2"
	"time"
)

// Values of Load.Arrivals.
const (
	arrivalsPoisson = "poisson"
	arrivalsFixed   = "fixed"
)

// arrivals returns the intended send times of a load, in order, as offsets from the start of the trial. They depend only on
// the arguments, never on the latency of answers (open-loop load).
func arrivals(l Load, perSecond float64, random *rand.Rand) []time.Duration {
	mean := float64(time.Second) / perSecond
	var times []time.Duration
	at := float64(l.From)
	for {
		if l.Arrivals == arrivalsFixed {
			at += mean
		} else {
			at += mean * random.ExpFloat64()
		}
		if at >= float64(l.To) {
			return times
		}
		times = append(times, time.Duration(at))
	}
}
