package quar

// Verdict is the result of Check: Clear, Suspect or Quarantined.
type Verdict interface{ verdict() }

// Clear says that nothing is held against the request.
type Clear struct{}

// Suspect says that each attempt must run alone on its searcher, one shard at a time.
type Suspect struct{}

// Quarantined says that the request must be refused.
type Quarantined struct{}

func (Clear) verdict()       {}
func (Suspect) verdict()     {}
func (Quarantined) verdict() {}
