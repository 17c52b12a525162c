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
	// maxRequestID is the maximum length of a request ID, in bytes.
	maxRequestID = 128
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._~-]+$`)

// position is the point in an answer up to which the caller has received tokens.
type position struct {
	key ids.RequestKey
	// seen is the number of tokens that the caller has received; digest covers exactly these.
	seen    uint32
	digest  journal.Digest
	witness ids.VM
	// mayBeRetry is set if the caller may have sent the request before.
	mayBeRetry bool
}

// parsePosition reads the caller's position from the headers of a request. A request without an ID is given a new one.
func (s *Server) parsePosition(r *http.Request, w workspace) (position, error) {
	p := position{key: ids.RequestKey{Workspace: w.Name}}
	if last := r.Header.Get(lastEventHeader); last != "" {
		id, err := ParseEventID(last)
		if err != nil {
			return p, err
		}
		p.key.Request, p.seen, p.digest, p.witness, p.mayBeRetry = id.Request, id.Length, id.Digest, id.Witness, true
		return p, checkRequestID(id.Request)
	}
	if requestID := r.Header.Get(requestIDHeader); requestID != "" {
		p.key.Request, p.mayBeRetry = ids.Request(requestID), true
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

// findAnswer returns the answer to a request and a function that detaches the caller from it. The answer is one in progress
// on this router, one claimed from a witness, or a new one.
func (s *Server) findAnswer(r *http.Request, p position, req parsedRequest, w workspace) (*answer.Answer, func(), error) {
	if a, found := s.Answers.Find(p.key); found && matchesPosition(a.State().Tokens, p) {
		if a.BodyHash() != req.bodyHash {
			return nil, nil, fault.New(fault.RequestIDReused, "request %s", p.key.Request)
		}
		return a, a.Attach(), nil
	}
	if p.mayBeRetry {
		if a, detach, err := s.claimAnswer(r, p, req); a != nil || err != nil {
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

// matchesPosition reports whether tokens begin with exactly the tokens that the caller has received.
func matchesPosition(tokens []string, p position) bool {
	j := journal.Journal{Tokens: tokens}
	return j.Continues(p.seen, p.digest)
}

func (s *Server) newJournal(p position, req parsedRequest, svc declared.Service, model declared.Model) journal.Journal {
	seed := s.NewSeed()
	if req.Seed != nil {
		seed = *req.Seed
	}
	return journal.Journal{Key: p.key, BodyHash: req.bodyHash, Prompt: journal.Prompt{
		Service: svc.Name, Model: model.ID(), Text: req.text, Seed: seed, MaxTokens: req.maxTokens, Temperature: req.Temperature,
	}}
}

// claimAnswer takes over an answer from the router that owned it. It queries the witnesses selected by the hash of the
// request and the one named in the caller's event ID. It returns nil and no error if no witness has the journal.
func (s *Server) claimAnswer(r *http.Request, p position, req parsedRequest) (*answer.Answer, func(), error) {
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
