// Package mono represents times as integers for atomic variables. It goes by the monotonic clock, so that a step of the time of day changes no
// duration between two of them.
package mono

import "time"

// span is the time before the start of the process that integers cover, for times without a monotonic reading.
const span = 50 * 365 * 24 * time.Hour

var origin = time.Now().Add(-span)

// Nanos returns a time in nanoseconds since an origin that is the same throughout the process and lies long before its start, so that 0 can stand
// for no time.
func Nanos(t time.Time) int64 { return int64(t.Sub(origin)) }

// Time returns the time that Nanos turned into an integer.
func Time(nanos int64) time.Time { return origin.Add(time.Duration(nanos)) }
