package wireconv_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

var _ = Describe("a report on quarantined prompt parts", func() {
	It("survives the wire, and is left out when it is empty", func() {
		r := quarantine.Report{
			Crashes: []quarantine.CrashReport{{Parts: []quarantine.Part{1, 1 << 63}, Upstream: "i-1", Started: -7, Age: 1500 * time.Millisecond}},
			Breakers: []quarantine.BreakerReport{{
				Part: 2, Epoch: 3, Age: 2 * time.Hour, OpenFor: time.Hour, Released: true, ReleasedAge: time.Minute, Crashes: 4,
				Alternatives: []quarantine.Part{5},
			}},
			Sound: []quarantine.SoundReport{{Part: 6, Age: 70 * time.Millisecond}},
		}
		encoded, err := proto.Marshal(&wire.News{Sender: "r1", Quarantine: wireconv.QuarantineToWire(r)})
		Expect(err).NotTo(HaveOccurred())
		var decoded wire.News
		Expect(proto.Unmarshal(encoded, &decoded)).To(Succeed())
		Expect(wireconv.QuarantineFromWire(decoded.GetQuarantine())).To(Equal(r))

		Expect(wireconv.QuarantineToWire(quarantine.Report{})).To(BeNil())
		Expect(wireconv.QuarantineFromWire(nil).IsEmpty()).To(BeTrue())
	})
	It("takes less than 2 KB at its usual size and 8 KB at its bounds", func() {
		size := func(crashes, breakers, sound int) int {
			r := quarantine.Report{}
			for i := range crashes {
				r.Crashes = append(r.Crashes, quarantine.CrashReport{
					Parts: []quarantine.Part{1, 2, quarantine.Part(i)}, Upstream: ids.VM("i-5283a9a0af"), Started: 1 << 60, Age: 9 * time.Second,
				})
			}
			for i := range breakers {
				r.Breakers = append(r.Breakers, quarantine.BreakerReport{
					Part: quarantine.Part(i), Epoch: 2, Age: time.Hour, OpenFor: time.Hour, Crashes: 9, Alternatives: []quarantine.Part{1, 2},
				})
			}
			for i := range sound {
				r.Sound = append(r.Sound, quarantine.SoundReport{Part: quarantine.Part(i), Age: time.Minute})
			}
			return proto.Size(wireconv.QuarantineToWire(r))
		}
		Expect(size(16, 2, 6)).To(BeNumerically("<", 2048))
		Expect(size(16, 32, 32)).To(BeNumerically("<", 8192))
		Expect(size(0, 1, 0)).To(BeNumerically("<", 64))
	})
})
