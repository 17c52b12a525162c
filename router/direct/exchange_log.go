package direct

import (
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
)

func (x *exchange) logAttempt(id ids.VM, args ...any) {
	x.log.Write(event.RequestAttempt, append([]any{
		"request", x.req.ID, "upstream", id, "attempt", x.attempts,
		"left", x.remaining().String(),
	}, args...)...)
}

func (x *exchange) logAttemptEnd(id ids.VM, err error, args ...any) {
	outcome := "answered"
	if err != nil {
		outcome = err.Error()
	}
	x.log.Write(event.RequestAttemptEnded, append([]any{
		"request", x.req.ID, "upstream", id, "attempt", x.attempts,
		"outcome", outcome,
	}, args...)...)
}

// cutOutcome names the side that has closed the caller's connection.
func (x *exchange) cutOutcome() string {
	if x.shutdown.cutting.Load() {
		return "router stopped"
	}
	return "caller disconnected"
}

func (x *exchange) logEnd(status int, args ...any) {
	elapsed := x.clock.Since(x.arrivedAt)
	x.log.Write(event.RequestEnded, append([]any{
		"request", x.req.ID, "workspace", x.workspace, "route", x.route.Name,
		"status", status, "took", elapsed.String(), "attempts", x.attempts, "config_version", uint64(x.configVersion()),
	}, args...)...)
	x.metrics.Histogram("request_ms", "service", string(x.service.Name), "workspace", string(x.workspace)).
		Update(elapsed.Milliseconds())
}
