package sizing

import (
	"context"
	"testing"
)

// Guards against measured fleets that do not start, or whose changes do not arrive.
func TestSmallFleetIsMeasured(t *testing.T) {
	r, err := startFleet(context.Background(), 2, fanoutSettings())
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	times, err := r.changeOnce(context.Background(), 2)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(times), 2; got != want {
		t.Errorf("got the change in force on %d nodes, want %d", got, want)
	}
	if r.traffic.wireBytes() == 0 {
		t.Error("got no bytes between the nodes")
	}
}
