package journal_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

var (
	key   = ids.RequestKey{Workspace: "growers", Request: "lot-7"}
	start = time.Unix(0, 0)
)

func open(owner ids.Owner, tokens ...string) journal.Entry {
	return journal.Entry{Key: key, Attempt: 1, Owner: owner, Open: &journal.Open{BodyHash: 1, Tokens: tokens}, First: uint32(len(tokens))}
}

var _ = Describe("a journal store", func() {
	var s *journal.Store
	BeforeEach(func() {
		s = journal.NewStore(journal.Limits{MaxBytes: 2000, RetentionUnfinished: time.Minute, RetentionFinished: time.Second})
	})
	appendTokens := func(a ids.Attempt, owner ids.Owner, first uint32, tokens ...string) journal.Refusal {
		_, refusal := s.Append(start, journal.Entry{Key: key, Attempt: a, Owner: owner, First: first, Tokens: tokens})
		return refusal
	}

	It("refuses a router whose answer was claimed, however many attempts it has started since", func() {
		s.Append(start, open("r1", "a"))
		j, found := s.Claim(start, journal.Claim{Key: key, Owner: "r2", BodyHash: 1})
		Expect(found).To(BeTrue())
		for a := ids.Attempt(1); a < 100; a++ {
			Expect(appendTokens(a, "r1", 1, "b")).To(Equal(journal.Superseded))
		}
		Expect(appendTokens(j.Attempt, "r2", 1, "c")).To(Equal(journal.Accepted))
	})
	It("refuses entries of a router's earlier epoch after another claim and a claim of its own", func() {
		s.Append(start, open("r1", "a"))
		_, _ = s.Claim(start, journal.Claim{Key: key, Owner: "r2", BodyHash: 1})
		again, _ := s.Claim(start, journal.Claim{Key: key, Owner: "r1", BodyHash: 1})
		Expect(appendTokens(5, "r1", 1, "b")).To(Equal(journal.Superseded))
		Expect(appendTokens(again.Attempt, "r1", 1, "c")).To(Equal(journal.Accepted))
	})
	It("refuses the second of two routers that open the same request concurrently", func() {
		s.Append(start, open("r1"))
		_, refusal := s.Append(start, open("r2"))
		Expect(refusal).To(Equal(journal.Superseded))
	})
	It("accepts a duplicate entry, and refuses a gap, a different token, and a token after the end", func() {
		s.Append(start, open("r1", "a"))
		Expect(appendTokens(1, "r1", 1, "b")).To(Equal(journal.Accepted))
		Expect(appendTokens(1, "r1", 1, "b")).To(Equal(journal.Accepted))
		Expect(appendTokens(1, "r1", 1, "x")).To(Equal(journal.Diverged))
		Expect(appendTokens(1, "r1", 3, "d")).To(Equal(journal.Gap))
		s.Append(start, journal.Entry{Key: key, Attempt: 1, Owner: "r1", First: 2, FinishReason: "stop"})
		Expect(appendTokens(1, "r1", 2, "c")).To(Equal(journal.Diverged))
	})
	It("leaves an answer in progress untouched when a claim has a different body", func() {
		s.Append(start, open("r1", "a"))
		j, found := s.Claim(start, journal.Claim{Key: key, Owner: "r2", BodyHash: 2})
		Expect(found).To(BeTrue())
		Expect(j).To(Equal(journal.Journal{Key: key, BodyHash: 1}))
		Expect(appendTokens(1, "r1", 1, "b")).To(Equal(journal.Accepted))
	})
	It("grants a claim only if the journal continues the tokens that the caller has received", func() {
		s.Append(start, open("r1", "a", "b"))
		for _, c := range []struct {
			seen  []string
			found bool
		}{{[]string{"a"}, true}, {[]string{"x"}, false}, {[]string{"a", "b", "c"}, false}, {nil, true}} {
			_, found := s.Claim(start, journal.Claim{
				Key: key, Owner: "r2", BodyHash: 1, HasDigest: true, MinLength: uint32(len(c.seen)), Digest: journal.DigestOf(c.seen),
			})
			Expect(found).To(Equal(c.found))
		}
	})
	It("never exceeds its size limit, and accounts zero bytes after everything has expired", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			s := journal.NewStore(journal.Limits{MaxBytes: 5000, RetentionUnfinished: time.Minute, RetentionFinished: time.Second})
			for range rapid.IntRange(1, 60).Draw(t, "entries") {
				k := ids.RequestKey{Workspace: "w", Request: ids.Request(rapid.StringMatching("[a-f]").Draw(t, "id"))}
				e := journal.Entry{Key: k, Attempt: 1, Owner: "r", First: rapid.Uint32Range(0, 5).Draw(t, "first")}
				e.Tokens = []string{strings.Repeat("x", rapid.IntRange(0, 900).Draw(t, "size"))}
				if rapid.Bool().Draw(t, "open") {
					e.Open = &journal.Open{Prompt: journal.Prompt{Text: strings.Repeat("p", rapid.IntRange(0, 900).Draw(t, "prompt"))}}
				}
				s.Append(start, e)
				if s.Bytes() > 5000 {
					t.Fatalf("the store holds %d bytes", s.Bytes())
				}
			}
			s.Expire(start.Add(time.Hour))
			if s.Bytes() != 0 || s.Len() != 0 {
				t.Fatalf("%d bytes of %d journals are left", s.Bytes(), s.Len())
			}
		})
	})
})
