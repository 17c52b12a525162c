package fault

// Code identifies a kind of fault. Codes are stable, so clients may test for them.
type Code string

// The codes of the catalogue.
const (
	BadRequest         Code = "bad_request"
	Unauthenticated    Code = "unauthenticated"
	UnknownModel       Code = "unknown_model"
	UnknownRoute       Code = "unknown_route"
	UnknownRequest     Code = "unknown_request"
	RequestIDReused    Code = "request_id_reused"
	BodyTooLarge       Code = "body_too_large"
	NotReady           Code = "not_ready"
	RouterStopping     Code = "router_stopping"
	WorkspaceLimit     Code = "workspace_limit"
	QueueFull          Code = "queue_full"
	DeadlineExceeded   Code = "deadline_exceeded"
	NoUpstream         Code = "no_upstream"
	UpstreamLeaving    Code = "upstream_leaving"
	StaleRevision      Code = "stale_revision"
	ModelNotLoaded     Code = "model_not_loaded"
	MemoryLimit        Code = "memory_limit"
	NoWitness          Code = "no_witness"
	LedgerUnavailable  Code = "ledger_unavailable"
	LedgerFull         Code = "ledger_full"
	CallCancelled      Code = "call_cancelled"
	CallOutcomeUnknown Code = "call_outcome_unknown"
	CallInProgress     Code = "call_in_progress"
	TimedOut           Code = "timed_out"
	UpstreamLost       Code = "upstream_lost"
	ResumeExhausted    Code = "resume_exhausted"
	Superseded         Code = "superseded"
	Preempted          Code = "preempted"
	StaleFence         Code = "stale_fence"
	FenceUnknown       Code = "fence_unknown"
	StoreUnavailable   Code = "store_unavailable"
	ApplyConflict      Code = "apply_conflict"
	ConfigInvalid      Code = "config_invalid"
	SettingsInvalid    Code = "settings_invalid"
	Internal           Code = "internal"
)
