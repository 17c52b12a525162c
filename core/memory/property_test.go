package memory_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/memory"
)

const capacity = 1 << 20

// modelled is a holder as the test expects it.
type modelled struct {
	*memory.Holder
	held       memory.Bytes
	progressAt time.Time
	complete   bool
	shed       bool
}

// machine drives an account and checks it against a model.
type machine struct {
	account *memory.Account
	now     time.Time
	list    []*modelled
}

func (m *machine) find(h *memory.Holder) *modelled {
	return m.list[slices.IndexFunc(m.list, func(o *modelled) bool { return o.Holder == h })]
}

func (m *machine) draw(t *rapid.T) *modelled {
	if len(m.list) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(m.list).Draw(t, "holder")
}

func (m *machine) open(*rapid.T) {
	m.list = append(m.list, &modelled{Holder: m.account.Open(func() {}, m.now), progressAt: m.now})
}

func (m *machine) grow(t *rapid.T) {
	h := m.draw(t)
	n := memory.Bytes(rapid.IntRange(1, 200<<10).Draw(t, "bytes"))
	shed, granted := m.account.Grow(h.Holder, n, m.now)
	refused := slices.Contains(shed, h.Holder)
	if refused && (granted || len(shed) > 1) {
		t.Fatal("others were shed for a holder that was refused, or it was refused and granted")
	}
	for _, s := range shed {
		o := m.find(s)
		if o.complete && o != h {
			t.Fatal("a complete holder was shed")
		}
		if !refused {
			m.checkOrder(t, o, h)
		}
		o.shed = !o.complete
	}
	if h.complete && h.Shed() {
		t.Fatal("a complete holder was shed as it asked for more")
	}
	if granted {
		h.held += n
		h.progressAt = m.now
	}
}

// checkOrder fails if a holder that could be shed holds more than one that was shed and has made no progress for longer.
func (m *machine) checkOrder(t *rapid.T, shed, asking *modelled) {
	for _, o := range m.list {
		if o.complete || o.shed || o == asking || o.held <= shed.held {
			continue
		}
		if o.progressAt.Before(shed.progressAt) {
			t.Fatalf("%d bytes were shed, and %d without progress for longer were not", shed.held, o.held)
		}
	}
}

func (m *machine) complete(t *rapid.T) {
	h := m.draw(t)
	if ok := h.Complete(); ok == h.shed {
		t.Fatalf("complete: %v, shed: %v", ok, h.shed)
	}
	h.complete = !h.shed
}

func (m *machine) release(t *rapid.T) {
	h := m.draw(t)
	h.Release()
	h.Release()
	m.list = slices.DeleteFunc(m.list, func(o *modelled) bool { return o == h })
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "time")))
}

// check compares the sums, and holds the account to its bounds.
func (m *machine) check(t *rapid.T) {
	var all, live memory.Bytes
	for _, h := range m.list {
		if h.Held() != h.held {
			t.Fatalf("holds %d, want %d", h.Held(), h.held)
		}
		all += h.held
		if !h.shed {
			live += h.held
		}
	}
	switch {
	case m.account.Held() != all:
		t.Fatalf("the account holds %d, want %d", m.account.Held(), all)
	case live > capacity:
		t.Fatalf("holders that are not shed hold %d", live)
	case all > 2*capacity+capacity/2:
		t.Fatalf("all holders hold %d", all)
	}
}

var _ = Describe("an account", func() {
	// Guards against bytes that are counted twice or never returned, complete bodies that are shed, and holders that are shed in
	// another order than that of the design.
	It("keeps its bounds and its order whatever its holders do", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			m := &machine{account: memory.New(capacity), now: time.Unix(0, 0)}
			t.Repeat(map[string]func(*rapid.T){
				"open": m.open, "openToo": m.open, "grow": m.grow, "growToo": m.grow, "growMore": m.grow,
				"complete": m.complete, "release": m.release, "wait": m.wait, "": m.check,
			})
			for _, h := range m.list {
				h.Release()
			}
			if m.account.Held() != 0 {
				t.Fatalf("%d bytes are held by nobody", m.account.Held())
			}
		})
	})
})
