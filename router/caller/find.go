package caller

import (
	"net/http"
	"regexp"
	"slices"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/router/answer"
)

const (
	requestIDHeader = "X-Request-Id"
	lastEventHeader = "Last-Event-ID"
	maxRequestID    = 128
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._~-]+$`)

// place is where a caller stands in an answer.
type place struct {
	key     ids.RequestKey
	seen    uint32
	digest  journal.Digest
	witness ids.VM
	// returning says that the caller may have asked before.
	returning bool
}

// placeOf reads the caller's place from the headers of a request.
func (s *Server) placeOf(r *http.Request, w workspace) (place, error) {
	p := place{key: ids.RequestKey{Workspace: w.Name}}
	if last := r.Header.Get(lastEventHeader); last != "" {
		id, err := ParseEventID(last)
		if err != nil {
			return p, err
		}
		p.key.Request, p.seen, p.digest, p.witness, p.returning = id.Request, id.Length, id.Digest, id.Witness, true
		return p, checkRequestID(id.Request)
	}
	if given := r.Header.Get(requestIDHeader); given != "" {
		p.key.Request, p.returning = ids.Request(given), true
		return p, checkRequestID(p.key.Request)
	}
	p.key.Request = ids.Request(s.NewID())
	return p, nil
}

func checkRequestID(id ids.Request) error {
	if len(id) > maxRequestID || !requestIDPattern.MatchString(string(id)) {
		return fault.New(fault.BadRequest, "a request id has 1 to %d letters, digits and ._~-", maxRequestID)
	}
	return nil
}

// find returns the answer to a request: under way here, claimed from a witness, or new.
func (s *Server) find(r *http.Request, p place, req parsedRequest, w workspace) (*answer.Answer, func(), error) {
	if a, found := s.Answers.Find(p.key); found && continues(a.State().Tokens, p) {
		if a.BodyHash() != req.bodyHash {
			return nil, nil, fault.New(fault.RequestIDReused, "request %s", p.key.Request)
		}
		return a, a.Attach(), nil
	}
	if p.returning {
		if a, detach, err := s.claim(r, p, req); a != nil || err != nil {
			return a, detach, err
		}
	}
	if p.seen > 0 {
		return nil, nil, fault.New(fault.UnknownRequest, "%d tokens of request %s", p.seen, p.key.Request)
	}
	svc, model, err := w.model(req.Model)
	if err != nil {
		return nil, nil, err
	}
	return s.Answers.Start(s.newJournal(p, req, svc, model), s.View.Witnesses(p.key, true))
}

// continues tells whether the tokens hold exactly what the caller has seen.
func continues(tokens []string, p place) bool {
	j := journal.Journal{Tokens: tokens}
	return j.Continues(p.seen, p.digest)
}

func (s *Server) newJournal(p place, req parsedRequest, svc declared.Service, model declared.Model) journal.Journal {
	seed := s.NewSeed()
	if req.Seed != nil {
		seed = *req.Seed
	}
	return journal.Journal{Key: p.key, BodyHash: req.bodyHash, Prompt: journal.Prompt{
		Service: svc.Name, Model: model.ID(), Text: req.text, Seed: seed, MaxTokens: req.maxTokens, Temperature: req.Temperature,
	}}
}

// claim takes an answer over from the router that held it. The witness that the caller's event id names is asked
// together with those that the request's hash leads to.
func (s *Server) claim(r *http.Request, p place, req parsedRequest) (*answer.Answer, func(), error) {
	witnesses := s.View.Witnesses(p.key, false)
	if p.witness != "" && !slices.Contains(witnesses, p.witness) {
		witnesses = append(witnesses, p.witness)
	}
	claimed, found := s.Agents.Claim(r.Context(), witnesses, journal.Claim{
		Key: p.key, Owner: s.owner(), MinLength: p.seen, Digest: p.digest, HasDigest: p.seen > 0,
		BodyHash: req.bodyHash,
	})
	if !found {
		return nil, nil, nil
	}
	if claimed.Journal.BodyHash != req.bodyHash {
		return nil, nil, fault.New(fault.RequestIDReused, "request %s", p.key.Request)
	}
	s.Log.Write(event.AnswerClaimed, "request", p.key.String(), "tokens", len(claimed.Journal.Tokens))
	order := slices.DeleteFunc(s.View.Witnesses(p.key, true), func(vm ids.VM) bool { return vm == claimed.Witness })
	return s.Answers.Start(claimed.Journal, slices.Insert(order, 0, claimed.Witness))
}

func (s *Server) owner() ids.Owner { return s.Answers.Owner() }
