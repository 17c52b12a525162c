package direct

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/store"
)

var _ = Describe("several configurations that arrive together", func() {
	// changes returns one change of the configuration for each value, whose length is its version.
	changes := func(values ...string) []store.Change {
		var out []store.Change
		for i, v := range values {
			out = append(out, store.Change{Item: store.Item{Key: "config", Value: []byte(v), Modified: store.Revision(i + 1)}})
		}
		return out
	}
	// counted counts how many configurations a state decodes. Values that begin with "?" are unreadable.
	counted := func(st *state) *int {
		n := 0
		decode := st.decode.Config
		st.decode.Config = func(value []byte) (*routing.Config, error) {
			n++
			if value[0] == '?' {
				return nil, errors.New("unreadable")
			}
			return decode(value)
		}
		return &n
	}
	// Guards against a router that is short of CPU and works through every version written during an outage of the store, each of
	// which takes it a second, before the one that is in force.
	It("cost as much as one: only the newest is decoded", func() {
		st, _ := newTestState()
		decoded := counted(st)
		st.applyChanges(changes("1", "22", "333", "4444", "55555", "666666", "7777777"))
		Expect(st.configVersion()).To(BeEquivalentTo(7))
		Expect(*decoded).To(Equal(1))
	})
	// Guards against losing a readable configuration because a later value is not one.
	It("activate the newest that can be read", func() {
		st, _ := newTestState()
		counted(st)
		st.applyChanges(changes("1", "22", "?"))
		Expect(st.configVersion()).To(BeEquivalentTo(2))
	})
	// Guards against an older version that is written later and hides a newer one of the same batch.
	It("are searched for the newest if the last one is older than the active one", func() {
		st, _ := newTestState()
		counted(st)
		st.applyChanges(changes("1", "22"))
		st.applyChanges(changes("1", "22", "4444", "1"))
		Expect(st.configVersion()).To(BeEquivalentTo(4))
	})
})
