package event

import "log/slog"

// noAction is the action of an event that needs none from an operator.
const noAction = "None."

// The log events in the order of their numbers, which are stable. docs/events.md is generated from [Catalogue].
var (
	Started             = Kind{"EV1001", slog.LevelInfo, "process started", noAction}
	Stopping            = Kind{"EV1002", slog.LevelInfo, "graceful shutdown started", "None; running work completes first."}
	Stopped             = Kind{"EV1003", slog.LevelInfo, "process stopped", noAction}
	Ready               = Kind{"EV1004", slog.LevelInfo, "process is ready", noAction}
	Reloaded            = Kind{"EV1005", slog.LevelInfo, "settings reload finished", noAction}
	LinesDropped        = Kind{"EV1006", slog.LevelWarn, "log lines dropped", "Raise log_level, or read the output faster."}
	SchedulingDelayed   = Kind{"EV1007", slog.LevelWarn, "scheduling delay is high", "Check the VM for other load; callers are directed to other routers."}
	SchedulingRecovered = Kind{"EV1008", slog.LevelInfo, "scheduling delay is normal again", noAction}
	Panicked            = Kind{"EV1009", slog.LevelError, "unexpected error", "Report it with its stack. The process goes on without the request or task that it ended."}
	ConfigActivated     = Kind{"EV2001", slog.LevelInfo, "configuration activated", noAction}
	ConfigUnreadable    = Kind{"EV2002", slog.LevelError, "configuration could not be read", "Check the chunks of the named revision; the previous revision stays active."}
	StoreFailed         = Kind{"EV2003", slog.LevelWarn, "request to the platform's service failed", "Check the platform's service; requests are served without it."}
	StoreReached        = Kind{"EV2004", slog.LevelInfo, "store is reachable", noAction}
	ChangesPulled       = Kind{"EV2005", slog.LevelInfo, "changes of the store received from another router on request", noAction}
	ValueFetched        = Kind{"EV2006", slog.LevelInfo, "large value fetched", noAction}
	PullFailed          = Kind{"EV2007", slog.LevelWarn, "request to another router for changes of the store failed", "None, unless it persists; another router is asked. Check the link of the named router."}
	StoreRestored       = Kind{"EV2008", slog.LevelWarn, "store has returned from an older copy", "None; what was written since the copy is to be written again."}
	ConfigOutdated      = Kind{"EV2009", slog.LevelInfo, "older configuration than the active one ignored", "None, unless no newer one follows; then apply the active version again."}
	MemberChanged       = Kind{"EV3001", slog.LevelInfo, "member state changed", "None, unless many change at once."}
	ExchangeFailed      = Kind{"EV3002", slog.LevelDebug, "exchange with a peer failed", "None, unless it persists."}
	Draining            = Kind{"EV3003", slog.LevelInfo, "upstream is leaving", "Stop the VM when it has no running work."}
	EntryUnreadable     = Kind{"EV3004", slog.LevelWarn, "unreadable store entry skipped", "Find the writer of the named key; the other entries are used."}
	UpstreamChanged     = Kind{"EV3005", slog.LevelInfo, "upstream state changed", noAction}
	UpstreamLost        = Kind{"EV3006", slog.LevelWarn, "upstream unavailable", "None, unless it persists; the upstream is used again when it registers again or answers a probe."}
	UpstreamRecovered   = Kind{"EV3007", slog.LevelInfo, "upstream recovered", noAction}
	PeerChanged         = Kind{"EV3008", slog.LevelInfo, "state of another router changed", noAction}
	UpstreamSlow        = Kind{"EV3009", slog.LevelWarn, "upstream is slow", "None, unless it persists; prompts go to other upstreams until the signal decays."}
	UpstreamFailing     = Kind{"EV3010", slog.LevelWarn, "upstream fails every call", "Check the upstream; it is retried every few seconds."}
	ProbeUnanswered     = Kind{"EV3011", slog.LevelInfo, "probe of an upstream unanswered", "None, unless it persists. If waited is much longer than timeout, check the router's own VM."}
	UpstreamLimit       = Kind{"EV3012", slog.LevelInfo, "request rate that an upstream takes changed", "None, unless it persists; check the upstream's load."}
	UpstreamHeld        = Kind{"EV3013", slog.LevelInfo, "upstream wants no requests from this router for a time", "None, unless it persists; check the upstream's load."}
	WindowBegun         = Kind{"EV3020", slog.LevelInfo, "upstream that has just started or recovered gets few requests at first", noAction}
	WindowDecreased     = Kind{"EV3021", slog.LevelInfo, "window of an upstream decreased", "None, unless it persists; the named reason is a sign of overload or of a faulty upstream."}
	UpstreamEstablished = Kind{"EV3022", slog.LevelInfo, "upstream carries what its peers carry", noAction}
	AttemptStarted      = Kind{"EV4001", slog.LevelDebug, "attempt started", noAction}
	AttemptLost         = Kind{"EV4002", slog.LevelWarn, "attempt lost", "Check the named upstream; the answer is resumed on another one."}
	AnswerFailed        = Kind{"EV4003", slog.LevelWarn, "answer ended with a fault", "See the fault's remedy."}
	AnswerClaimed       = Kind{"EV4004", slog.LevelInfo, "answer taken over from another router", noAction}
	WitnessLost         = Kind{"EV4005", slog.LevelWarn, "witness lost", "Check the named agent; the journal moved to the next one."}
	UpstreamUnhealthy   = Kind{"EV4101", slog.LevelWarn, "upstream does not answer", "Check the upstream beside this agent."}
	UpstreamHealthy     = Kind{"EV4102", slog.LevelInfo, "upstream answers", noAction}
	RequestEnded        = Kind{"EV4301", slog.LevelInfo, "request ended", noAction}
	RequestRefused      = Kind{"EV4302", slog.LevelInfo, "request refused", "See the fault's remedy."}
	RequestAttempt      = Kind{"EV4303", slog.LevelInfo, "request sent to an upstream", noAction}
	RequestAttemptEnded = Kind{"EV4304", slog.LevelInfo, "attempt of a request ended", noAction}
	CopyCreated         = Kind{"EV4305", slog.LevelInfo, "copy of a generation's KV cache created", noAction}
	CopyFailed          = Kind{"EV4306", slog.LevelInfo, "copying a generation's KV cache failed", "None; it is retried while the generation runs."}
	PromptListFailed    = Kind{"EV4307", slog.LevelInfo, "engine did not list its cached prompts", "None; prompts may be processed again."}
	RequestWaiting      = Kind{"EV4308", slog.LevelInfo, "request waits for the router's configuration", noAction}
	PromptsReceived     = Kind{"EV4309", slog.LevelInfo, "another router reported which engines have prompts cached", noAction}
	TimeLimitFailed     = Kind{"EV4310", slog.LevelInfo, "time limit of a caller's connection could not be set", "None; the request is served without it."}
	CopyFreed           = Kind{"EV4312", slog.LevelInfo, "copy of a generation's KV cache freed", noAction}
	CopyNotFreed        = Kind{"EV4313", slog.LevelInfo, "freeing a copy of a generation's KV cache failed", "None; the upstream frees it after a few seconds."}
	CallerClosed        = Kind{"EV4311", slog.LevelInfo, "connection of a caller closed at a time limit", "None; the limits are those of the configuration."}
	ResumeWaiting       = Kind{"EV4314", slog.LevelInfo, "answer that has begun waits to be resumed", "None, unless it persists; check the named reason."}
	PromptSuspected     = Kind{"EV4315", slog.LevelWarn, "upstream crashed before it had answered a prompt", "None, unless it persists; the parts of its prompt are suspected."}
	PartQuarantine      = Kind{"EV4316", slog.LevelWarn, "quarantine of a prompt part changed", "Find the prompt that holds the part; requests with an opened part are refused, since it crashes upstreams."}
	QuarantineTrial     = Kind{"EV4317", slog.LevelInfo, "request sent as a trial of a quarantined prompt part", "None; its outcome ends or renews the quarantine."}
	LossNotCounted      = Kind{"EV4318", slog.LevelInfo, "lost upstream is no evidence against the prompt", "None; the reason is named."}
	QuarantineSaved     = Kind{"EV4319", slog.LevelInfo, "quarantine of prompt parts kept in the store", noAction}
	CallersShed         = Kind{"EV4320", slog.LevelWarn, "bodies or connections of callers closed for lack of room", "Check the callers at the named address; other callers are served. See docs/OPERATIONS.md, a crowd of hostile clients."}
	CallUnknown         = Kind{"EV5001", slog.LevelWarn, "outcome of a call is unknown", "Look up the record at the service by its idempotency key."}
	CallCancelled       = Kind{"EV5002", slog.LevelInfo, "call cancelled through the ledger", noAction}
	LedgerWriteLost     = Kind{"EV5003", slog.LevelWarn, "reply to a ledger write lost", "None; the bucket is read back."}
	LeaseAcquired       = Kind{"EV6001", slog.LevelInfo, "order lease acquired", noAction}
	LeaseLost           = Kind{"EV6002", slog.LevelInfo, "order lease lost", "None; another router gives orders."}
	OrderGiven          = Kind{"EV6003", slog.LevelInfo, "order given", noAction}
	OrderRefused        = Kind{"EV6004", slog.LevelWarn, "order refused", "See the fault's remedy."}
	RolloutOrdered      = Kind{"EV6101", slog.LevelInfo, "order of a rollout changed", noAction}
	RolloutLeading      = Kind{"EV6102", slog.LevelInfo, "leadership of rollouts changed", noAction}
	RolloutDecision     = Kind{"EV6103", slog.LevelInfo, "decision on a rollout written", noAction}
	RolloutPhase        = Kind{"EV6104", slog.LevelInfo, "phase or share of a rollout in force", noAction}
	RolloutVerdict      = Kind{"EV6105", slog.LevelWarn, "verdict on a rollout reached or learnt", "If the version was rolled back, see its reason; order it again once it is mended."}
	RolloutWriteFailed  = Kind{"EV6106", slog.LevelWarn, "writing a decision on a rollout failed", "None, unless it persists; check the store. It is written again."}
)

// Catalogue lists every event in the order of the numbers.
var Catalogue = []Kind{
	Started, Stopping, Stopped, Ready, Reloaded, LinesDropped, SchedulingDelayed, SchedulingRecovered, Panicked,
	ConfigActivated, ConfigUnreadable, StoreFailed, StoreReached, ChangesPulled, ValueFetched, PullFailed, StoreRestored, ConfigOutdated,
	MemberChanged, ExchangeFailed, Draining, EntryUnreadable, UpstreamChanged, UpstreamLost, UpstreamRecovered, PeerChanged, UpstreamSlow, UpstreamFailing, ProbeUnanswered, UpstreamLimit, UpstreamHeld,
	WindowBegun, WindowDecreased, UpstreamEstablished,
	AttemptStarted, AttemptLost, AnswerFailed, AnswerClaimed, WitnessLost,
	UpstreamUnhealthy, UpstreamHealthy,
	RequestEnded, RequestRefused, RequestAttempt, RequestAttemptEnded, CopyCreated, CopyFailed, CopyFreed, CopyNotFreed, PromptListFailed, RequestWaiting, PromptsReceived, TimeLimitFailed, CallerClosed, ResumeWaiting,
	PromptSuspected, PartQuarantine, QuarantineTrial, LossNotCounted, QuarantineSaved, CallersShed,
	CallUnknown, CallCancelled, LedgerWriteLost,
	LeaseAcquired, LeaseLost, OrderGiven, OrderRefused,
	RolloutOrdered, RolloutLeading, RolloutDecision, RolloutPhase, RolloutVerdict, RolloutWriteFailed,
}
