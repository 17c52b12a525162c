package delta_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/delta"
	"bilberrylug.dev/core/fault"
)

// document returns a configuration of n routes.
func document(n int) []byte {
	var out strings.Builder
	for i := range n {
		// Operators' names have little in common.
		name := uint64(i+1) * 0x9e3779b97f4a7c15
		_, _ = fmt.Fprintf(&out, `{"name":"%x","host":"%x.example","timeout_ms":%d,"attempts":2},`, name>>32, name&0xffffffff, 1000+i%7)
	}
	return []byte(out.String())
}

var _ = Describe("an encoded value", func() {
	It("decodes to the value, with and without a base", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			base := document(rapid.IntRange(0, 3000).Draw(t, "routes"))
			value := append([]byte(nil), base...)
			for range rapid.IntRange(0, 5).Draw(t, "edits") {
				at := rapid.IntRange(0, len(value)).Draw(t, "at")
				value = append(value[:at:at], append(rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "text"), value[at:]...)...)
			}
			for _, b := range [][]byte{nil, base} {
				got, err := delta.Decode(delta.Encode(value, b), b)
				if err != nil || string(got) != string(value) {
					t.Fatalf("decoded %d of %d bytes: %v", len(got), len(value), err)
				}
			}
		})
	})
	It("takes some hundred bytes if a configuration of 1,400 routes changes in one of them", func() {
		base := document(1400)
		value := []byte(strings.Replace(string(base), `"timeout_ms":1003`, `"timeout_ms":700`, 1))
		Expect(len(delta.Encode(value, base).Data)).To(BeNumerically("<", 1000))
		Expect(len(delta.Encode(value, nil).Data)).To(BeNumerically("<", len(value)/4))
	})
	It("is refused if it is damaged, made for another base, of an unknown format or too large", func() {
		base, value := document(1000), document(1001)
		e := delta.Encode(value, base)
		damaged := e
		damaged.Data = append([]byte(nil), e.Data...)
		damaged.Data[len(damaged.Data)/2] ^= 1
		shorter, unknown, large := e, e, e
		shorter.Size--
		unknown.Format = 9
		large.Size = delta.MaxBytes + 1
		for _, bad := range []delta.Encoded{damaged, shorter, unknown} {
			_, err := delta.Decode(bad, base)
			Expect(fault.CodeOf(err)).To(Equal(fault.ReplyInvalid))
		}
		_, err := delta.Decode(e, document(999))
		Expect(fault.CodeOf(err)).To(Equal(fault.ReplyInvalid))
		_, err = delta.Decode(large, base)
		Expect(fault.CodeOf(err)).To(Equal(fault.ReplyTooLarge))
	})
	It("does not decode to more than the limit, whatever size it states", func() {
		bomb := delta.Encode(make([]byte, 2*delta.MaxBytes), nil)
		Expect(len(bomb.Data)).To(BeNumerically("<", 1<<20))
		bomb.Size = 1000
		_, err := delta.Decode(bomb, nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.ReplyInvalid))
	})
})
