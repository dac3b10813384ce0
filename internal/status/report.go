package status

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/conf"
)

// Report is a node's view of itself and of the fleet, as served by the status page.
type Report struct {
	ID               string `json:"id"`
	Incarnation      uint64 `json:"incarnation,string"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	State            State  `json:"state"`
	// UptimeSeconds counts from the start of the process.
	UptimeSeconds float64          `json:"uptime_seconds"`
	Documents     []Document       `json:"documents"`
	Members       []Member         `json:"members"`
	Searchers     []Searcher       `json:"searchers"`
	Reasons       map[string]int64 `json:"reasons"`
}

// State is the phase of a node's life.
type State string

// The states of a node.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Resuming State = "resuming"
	Stopping State = "stopping"
)

// Document is one document in force.
type Document struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Hash names the content, in hexadecimal.
	Hash string `json:"hash"`
	// Rejected is the last revision that was not put in force, or nil.
	Rejected *Rejection `json:"rejected,omitempty"`
}

// Rejection is a revision of a document that is invalid.
type Rejection struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Faults   []Fault   `json:"faults"`
}

// Fault is one mistake in a document.
type Fault struct {
	List    string `json:"list"`
	Section string `json:"section"`
	// Key is empty when the whole section is at fault.
	Key     string `json:"key"`
	Problem string `json:"problem"`
}

// NewFaults returns the faults in an error of internal/conf, plans or shards. Another error counts as one fault of the whole list.
func NewFaults(list string, err error) []Fault {
	faults := []Fault{}
	if err == nil {
		return faults
	}
	for _, fault := range (conf.Faults{}).AppendError(err) {
		faults = append(faults, Fault{List: list, Section: fault.Section(), Key: fault.Key(), Problem: fault.Problem()})
	}
	return faults
}

// Member is a node as seen by the reporting node.
type Member struct {
	ID               string `json:"id"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Incarnation      uint64 `json:"incarnation,string"`
	// State is live, suspect or leaving.
	State string `json:"state"`
}

// Searcher is a searcher that the node owns.
type Searcher struct {
	ID         string `json:"id"`
	Collection string `json:"collection"`
	// Role is primary, secondary or standby.
	Role        string `json:"role"`
	Leaving     bool   `json:"leaving"`
	Limit       int    `json:"limit"`
	InFlight    int    `json:"in_flight"`
	Waiting     int    `json:"waiting"`
	Connections int    `json:"connections"`
}
