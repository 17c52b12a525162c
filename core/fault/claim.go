package fault

// Claim says what a refusal asserts about the work that was asked for.
type Claim string

const (
	// NotRun asserts that the work did not run and will not run.
	NotRun Claim = "not_run"
	// OutcomeUnknown asserts that the work may have run.
	OutcomeUnknown Claim = "outcome_unknown"
	// Partial asserts that the work ran in part; what was delivered is valid.
	Partial Claim = "partial"
)
