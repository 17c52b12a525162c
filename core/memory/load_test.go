package memory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/memory"
)

const (
	siteCapacity = 20 << 20
	largeBody    = 4 << 20
	smallBody    = 200_000
	ordinaryBody = 40 << 10
	pieceBytes   = 4 << 10
)

// load is a set of bodies that arrive at one account. Shed bodies are released at once.
type load struct {
	account *memory.Account
	now     time.Time
	open    map[*memory.Holder]bool
	shed    map[*memory.Holder]bool
	most    memory.Bytes
}

func newLoad() *load {
	return &load{
		account: memory.New(siteCapacity), now: time.Unix(0, 0), open: map[*memory.Holder]bool{}, shed: map[*memory.Holder]bool{},
	}
}

// begin opens a body.
func (l *load) begin() *memory.Holder {
	h := l.account.Open(func() {}, l.now)
	l.open[h] = true
	return h
}

// receive adds bytes to a body and reports whether it is still there.
func (l *load) receive(h *memory.Holder, n memory.Bytes) bool {
	for granted := false; !granted && l.open[h]; {
		var shed []*memory.Holder
		shed, granted = l.account.Grow(h, n, l.now)
		for _, s := range shed {
			l.shed[s] = true
			delete(l.open, s)
			s.Release()
		}
	}
	l.most = max(l.most, l.account.Held())
	return l.open[h]
}

// ordinary sends one ordinary body whole and reports whether it was taken.
func (l *load) ordinary() bool {
	h := l.begin()
	for range ordinaryBody / pieceBytes {
		if !l.receive(h, pieceBytes) {
			return false
		}
	}
	return h.Complete()
}

// crowd lets bodies of the given size arrive side by side, and stop short of their end. Between the pieces runs meanwhile.
func (l *load) crowd(n int, size memory.Bytes, meanwhile func()) {
	var list []*memory.Holder
	for range n {
		list = append(list, l.begin())
	}
	for got := memory.Bytes(0); got+pieceBytes < size; got += pieceBytes {
		for _, h := range list {
			if l.open[h] {
				l.receive(h, pieceBytes)
			}
		}
		l.now = l.now.Add(time.Millisecond)
		meanwhile()
	}
}

var _ = Describe("load:", func() {
	nothing := func() {}
	It("many large bodies that stop short hold no more than the capacity, and one that comes later is whole", func() {
		l := newLoad()
		l.crowd(120, largeBody, nothing)
		Expect(l.most).To(BeNumerically("<=", siteCapacity))
		l.now = l.now.Add(5 * time.Second)
		h := l.begin()
		for range largeBody / pieceBytes {
			Expect(l.receive(h, pieceBytes)).To(BeTrue(), "the bodies that make no progress are shed first")
		}
		Expect(h.Complete()).To(BeTrue())
	})
	It("many small bodies that stop short hold no more than the capacity, and ordinary ones are taken", func() {
		l := newLoad()
		l.crowd(900, smallBody, nothing)
		Expect(l.most).To(BeNumerically("<=", siteCapacity))
		for range 300 {
			l.now = l.now.Add(10 * time.Millisecond)
			Expect(l.ordinary()).To(BeTrue())
		}
	})
	for _, crowd := range []struct {
		name  string
		count int
		size  memory.Bytes
	}{{"many large bodies", 120, largeBody}, {"many small bodies", 900, smallBody}} {
		It("one ordinary caller beside "+crowd.name+" is never refused", func() {
			l := newLoad()
			refused := 0
			l.crowd(crowd.count, crowd.size, func() {
				h := l.begin()
				whole := true
				for range ordinaryBody / pieceBytes {
					whole = whole && l.receive(h, pieceBytes)
				}
				if !whole || !h.Complete() {
					refused++
				}
				h.Release()
			})
			Expect(refused).To(BeZero())
			Expect(len(l.shed)).To(BeNumerically(">", 0), "the load must reach the bound")
		})
	}
	It("large bodies that are being served leave the reserve to small ones", func() {
		l := newLoad()
		for l.account.Held() < siteCapacity*3/4-largeBody {
			h := l.begin()
			Expect(l.receive(h, largeBody)).To(BeTrue())
			Expect(h.Complete()).To(BeTrue())
		}
		h := l.begin()
		Expect(l.receive(h, largeBody)).To(BeFalse(), "no body that is being served makes room")
		Expect(l.shed).To(HaveLen(1))
		for range 100 {
			Expect(l.ordinary()).To(BeTrue())
		}
	})
	It("a single body of the largest size is taken", func() {
		l := newLoad()
		h := l.begin()
		Expect(l.receive(h, largeBody)).To(BeTrue())
		Expect(h.Complete()).To(BeTrue())
		Expect(l.shed).To(BeEmpty())
	})
	It("bodies that are shed and not released yet stay within a bound", func() {
		a := memory.New(siteCapacity)
		now := time.Unix(0, 0)
		for i := range 2000 {
			now = now.Add(time.Duration(i) * time.Microsecond)
			a.Grow(a.Open(func() {}, now), memory.FirstPart, now)
		}
		Expect(a.Held()).To(BeNumerically("<=", siteCapacity*3/2+memory.FirstPart))
	})
	It("the slowest body is the one that has made no progress for the longest time, also if it holds nothing", func() {
		l := newLoad()
		first := l.begin()
		l.now = l.now.Add(time.Second)
		second := l.begin()
		l.now = l.now.Add(time.Second)
		Expect(l.receive(first, pieceBytes)).To(BeTrue())
		Expect(l.account.ShedSlowest(l.now.Add(-2*time.Second))).To(BeNil(), "all have made progress since")
		Expect(l.account.ShedSlowest(l.now)).To(BeIdenticalTo(second))
		Expect(first.Complete()).To(BeTrue())
		Expect(l.account.ShedSlowest(l.now)).To(BeNil())
	})
})
