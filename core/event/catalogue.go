package event

import "log/slog"

// noAction stands where an operator has nothing to do.
const noAction = "None."

// The events, by number. Numbers are stable; docs/events.md is generated from [Catalogue].
var (
	Started             = Kind{"EV1001", slog.LevelInfo, "process started", noAction}
	Stopping            = Kind{"EV1002", slog.LevelInfo, "planned stop began", "None; running work is finished first."}
	Stopped             = Kind{"EV1003", slog.LevelInfo, "process stopped", noAction}
	Ready               = Kind{"EV1004", slog.LevelInfo, "process is ready", noAction}
	Reloaded            = Kind{"EV1005", slog.LevelInfo, "settings read again", noAction}
	LinesDropped        = Kind{"EV1006", slog.LevelWarn, "log lines dropped", "Raise log_level, or read the output faster."}
	SchedulingDelayed   = Kind{"EV1007", slog.LevelWarn, "process gets its turn late", "Look for other work on the VM; callers are sent to other routers."}
	SchedulingRecovered = Kind{"EV1008", slog.LevelInfo, "process gets its turn in time again", noAction}
	ConfigActivated     = Kind{"EV2001", slog.LevelInfo, "configuration in force", noAction}
	ConfigUnreadable    = Kind{"EV2002", slog.LevelError, "configuration could not be read", "Check the chunks of the named revision; the former revision stays in force."}
	StoreFailed         = Kind{"EV2003", slog.LevelWarn, "platform's service did not answer", "Check the platform's service; serving goes on without it."}
	StoreReached        = Kind{"EV2004", slog.LevelInfo, "store answers", noAction}
	MemberChanged       = Kind{"EV3001", slog.LevelInfo, "member changed its state", "None, unless many change at once."}
	ExchangeFailed      = Kind{"EV3002", slog.LevelDebug, "exchange with a peer failed", "None, unless it lasts."}
	Draining            = Kind{"EV3003", slog.LevelInfo, "upstream is leaving", "Stop the VM when its running work is zero."}
	EntryUnreadable     = Kind{"EV3004", slog.LevelWarn, "entry of the store skipped", "Find out who wrote the named key; the other entries hold."}
	UpstreamChanged     = Kind{"EV3005", slog.LevelInfo, "upstream changed its state", noAction}
	UpstreamLost        = Kind{"EV3006", slog.LevelWarn, "upstream out of use", "None, unless it lasts; it is used again when it registers anew or answers a probe."}
	UpstreamRecovered   = Kind{"EV3007", slog.LevelInfo, "upstream answers again", noAction}
	PeerChanged         = Kind{"EV3008", slog.LevelInfo, "other router changed its state", noAction}
	UpstreamSlow        = Kind{"EV3009", slog.LevelWarn, "upstream counts as slow", "None, unless it lasts; prompts go to others until the sign fades."}
	UpstreamFailing     = Kind{"EV3010", slog.LevelWarn, "upstream fails all it is given", "Look at the upstream; it is tried again every few seconds."}
	AttemptStarted      = Kind{"EV4001", slog.LevelDebug, "attempt started", noAction}
	AttemptLost         = Kind{"EV4002", slog.LevelWarn, "attempt lost", "Check the named upstream; the answer is resumed elsewhere."}
	AnswerFailed        = Kind{"EV4003", slog.LevelWarn, "answer ended with a fault", "See the fault's remedy."}
	AnswerClaimed       = Kind{"EV4004", slog.LevelInfo, "answer taken over from another router", noAction}
	WitnessLost         = Kind{"EV4005", slog.LevelWarn, "witness lost", "Check the named agent; the journal moved to the next one."}
	UpstreamUnhealthy   = Kind{"EV4101", slog.LevelWarn, "upstream does not answer", "Check the upstream beside this agent."}
	UpstreamHealthy     = Kind{"EV4102", slog.LevelInfo, "upstream answers", noAction}
	RequestEnded        = Kind{"EV4301", slog.LevelInfo, "request ended", noAction}
	RequestRefused      = Kind{"EV4302", slog.LevelInfo, "request refused", "See the fault's remedy."}
	RequestAttempt      = Kind{"EV4303", slog.LevelInfo, "request sent to an upstream", noAction}
	RequestAttemptEnded = Kind{"EV4304", slog.LevelInfo, "upstream's run of a request ended", noAction}
	CopyCreated         = Kind{"EV4305", slog.LevelInfo, "copy of a generation's memory made", noAction}
	CopyFailed          = Kind{"EV4306", slog.LevelInfo, "copy of a generation's memory failed", "None; it is tried again while the generation runs."}
	PromptListFailed    = Kind{"EV4307", slog.LevelInfo, "engine did not list its prompts", "None; prompts may be read again."}
	RequestWaiting      = Kind{"EV4308", slog.LevelInfo, "request waits for the router's configuration", noAction}
	PromptsReceived     = Kind{"EV4309", slog.LevelInfo, "another router told where prompts were read", noAction}
	CallUnknown         = Kind{"EV5001", slog.LevelWarn, "outcome of a call is unknown", "Look the record up at the service under the idempotency key."}
	CallCancelled       = Kind{"EV5002", slog.LevelInfo, "call cancelled through the ledger", noAction}
	LedgerWriteLost     = Kind{"EV5003", slog.LevelWarn, "answer of a ledger write was lost", "None; the bucket is read back."}
	LeaseAcquired       = Kind{"EV6001", slog.LevelInfo, "order lease held", noAction}
	LeaseLost           = Kind{"EV6002", slog.LevelInfo, "order lease lost", "None; another router gives orders."}
	OrderGiven          = Kind{"EV6003", slog.LevelInfo, "order given", noAction}
	OrderRefused        = Kind{"EV6004", slog.LevelWarn, "order refused", "See the fault's remedy."}
)

// Catalogue lists every event in the order of its number.
var Catalogue = []Kind{
	Started, Stopping, Stopped, Ready, Reloaded, LinesDropped, SchedulingDelayed, SchedulingRecovered,
	ConfigActivated, ConfigUnreadable, StoreFailed, StoreReached,
	MemberChanged, ExchangeFailed, Draining, EntryUnreadable, UpstreamChanged, UpstreamLost, UpstreamRecovered, PeerChanged, UpstreamSlow, UpstreamFailing,
	AttemptStarted, AttemptLost, AnswerFailed, AnswerClaimed, WitnessLost,
	UpstreamUnhealthy, UpstreamHealthy,
	RequestEnded, RequestRefused, RequestAttempt, RequestAttemptEnded, CopyCreated, CopyFailed, PromptListFailed, RequestWaiting, PromptsReceived,
	CallUnknown, CallCancelled, LedgerWriteLost,
	LeaseAcquired, LeaseLost, OrderGiven, OrderRefused,
}
