package direct

import (
	"cmp"
	"net/http"
	"net/url"
	"slices"
	"time"

	"bilberrylug.dev/core/explain"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
)

// explanation derives where a request would go from the router's state. It uses only functions that leave the state as it is,
// apart from the expiry of old entries.
type explanation struct {
	*exchange
	report *explain.Report
	now    time.Time
	// list holds the upstreams that compete for the request.
	list candidateList
	// weighed holds these upstreams, rows the index of each upstream in the report.
	weighed map[ids.VM]bool
	rows    map[ids.VM]int
}

// explain reports where a request would go now. It returns a bad_request fault for a question that is not valid.
func (h *handler) explain(q explain.Query) (*explain.Report, error) {
	target, err := url.ParseRequestURI(q.Path)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "path is not valid")
	}
	now := h.clock.Now()
	x := &exchange{
		handler: h, arrivedAt: now, r: &http.Request{Method: q.Method, Host: q.Host, URL: target, Header: http.Header{}},
		req: relay.Request{Key: q.Key, MaxWait: time.Duration(q.MaxWaitMS) * time.Millisecond, Prompt: promptOf(q.Request)},
	}
	e := &explanation{exchange: x, now: now, report: &explain.Report{
		Router: h.picker.Router, ConfigVersion: h.configVersion(), Request: q.Request, Outcome: explain.Sent,
	}}
	admitted, err := e.admit(q.Service)
	if admitted && err == nil {
		e.weigh()
	}
	return e.report, err
}

func promptOf(q explain.Request) relay.Prompt {
	p := relay.Prompt{Model: q.Model, Tokens: q.PromptTokens, MaxOutput: q.OutputTokens, Parts: q.Parts}
	if n := len(q.Parts); n > 0 {
		p.Name = q.Parts[n-1]
	}
	return p
}

// admit finds the route, the workspace and the service of the request, and reports whether the router would accept it.
func (e *explanation) admit(wanted ids.Service) (bool, error) {
	cfg := e.config.Load()
	if cfg == nil {
		e.refuseAfterWait(e.notReadyError(), "for a configuration")
		return false, nil
	}
	e.report.ConfigVersion = cfg.Version
	if err := e.match(cfg); err != nil {
		if e.behind() > 0 {
			e.refuseAfterWait(err, "for the newer configuration that this router does not have yet")
		} else {
			e.refuse(err)
		}
		return false, nil
	}
	e.setLimits(cfg)
	r := e.report
	r.Route, r.Kind, r.Workspace, r.Rank = e.route.Name, kindName(e.route.Kind), e.workspace, e.priority
	if err := e.chooseService(wanted); err != nil {
		return false, err
	}
	var found bool
	if e.service, found = cfg.Service(r.Service); !found {
		e.refuse(fault.New(fault.NoUpstream, "the configuration does not declare the route's service"))
		return false, nil
	}
	if err := e.admitDuringShutdown(); err != nil {
		e.refuse(err)
		return false, nil
	}
	return true, nil
}

// chooseService sets the service that is explained: the wanted one, or that which gets the largest share of the requests.
func (e *explanation) chooseService(wanted ids.Service) error {
	split := splitOf(e.route)
	if len(split) > 1 {
		e.report.Split = split
	}
	if wanted == "" && len(split) > 0 {
		wanted = slices.MaxFunc(split, func(a, b explain.Share) int { return cmp.Compare(a.Share, b.Share) }).Service
	}
	if wanted != "" && !slices.ContainsFunc(split, func(s explain.Share) bool { return s.Service == wanted }) {
		return fault.New(fault.BadRequest, "the route %s has no service %s", e.route.Name, wanted)
	}
	e.report.Service = wanted
	return nil
}

// splitOf returns the shares of a route's services as [routing.Route.Pick] draws them.
func splitOf(r routing.Route) []explain.Share {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	out := make([]explain.Share, len(r.Targets))
	for i, t := range r.Targets {
		out[i] = explain.Share{Service: t.Service, Share: float64(t.Weight) / float64(max(1, total))}
	}
	if total == 0 && len(out) > 0 {
		out[len(out)-1].Share = 1
	}
	return out
}

func kindName(k routing.Kind) string {
	switch k {
	case routing.Idempotent:
		return "idempotent"
	case routing.Streaming:
		return "streaming"
	case routing.NonIdempotent:
	}
	return "non_idempotent"
}

// weigh weighs the upstreams of the service.
func (e *explanation) weigh() {
	e.mu.Lock()
	defer e.mu.Unlock()
	usable := e.fleet.Usable(e.service.Name)
	e.list = listCandidates([][]*fleet.Upstream{usable}, nil, weighing{
		delay: func(u *fleet.Upstream) time.Duration { return e.rateLimits.Peek(u.ID, e.now).Delay },
		suspect: func(u *fleet.Upstream) bool {
			suspect, _ := e.suspicion(*u, e.now)
			return suspect
		},
	})
	e.weighed, e.rows = map[ids.VM]bool{}, map[ids.VM]int{}
	for _, u := range e.list.upstreams {
		e.weighed[u.ID] = true
	}
	for i, u := range e.fleet.All(e.service.Name) {
		e.report.Upstreams = append(e.report.Upstreams, e.describe(u))
		e.rows[u.ID] = i
	}
	if e.route.Kind == routing.Streaming {
		e.weighGeneration(usable)
	} else {
		e.weighCall(usable)
	}
	e.choose()
	slices.SortStableFunc(e.report.Upstreams, compareRows)
}

// choose marks the upstream with the highest chance as the choice. A refused request has none.
func (e *explanation) choose() {
	var best *explain.Upstream
	for i := range e.report.Upstreams {
		row := &e.report.Upstreams[i]
		if e.report.Outcome == explain.Refused {
			row.Chance = 0
		} else if row.Chance > 0 && (best == nil || row.Chance > best.Chance) {
			best = row
		}
	}
	if best != nil {
		best.Chosen = true
		e.report.Choice = best.ID
	}
}

// compareRows orders the choice first and the other upstreams by cost.
func compareRows(a, b explain.Upstream) int {
	switch {
	case a.Chosen != b.Chosen:
		return -compareBool(a.Chosen, b.Chosen)
	case a.Cost == nil || b.Cost == nil:
		return -compareBool(a.Cost != nil, b.Cost != nil)
	}
	return cmp.Compare(*a.Cost, *b.Cost)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// refuse sets the refusal of the request. Its Retry-After has no spread.
func (e *explanation) refuse(err error) { e.refuseSpread(err, 0) }

// refuseSpread sets the refusal of a request whose Retry-After is drawn between its own and the given one.
func (e *explanation) refuseSpread(err error, longest time.Duration) {
	e.report.Outcome = explain.Refused
	e.report.Fault = explain.NewFault(err, longest)
}

// refuseAfterWait sets the refusal of a request that waits for a configuration before.
func (e *explanation) refuseAfterWait(err error, reason string) {
	e.refuse(err)
	e.report.WaitMS, e.report.WaitReason = explain.Millis(e.configWaitTime()), reason
}

// wait adds an expected wait.
func (e *explanation) wait(d time.Duration, reason string) {
	r := e.report
	r.Outcome = explain.Waiting
	r.WaitMS += explain.Millis(d)
	if r.WaitReason != "" {
		reason = r.WaitReason + " and " + reason
	}
	r.WaitReason = reason
}
