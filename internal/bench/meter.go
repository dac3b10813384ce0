package bench

import (
	"context"
	"math"
	"runtime/metrics"
	"slices"
	"syscall"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// counters holds the values of all counters at an offset from the start of the trial, or their growth.
type counters struct {
	at      time.Duration
	sent    int64
	needed  int64
	hedges  int64
	runs    int64
	cpu     time.Duration
	objects uint64
}

// sampleCounters reads the counters at the start and end of each window.
func (t *trial) sampleCounters(ctx context.Context) {
	var times []time.Duration
	for _, w := range t.scenario.windows {
		times = append(times, w.From, w.To)
	}
	slices.Sort(times)
	for _, at := range slices.Compact(times) {
		if !t.sleepUntil(ctx, at) {
			return
		}
		t.samples = append(t.samples, t.readCounters(at))
	}
}

func (t *trial) readCounters(at time.Duration) counters {
	m := counters{at: at, cpu: cpuTime(), objects: allocated()}
	for _, n := range t.nodes.Nodes() {
		attempts := n.Node().Attempts()
		m.sent += attempts.Sent()
		m.needed += attempts.Needed()
		m.hedges += n.Node().Counters().Count(wire.Reason_REASON_HEDGE)
	}
	for _, s := range t.searchers.Searchers(collection) {
		m.runs += int64(s.Started())
	}
	return m
}

// growth returns the growth of the counters in a window.
func (t *trial) growth(w Window) counters {
	find := func(at time.Duration) counters {
		i := slices.IndexFunc(t.samples, func(m counters) bool { return m.at == at })
		return t.samples[i]
	}
	from, to := find(w.From), find(w.To)
	return counters{
		sent:    to.sent - from.sent,
		needed:  to.needed - from.needed,
		hedges:  to.hedges - from.hedges,
		runs:    to.runs - from.runs,
		cpu:     to.cpu - from.cpu,
		objects: to.objects - from.objects,
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// allocated returns the number of heap objects that this process has allocated.
func allocated() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Capacity returns the queries/s that the fleet's slots can serve: all slots of a shard's replicas over the mean service time.
func Capacity() float64 {
	mean := serviceMedian.Seconds() * math.Exp(serviceSigma*serviceSigma/2)
	return replicas * slots / mean
}
