package sizing

import (
	"context"
	"testing"
)

// TestSmallFleetIsMeasured guards against measured fleets that do not start, or whose nodes do not receive changes.
func TestSmallFleetIsMeasured(t *testing.T) {
	fleet, err := startFleet(context.Background(), 2, fanoutSettings())
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.close()
	times, err := fleet.changeOnce(context.Background(), 2)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(times), 2; got != want {
		t.Errorf("got the change in force on %d nodes, want %d", got, want)
	}
	if fleet.traffic.wireBytes() == 0 {
		t.Error("got no bytes sent between the nodes, want some")
	}
}
