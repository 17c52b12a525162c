package dissemination_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/dissemination"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

const (
	valueKey           = "config"
	wideLink, slowLink = 200e6 / 8, 20e6 / 8
)

var start = time.Unix(1000, 0)

// pushesTo is a SendsChangesTo function of a router that pushes changes to all others, or to none.
func pushesTo(all bool) func(time.Time) func(ids.VM) bool {
	return func(time.Time) func(ids.VM) bool { return func(ids.VM) bool { return all } }
}

// newNode returns a node that pushes no changes.
func newNode(self ids.VM, link dissemination.BytesPerSecond) *dissemination.Node {
	return dissemination.New(dissemination.Options{
		Self: self, Domain: "north", ValueKey: valueKey, Link: link, CPUShare: 1, SendsChangesTo: pushesTo(false),
	})
}

// value returns a change of the large value.
func value(at store.Revision, size int) store.Change {
	return store.Change{Item: store.Item{Key: valueKey, Value: make([]byte, size), Modified: at}}
}

// announce makes a node learn from a router of a value that it does not have.
func announce(n *dissemination.Node, from ids.VM, at store.Revision, status dissemination.Status, now time.Time) {
	status.Revision, status.Holds = at, at
	c := value(at, 0)
	c.OmittedBytes = 100_000
	n.Receive(from, "address of "+string(from), status, &mirror.Delta{List: []store.Change{c}, UpTo: at}, now)
}

var _ = Describe("a node that lacks changes", func() {
	It("pulls them in pages, from one router at a time, and leaves one that does not answer alone", func() {
		server, n := newNode("server", wideLink), newNode("n", wideLink)
		var list []store.Change
		for i := range 1000 {
			list = append(list, store.Change{Item: store.Item{Key: fmt.Sprint("upstreams/", i), Value: make([]byte, 200), Modified: store.Revision(i + 1)}})
		}
		server.Apply(list, 1000)
		n.Receive("server", "s", server.Status(), nil, start)
		now := start
		p, ok := n.NextPull(now)
		Expect(ok).To(BeTrue(), "a router that has just started does not wait")
		_, ok = n.NextPull(now)
		Expect(ok).To(BeFalse(), "one is under way")
		n.PullDone(p.From, nil, now)
		_, ok = n.NextPull(now.Add(100 * time.Millisecond))
		Expect(ok).To(BeFalse(), "it has just failed")
		pages := 0
		for now = now.Add(time.Second); n.Revision() < 1000; now = now.Add(10 * time.Millisecond) {
			p, ok := n.NextPull(now)
			Expect(ok).To(BeTrue())
			page := server.ServePull(p.Since, p.Snapshot, now)
			n.PullDone(p.From, &page, now)
			pages++
			Expect(pages).To(BeNumerically("<", 20))
		}
		Expect(pages).To(BeNumerically(">", 4))
	})
	It("waits a moment for a push before it pulls", func() {
		n := newNode("n", wideLink)
		n.Apply(nil, 5)
		n.Receive("server", "s", dissemination.Status{Revision: 6}, nil, start)
		_, ok := n.NextPull(start)
		Expect(ok).To(BeFalse())
		_, ok = n.NextPull(start.Add(250 * time.Millisecond))
		Expect(ok).To(BeTrue())
	})
	// Guards against requests to an upstream that has left: a router that had started after its removal told the others that they knew all
	// changes.
	It("learns of removals from a router that has listed the store after them", func() {
		server := dissemination.New(dissemination.Options{
			Self: "server", Domain: "north", ValueKey: valueKey, Link: wideLink, CPUShare: 1, SendsChangesTo: pushesTo(true),
		})
		n := newNode("n", wideLink)
		kept := store.Item{Key: "upstreams/kept", Modified: 1}
		n.Apply([]store.Change{{Item: kept}, {Item: store.Item{Key: "upstreams/left", Modified: 2}}}, 2)
		now := start
		server.Receive("n", "n", n.Status(), nil, now)
		server.Reset("upstreams/", []store.Item{kept, {Key: "upstreams/new", Modified: 4}}, 5)
		server.MarkComplete(5)
		updates := server.Updates(now)
		Expect(updates).To(HaveLen(1))
		changes := n.Receive("server", "s", server.Status(), updates[0].Delta, now)
		Expect(changes).To(HaveLen(1), "what is new does not wait for the pull")
		status := n.Status()
		server.UpdateDone("n", &status, now)
		Expect(server.Updates(now.Add(100*time.Millisecond))).To(BeEmpty(), "the same is not pushed again")
		n.NextPull(now)
		now = now.Add(time.Second)
		p, ok := n.NextPull(now)
		Expect(ok).To(BeTrue())
		page := server.ServePull(p.Since, p.Snapshot, now)
		changes = n.PullDone(p.From, &page, now)
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Key).To(Equal("upstreams/left"))
		Expect(changes[0].Removed).To(BeTrue())
		Expect(n.Revision()).To(BeEquivalentTo(5))
	})
	It("learns of removals from a router that no longer knows all of them", func() {
		server, n := newNode("server", wideLink), newNode("n", wideLink)
		kept := store.Change{Item: store.Item{Key: "upstreams/kept", Modified: 1}}
		lost := store.Change{Item: store.Item{Key: "upstreams/lost", Modified: 2}}
		n.Apply([]store.Change{kept, lost}, 2)
		server.Apply([]store.Change{kept, lost}, 2)
		lost.Removed, lost.Modified = true, 3
		server.Apply([]store.Change{lost}, 3)
		for i := range 5000 {
			c := store.Change{Item: store.Item{Key: fmt.Sprint("upstreams/", i), Modified: store.Revision(4 + i)}, Removed: true}
			server.Apply([]store.Change{c}, c.Modified)
		}
		now := start
		n.Receive("server", "s", server.Status(), nil, now)
		var changes []store.Change
		n.NextPull(now)
		for now = now.Add(time.Second); n.Revision() < server.Revision(); now = now.Add(100 * time.Millisecond) {
			p, ok := n.NextPull(now)
			Expect(ok).To(BeTrue())
			page := server.ServePull(p.Since, p.Snapshot, now)
			Expect(page.Snapshot).To(BeTrue())
			changes = append(changes, n.PullDone(p.From, &page, now)...)
		}
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Key).To(Equal("upstreams/lost"))
		Expect(changes[0].Removed).To(BeTrue())
	})
})

var _ = Describe("the updates of a node", func() {
	var n *dissemination.Node
	list := func(count int, pushes bool, link dissemination.BytesPerSecond) {
		n = dissemination.New(dissemination.Options{Self: "n", ValueKey: valueKey, Link: link, CPUShare: 1, SendsChangesTo: pushesTo(pushes)})
		for i := range count {
			n.SetListed(ids.VM(fmt.Sprint(i)), fmt.Sprint("address ", i))
		}
	}
	// run executes updates for a time while the state changes all the time, and returns how many there were.
	run := func(duration time.Duration, answer func(to ids.VM) *dissemination.Status) map[ids.VM]int {
		sent := map[ids.VM]int{}
		for now := start; now.Sub(start) < duration; now = now.Add(10 * time.Millisecond) {
			n.StateChanged(now)
			for _, u := range n.Updates(now) {
				sent[u.To]++
				n.UpdateDone(u.To, answer(u.To), now)
			}
		}
		return sent
	}
	answers := func(ids.VM) *dissemination.Status { return &dissemination.Status{} }
	total := func(sent map[ids.VM]int) int {
		sum := 0
		for _, count := range sent {
			sum += count
		}
		return sum
	}
	It("are about as many in a large fleet as in a small one", func() {
		list(33, false, wideLink)
		small := total(run(10*time.Second, answers))
		list(480, false, wideLink)
		Expect(total(run(10*time.Second, answers))).To(BeNumerically("<", 2*small))
	})
	It("become rare for a router that does not answer, without delaying others", func() {
		list(33, false, wideLink)
		sent := run(10*time.Second, func(to ids.VM) *dissemination.Status {
			if to < "2" {
				return nil
			}
			return &dissemination.Status{}
		})
		Expect(sent["0"]).To(BeNumerically("<", 10))
		Expect(sent["2"]).To(BeNumerically(">", 20))
	})
	It("follow the interval that a small router asks for", func() {
		list(33, false, wideLink)
		sent := run(10*time.Second, func(to ids.VM) *dissemination.Status {
			if to == "0" {
				return &dissemination.Status{MinInterval: time.Second}
			}
			return &dissemination.Status{}
		})
		Expect(sent["0"]).To(BeNumerically("~", 10, 2))
		Expect(sent["1"]).To(BeNumerically(">", 20))
	})
	It("are sent at the idle interval while nothing changes", func() {
		list(4, false, wideLink)
		sent := 0
		for now := start; now.Sub(start) < 10*time.Second; now = now.Add(10 * time.Millisecond) {
			for _, u := range n.Updates(now) {
				sent++
				n.UpdateDone(u.To, &dissemination.Status{}, now)
			}
		}
		Expect(sent).To(BeNumerically("~", 4*20, 8))
	})
	It("push changes at once, without large values, and only what a router lacks", func() {
		list(3, true, wideLink)
		for _, u := range n.Updates(start) {
			n.UpdateDone(u.To, &dissemination.Status{Revision: 4}, start)
		}
		small := store.Change{Item: store.Item{Key: "upstreams/a", Value: []byte("a"), Modified: 4}}
		n.Apply([]store.Change{small, value(5, 100_000)}, 5)
		updates := n.Updates(start.Add(time.Millisecond))
		Expect(updates).To(HaveLen(3))
		for _, u := range updates {
			Expect(u.Delta.List).To(HaveLen(1))
			Expect(u.Delta.List[0].Value).To(BeEmpty())
			Expect(u.Delta.List[0].OmittedBytes).To(Equal(100_000))
		}
	})
	It("go to the seeds while no other router is known", func() {
		n = dissemination.New(dissemination.Options{Self: "n", Seeds: []string{"s1", "s2"}, SendsChangesTo: pushesTo(false)})
		Expect(n.Updates(start)).To(HaveLen(2))
		n.Receive("other", "o", dissemination.Status{}, nil, start)
		Expect(n.Peers(start)).To(Equal(map[ids.VM]string{"other": "o"}))
		Expect(n.Peers(start.Add(time.Minute))).To(HaveLen(2), "it has disappeared")
	})
})
