package status

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/conf"
)

// Report is the status report: the state of a node and of the fleet as the node sees it.
type Report struct {
	ID               string `json:"id"`
	Incarnation      uint64 `json:"incarnation,string"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	State            State  `json:"state"`
	// UptimeSeconds is the time since the node was created.
	UptimeSeconds float64          `json:"uptime_seconds"`
	Documents     []Document       `json:"documents"`
	Members       []Member         `json:"members"`
	Searchers     []Searcher       `json:"searchers"`
	Reasons       map[string]int64 `json:"reasons"`
}

// State is the lifecycle state of a node.
type State string

// The states of a node.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Resuming State = "resuming"
	Stopping State = "stopping"
)

// Document is the state of a configuration document at the node.
type Document struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Hash is the hash of the content, in hexadecimal.
	Hash string `json:"hash"`
	// Rejected is the latest revision that was rejected, or nil.
	Rejected *Rejection `json:"rejected,omitempty"`
}

// Rejection is an invalid revision of a document that was not put in force.
type Rejection struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Faults   []Fault   `json:"faults"`
}

// Fault is an error in a document.
type Fault struct {
	List    string `json:"list"`
	Section string `json:"section"`
	// Key is empty when the fault concerns the whole section.
	Key     string `json:"key"`
	Problem string `json:"problem"`
}

// NewFaults returns the faults in an error of the packages conf, plans or shards. Any other error becomes one fault of the whole list.
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

// Member is a node of the fleet as the reporting node sees it.
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
