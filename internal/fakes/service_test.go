package fakes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// TestServiceTimes guards against distributions whose mean or standard deviation differs from the settings.
func TestServiceTimes(t *testing.T) {
	const samples = 20000
	cases := map[string]struct {
		distribution ServiceTime
		mean         time.Duration
		// deviation is the standard deviation.
		deviation time.Duration
	}{
		"fixed":       {distribution: Fixed{Time: 3 * time.Millisecond}, mean: 3 * time.Millisecond},
		"exponential": {distribution: Exponential{Mean: 4 * time.Millisecond}, mean: 4 * time.Millisecond, deviation: 4 * time.Millisecond},
		// mean = median·exp(σ²/2) and deviation = mean·√(exp(σ²)−1), with σ 0.5 and median 4 ms.
		"log-normal": {distribution: LogNormal{Median: 4 * time.Millisecond, Sigma: 0.5}, mean: 4532593, deviation: 2415624},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var sum, squares float64
			for range samples {
				sampled := float64(sample(c.distribution, random))
				sum += sampled
				squares += sampled * sampled
			}
			mean := sum / samples
			deviation := math.Sqrt(max(0, squares/samples-mean*mean))
			if math.Abs(mean-float64(c.mean)) > 0.05*float64(c.mean) {
				t.Errorf("got mean %v, want %v", time.Duration(mean), c.mean)
			}
			if math.Abs(deviation-float64(c.deviation)) > 0.1*float64(c.mean) {
				t.Errorf("got deviation %v, want %v", time.Duration(deviation), c.deviation)
			}
		})
	}
}

// TestSlowAndCold guards against stragglers and cold searchers whose service times are not multiplied.
func TestSlowAndCold(t *testing.T) {
	const base = 10 * time.Millisecond
	cases := map[string]struct {
		slow float64
		age  time.Duration
		want time.Duration
	}{
		"warm":               {slow: 1, age: time.Hour, want: base},
		"end of the warm-up": {slow: 1, age: 4 * time.Second, want: base},
		"straggler":          {slow: 5, age: time.Hour, want: 5 * base},
		"cold":               {slow: 1, age: 0, want: 3 * base},
		"half warm":          {slow: 1, age: 2 * time.Second, want: 2 * base},
		"cold straggler":     {slow: 2, age: 0, want: 6 * base},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings {
				return serviceTime(base)(settings).WithColdStart(3, 4*time.Second)
			})
			s.SetSlowdown(c.slow)
			p := s.process.Load()
			if got := s.sampleServiceTime(p.coldStartFactor(p.startedAt.Add(c.age))); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestServiceTimeIsSpent guards against replies that are sent before the service time has elapsed.
func TestServiceTimeIsSpent(t *testing.T) {
	const total = 60 * time.Millisecond
	s := startTestSearcher(t, serviceTime(total/3))
	s.SetSlowdown(3)
	start := time.Now()
	reply, err := search(newClient(t), s, searchRequest(1, "a", 0))
	if err != nil {
		t.Fatal(err)
	}
	if got := time.Since(start); got < total {
		t.Errorf("got a reply after %v, want at least %v", got, total)
	}
	if got := reply.GetService().AsDuration(); got < total {
		t.Errorf("got service time %v, want at least %v", got, total)
	}
}

// TestHits guards against hits that checkers cannot recompute, or that do not differ by collection, snapshot, shard or query.
func TestHits(t *testing.T) {
	base := Hits("archive", 7, 3, "red lamp", 20)
	cases := map[string]struct {
		hits   []*wire.Hit
		length int
		// same is true if the hits and base are prefixes of one another.
		same bool
	}{
		"again":             {hits: Hits("archive", 7, 3, "red lamp", 20), length: 20, same: true},
		"fewer":             {hits: Hits("archive", 7, 3, "red lamp", 5), length: 5, same: true},
		"no limit":          {hits: Hits("archive", 7, 3, "red lamp", 0), length: DefaultHits, same: true},
		"above the maximum": {hits: Hits("archive", 8, 3, "red lamp", MaxHits+1), length: MaxHits},
		"other collection":  {hits: Hits("archives", 7, 3, "red lamp", 20), length: 20},
		"other snapshot":    {hits: Hits("archive", 8, 3, "red lamp", 20), length: 20},
		"other shard":       {hits: Hits("archive", 7, 4, "red lamp", 20), length: 20},
		"other query":       {hits: Hits("archive", 7, 3, "red lamps", 20), length: 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if len(c.hits) != c.length {
				t.Fatalf("got %d hits, want %d", len(c.hits), c.length)
			}
			for i, hit := range c.hits {
				if i < len(base) && proto.Equal(hit, base[i]) != c.same {
					t.Errorf("hit %d: got %v beside %v, want equal: %v", i, hit, base[i], c.same)
				}
				if i > 0 && hit.GetScore() > c.hits[i-1].GetScore() {
					t.Errorf("hit %d: got a score above that of the preceding hit", i)
				}
			}
		})
	}
}

// TestRunLog guards against a run log that marks the wrong run as finished once it is full, or whose non-idempotent runs are evicted by
// other runs.
func TestRunLog(t *testing.T) {
	const limit = 4
	cases := map[string]struct {
		runs    int
		finish  uint64
		first   uint64
		kept    int
		dropped int
	}{
		"not full":      {runs: 3, finish: 2, first: 1, kept: 3},
		"full":          {runs: 4, finish: 1, first: 1, kept: 4},
		"oldest gone":   {runs: 6, finish: 2, first: 3, kept: 4, dropped: 2},
		"older half":    {runs: 6, finish: 4, first: 3, kept: 4, dropped: 2},
		"newer half":    {runs: 6, finish: 6, first: 3, kept: 4, dropped: 2},
		"wrapped twice": {runs: 8, finish: 8, first: 5, kept: 4, dropped: 4},
		"unknown run":   {runs: 6, finish: 9, first: 3, kept: 4, dropped: 2},
		"no runs":       {runs: 0, finish: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := newRunLog(limit)
			for i := range c.runs {
				log.add(Run{attempt: uint64(i + 1)})
			}
			log.finish(c.finish, false)
			log.add(Run{attempt: 100, nonIdempotent: true})
			runs := log.runs()
			if len(runs) != c.kept+1 || log.dropped() != c.dropped {
				t.Fatalf("got %d runs, %d dropped, want %d, %d", len(runs), log.dropped(), c.kept+1, c.dropped)
			}
			for i, run := range runs[:c.kept] {
				if want := c.first + uint64(i); run.AttemptID() != want {
					t.Errorf("run %d: got attempt %d, want %d", i, run.AttemptID(), want)
				}
				if got, want := run.Finished(), run.AttemptID() == c.finish; got != want {
					t.Errorf("attempt %d: got finished %v, want %v", run.AttemptID(), got, want)
				}
			}
			if last := runs[c.kept]; last.AttemptID() != 100 || last.Finished() {
				t.Errorf("got %+v, want the unfinished non-idempotent run", last)
			}
		})
	}
}

// BenchmarkSearch measures sub-requests to one searcher without service time, over as many connections as processors.
func BenchmarkSearch(b *testing.B) {
	s, err := StartSearcher(NewSearcherSettings("s1").
		WithIndex(testCollection, testSnapshot, testShard).
		WithSlots(64).
		WithServiceTime(Fixed{}, 1))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	client := newClient(b)
	request := searchRequest(1, "red lamp", time.Minute)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := search(client, s, request); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
