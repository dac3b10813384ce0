package quar

// Verdict is the result of Check: Clear, Suspect or Quarantined.
type Verdict interface{ verdict() }

// Clear means that there is no evidence against the request.
type Clear struct{}

// Suspect means that each attempt must run alone on its searcher, one shard at a time.
type Suspect struct{}

// Quarantined means that the request must be refused.
type Quarantined struct{}

func (Clear) verdict()       {}
func (Suspect) verdict()     {}
func (Quarantined) verdict() {}
