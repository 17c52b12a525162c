package sse_test

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/sse"
)

const maxRuns = 3

// runFunc returns what a run sends to a receiver that has the events up to last, and whether it is broken off then.
type runFunc func(last uint64) (text string, brokenOff bool)

// delivery is what a receiver gets from the runs of a stream.
type delivery struct {
	raw      string
	complete bool
	runs     int
}

// deliver plays the runs of a stream, each at a source of its own. The last one is repeated until no other run may follow.
func deliver(c *sse.Conventions, limit int, runs ...runFunc) delivery {
	order := sse.NewSequence(c, 0, false)
	var out delivery
	for out.runs < limit && !out.complete && order.Resumable() {
		last, _ := order.LastID()
		text, brokenOff := runs[min(out.runs, len(runs)-1)](last)
		out.runs++
		order.Begin(fmt.Sprint("source-", out.runs), out.runs == limit)
		out.complete = out.read(order, text, brokenOff)
	}
	return out
}

// read reads one run, and reports whether it has completed the stream.
func (d *delivery) read(order *sse.Sequence, text string, brokenOff bool) bool {
	r := sse.NewReader(strings.NewReader(text), 1<<20)
	pass := func(events []sse.Event) {
		for _, e := range events {
			d.raw += string(e.Raw)
		}
	}
	for {
		e, err := r.Next()
		switch {
		case errors.Is(err, io.EOF) && !brokenOff:
			rest, err := order.End()
			pass(rest)
			return err == nil
		case err != nil:
			order.Interrupt(r.WithinEvent())
			return false
		}
		ready, err := order.Add(e)
		if err != nil {
			order.Interrupt(false)
			return false
		}
		pass(ready)
	}
}

var piece = regexp.MustCompile(`piece-[0-9]`)

// pieces returns the pieces in the data of a stream as a client reads them.
func pieces(stream string) []string {
	var out []string
	for _, block := range strings.Split(strings.ReplaceAll(stream, "\r\n", "\n"), "\n\n") {
		for _, line := range strings.Split(block, "\n") {
			if v, found := strings.CutPrefix(line, "data:"); found {
				out = append(out, piece.FindAllString(v, -1)...)
			}
		}
	}
	return out
}

// events returns the events of a stream from one number up to another.
func events(from, to uint64, format func(n uint64) string) string {
	var out strings.Builder
	for n := from; n <= to; n++ {
		out.WriteString(format(n))
	}
	return out.String()
}

func usual(n uint64) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", n, n) }

// sound returns a run that sends a stream of some events whole.
func sound(n uint64, format func(n uint64) string) runFunc {
	return func(last uint64) (string, bool) { return events(last+1, n, format), false }
}

// damages returns the texts with one byte changed, lost or added, but not within the data.
func damages(text string) []string {
	var out []string
	value := strings.Index(text, "piece-")
	valueEnd := value + strings.IndexByte(text[value:], '\n')
	for i := range len(text) {
		if i > value && i < valueEnd {
			continue
		}
		for _, c := range []string{"x", "\n", "\r", " ", ":", "0", "7", "9", "D"} {
			if i != value {
				out = append(out, text[:i]+c+text[i+1:])
			}
			out = append(out, text[:i]+c+text[i:])
		}
		if i != value {
			out = append(out, text[:i]+text[i+1:])
		}
	}
	return out
}

// Guards against streams that end as complete with a piece missing or twice because a byte between the pieces is wrong.
var _ = Describe("a stream one of whose events has a wrong byte", func() {
	const last = 5
	whole := pieces(events(1, last, usual))
	DescribeTable("is complete with each piece once, whichever byte it is and however the stream goes on",
		func(wrong uint64) {
			alone := 0
			for _, text := range damages(usual(wrong)) {
				for cut := wrong; cut <= last+1; cut++ {
					spoiled := func(uint64) (string, bool) {
						return events(1, wrong-1, usual) + text + events(wrong+1, min(cut, last), usual), cut <= last
					}
					got := deliver(&sse.Conventions{}, maxRuns, spoiled, sound(last, usual))
					Expect(got.complete).To(BeTrue(), "%q, cut after %d", text, cut)
					Expect(pieces(got.raw)).To(Equal(whole), "%q, cut after %d: %q", text, cut, got.raw)
				}
				// A stream that may not be resumed is cut instead.
				got := deliver(&sse.Conventions{}, 1, func(uint64) (string, bool) {
					return events(1, wrong-1, usual) + text + events(wrong+1, last, usual), false
				})
				if got.complete {
					alone++
					Expect(pieces(got.raw)).To(Equal(whole), "%q: %q", text, got.raw)
				}
			}
			Expect(alone).To(BeNumerically(">", 0))
		},
		Entry("of the first event", uint64(1)), Entry("of the second one", uint64(2)), Entry("of one in the middle", uint64(3)), Entry("of the last one", uint64(5)),
	)
})

// Guards against sound streams that are cut, or run again each time, because their events have a legal but unusual form.
var _ = Describe("a sound stream", func() {
	const last = 6
	// each returns a run that sends a stream with an ID for each event, which numbers gives.
	each := func(format string, number func(n uint64) uint64) runFunc {
		return func(after uint64) (string, bool) {
			var out strings.Builder
			for n := uint64(1); n <= last; n++ {
				if id := number(n); id > after || after == 0 {
					out.WriteString(strings.NewReplacer("ID", fmt.Sprint(id), "DATA", fmt.Sprint("piece-", n)).Replace(format))
				}
			}
			return out.String(), false
		}
	}
	plain := func(n uint64) uint64 { return n }
	DescribeTable("is passed on as it is", func(run runFunc, first int) {
		conventions := &sse.Conventions{}
		whole, _ := run(0)
		got := deliver(conventions, maxRuns, run)
		Expect(got.complete).To(BeTrue())
		Expect(got.raw).To(Equal(whole))
		Expect(got.runs).To(Equal(first))
		for range 2 {
			got = deliver(conventions, maxRuns, run)
			Expect(got.complete).To(BeTrue())
			Expect(got.raw).To(Equal(whole))
		}
		Expect(got.runs).To(Equal(1), "the conventions are known")
		got = deliver(&sse.Conventions{}, 1, run)
		Expect(got.complete).To(BeTrue(), "no other run may follow")
		Expect(got.raw).To(Equal(whole))
	},
		Entry("with the usual events", each("id: ID\ndata: DATA\n\n", plain), 1),
		Entry("with carriage returns", each("id: ID\r\ndata: DATA\r\n\r\n", plain), 1),
		Entry("without spaces", each("id:ID\ndata:DATA\n\n", plain), 1),
		Entry("with the ID last", each("data: DATA\nid: ID\n\n", plain), 1),
		Entry("with leading zeros", each("id: 00ID\ndata: DATA\n\n", plain), 1),
		Entry("with several lines of data", each("id: ID\ndata: DATA\ndata: more\ndata:\n\n", plain), 1),
		Entry("with types and delays", each("event: token\nretry: 10\nid: ID\ndata: DATA\n\n", plain), 1),
		Entry("with comments", each(": wait\n\n: a\nid: ID\n: b\ndata: DATA\n: c\n\n:\n\n", plain), 1),
		Entry("with blocks that are no events", each("event: a\n\nretry: 5\n\n\n\nid: ID\ndata: DATA\n\nevent: b\n\n", plain), 1),
		Entry("with the version of the weights", each("weight-versions: 7\nid: ID\ndata: DATA\n\n", plain), 1),
		Entry("with events without an ID", each("id: ID\ndata: DATA\n\ndata: ping\n\n", plain), 1),
		Entry("with events without data", each("id: ID\n\ndata: DATA\n\n", plain), 1),
		Entry("without IDs", each("data: DATA\n\n", plain), 1),
		Entry("with a byte order mark", runFunc(func(after uint64) (string, bool) { return "\ufeff" + events(after+1, last, usual), false }), 1),
		Entry("with an end marker", runFunc(func(after uint64) (string, bool) { return events(after+1, last, usual) + "data: [DONE]\n\n", false }), 1),
		Entry("with a field of its own before the data", each("id: ID\nkind: a\ndata: DATA\n\n", plain), 1),
		Entry("with a field of its own after the data", each("id: ID\ndata: DATA\nkind: a\n\n", plain), 2),
		Entry("that begins with another ID", each("id: ID\ndata: DATA\n\n", func(n uint64) uint64 { return n + 40 }), 2),
		Entry("that begins with zero", each("id: ID\ndata: DATA\n\n", func(n uint64) uint64 { return n - 1 }), 2),
		Entry("whose IDs have gaps", each("id: ID\ndata: DATA\n\n", func(n uint64) uint64 { return 10 * n }), 3),
	)
	DescribeTable("goes on behind its last event, wherever it breaks off", func(run runFunc) {
		whole, _ := run(0)
		for cut := range len(whole) {
			// What was held back is sent again, without the comments before it.
			got := deliver(&sse.Conventions{}, maxRuns, func(uint64) (string, bool) { return whole[:cut], true }, run)
			Expect(got.complete).To(BeTrue(), "cut at %d", cut)
			Expect(pieces(got.raw)).To(Equal(pieces(whole)), "cut at %d: %q", cut, got.raw)
		}
	},
		Entry("with the usual events", each("id: ID\ndata: DATA\n\n", plain)),
		Entry("with carriage returns", each("id: ID\r\ndata: DATA\r\n\r\n", plain)),
		Entry("with the ID last", each("data: DATA\nid: ID\n\n", plain)),
		Entry("with comments", each(": wait\n\nid: ID\n: b\ndata: DATA\n: c\n\n", plain)),
		Entry("with blocks that are no events", each("event: a\n\nretry: 5\n\nid: ID\ndata: DATA\n\n", plain)),
		Entry("with the version of the weights", each("weight-versions: 7\nid: ID\ndata: DATA\n\n", plain)),
	)
})

var _ = Describe("the order of a stream", func() {
	DescribeTable("is checked over all runs", func(faulty string) {
		const last = 5
		got := deliver(&sse.Conventions{}, maxRuns, func(uint64) (string, bool) { return faulty, false }, sound(last, usual))
		Expect(got.complete).To(BeTrue())
		Expect(got.raw).To(Equal(events(1, last, usual)))
		// A run that nothing can be compared with is judged by the other streams of the service.
		conventions := &sse.Conventions{}
		Expect(deliver(conventions, 1, sound(last, usual)).complete).To(BeTrue())
		got = deliver(conventions, 1, func(uint64) (string, bool) { return faulty, false })
		Expect(got.complete && got.raw != events(1, last, usual)).To(BeFalse())
	},
		Entry("the first event is missing", events(2, 5, usual)),
		Entry("an event is missing", events(1, 2, usual)+events(4, 5, usual)),
		Entry("an event comes twice", events(1, 3, usual)+events(3, 5, usual)),
		Entry("two events are swapped", usual(1)+usual(3)+usual(2)+events(4, 5, usual)),
		Entry("the first two are swapped", usual(2)+usual(1)+events(3, 5, usual)),
		Entry("half an event", events(1, 3, usual)+"id: 4\nda"),
	)
	It("does not take the end of a run for that of the stream while an event is known to be missing", func() {
		empty := func(uint64) (string, bool) { return "", false }
		for _, first := range []string{usual(1) + "id: 2\nd", usual(1) + usual(3), usual(1) + "data: a\n\n"} {
			got := deliver(&sse.Conventions{}, 2, func(uint64) (string, bool) { return first, true }, empty)
			Expect(got.complete).To(BeFalse(), "%q", first)
		}
		got := deliver(&sse.Conventions{}, 2, func(uint64) (string, bool) { return usual(1), true }, empty)
		Expect(got.complete).To(BeTrue())
	})
	It("does not resume a stream that has passed on events without IDs", func() {
		unnumbered := func(uint64) (string, bool) { return "data: a\n\ndata: b\n\ndata: c\n\n", true }
		got := deliver(&sse.Conventions{}, maxRuns, unnumbered)
		Expect(got.complete).To(BeFalse())
		Expect(got.runs).To(Equal(1))
	})
	It("does not accept two events after the last one from a run that sends again what the receiver has", func() {
		got := deliver(&sse.Conventions{}, 2, func(uint64) (string, bool) { return events(1, 3, usual), true }, func(uint64) (string, bool) { return events(1, 5, usual), false })
		Expect(got.complete).To(BeTrue())
		Expect(got.raw).To(Equal(events(1, 5, usual)))
		got = deliver(&sse.Conventions{}, 2, func(uint64) (string, bool) { return events(1, 3, usual), true }, func(uint64) (string, bool) { return events(1, 2, usual), false })
		Expect(got.complete).To(BeFalse())
	})
})
