package fakes

import (
	"math"
	"math/rand/v2"
	"time"
)

// ServiceTime is the distribution of the time for which a sub-request occupies a slot: Fixed, Exponential or LogNormal.
type ServiceTime interface{ serviceTime() }

// Fixed is a constant service time.
type Fixed struct{ Time time.Duration }

// Exponential is an exponential distribution.
type Exponential struct{ Mean time.Duration }

// LogNormal is a log-normal distribution. Sigma is the standard deviation of the logarithm.
type LogNormal struct {
	Median time.Duration
	Sigma  float64
}

func (Fixed) serviceTime()       {}
func (Exponential) serviceTime() {}
func (LogNormal) serviceTime()   {}

// sample returns a random service time.
func sample(distribution ServiceTime, random *rand.Rand) time.Duration {
	switch d := distribution.(type) {
	case Fixed:
		return d.Time
	case Exponential:
		return time.Duration(float64(d.Mean) * random.ExpFloat64())
	case LogNormal:
		return time.Duration(float64(d.Median) * math.Exp(d.Sigma*random.NormFloat64()))
	default:
		return 0
	}
}
