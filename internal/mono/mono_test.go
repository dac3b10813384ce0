package mono

import (
	"testing"
	"time"
	"unsafe"
)

// stepped returns a time that the process reads after its time of day was stepped forward by whole seconds.
func stepped(t time.Time, seconds uint64) time.Time {
	// The first word holds the seconds above 30 bits of nanoseconds if there is a monotonic reading.
	const nanosecondBits = 30
	*(*uint64)(unsafe.Pointer(&t)) += seconds << nanosecondBits
	return t
}

// Guards against durations that change when the time of day is stepped, and against times that are taken for no time.
func TestNanos(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		from, to time.Time
		want     time.Duration
	}{
		"not stepped":             {from: now, to: now.Add(time.Second), want: time.Second},
		"stepped":                 {from: now, to: stepped(now.Add(time.Second), 3600), want: time.Second},
		"no monotonic reading":    {from: time.Unix(1_700_000_000, 0), to: time.Unix(1_700_000_001, 0), want: time.Second},
		"there and back":          {from: now, to: Time(Nanos(now)), want: 0},
		"there and back, stepped": {from: now, to: Time(Nanos(stepped(now, 3600))), want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := time.Duration(Nanos(test.to) - Nanos(test.from)); got != test.want {
				t.Errorf("got %v between the two, want %v", got, test.want)
			}
			if Nanos(test.from) <= 0 {
				t.Errorf("got %d, want a positive number", Nanos(test.from))
			}
		})
	}
}
