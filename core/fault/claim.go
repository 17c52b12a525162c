package fault

// Claim is what a refusal asserts about the requested work.
type Claim string

const (
	// NotRun asserts that the work did not run and will not run.
	NotRun Claim = "not_run"
	// OutcomeUnknown asserts that the work may have run.
	OutcomeUnknown Claim = "outcome_unknown"
	// Partial asserts that the work ran in part and that the delivered part is valid.
	Partial Claim = "partial"
)
