package wireconv

import (
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/wire"
)

// QuarantineToWire converts a report on quarantined prompt parts to its wire message, or to nil if it is empty.
func QuarantineToWire(r quarantine.Report) *wire.PromptQuarantine {
	if r.IsEmpty() {
		return nil
	}
	out := &wire.PromptQuarantine{}
	for _, c := range r.Crashes {
		out.Crashes = append(out.Crashes, &wire.PromptCrash{
			Parts: partsToWire(c.Parts), Upstream: string(c.Upstream), Started: c.Started, AgeMs: milliseconds(c.Age),
			Router: string(c.Router),
		})
	}
	for _, b := range r.Breakers {
		out.Breakers = append(out.Breakers, &wire.PromptBreaker{
			Part: uint64(b.Part), Epoch: b.Epoch, AgeMs: milliseconds(b.Age), OpenForMs: milliseconds(b.OpenFor),
			Released: b.Released, ReleasedAgeMs: milliseconds(b.ReleasedAge), Crashes: uint32(b.Crashes),
			Alternatives: partsToWire(b.Alternatives),
		})
	}
	for _, s := range r.Sound {
		out.Sound = append(out.Sound, &wire.SoundPart{Part: uint64(s.Part), AgeMs: milliseconds(s.Age)})
	}
	return out
}

// QuarantineFromWire converts a report on quarantined prompt parts from its wire message.
func QuarantineFromWire(m *wire.PromptQuarantine) quarantine.Report {
	var r quarantine.Report
	for _, c := range m.GetCrashes() {
		r.Crashes = append(r.Crashes, quarantine.CrashReport{
			Parts: partsFromWire(c.GetParts()), Upstream: ids.VM(c.GetUpstream()), Started: c.GetStarted(), Age: duration(c.GetAgeMs()),
			Router: ids.VM(c.GetRouter()),
		})
	}
	for _, b := range m.GetBreakers() {
		r.Breakers = append(r.Breakers, quarantine.BreakerReport{
			Part: quarantine.Part(b.GetPart()), Epoch: b.GetEpoch(), Age: duration(b.GetAgeMs()), OpenFor: duration(b.GetOpenForMs()),
			Released: b.GetReleased(), ReleasedAge: duration(b.GetReleasedAgeMs()), Crashes: int(b.GetCrashes()),
			Alternatives: partsFromWire(b.GetAlternatives()),
		})
	}
	for _, s := range m.GetSound() {
		r.Sound = append(r.Sound, quarantine.SoundReport{Part: quarantine.Part(s.GetPart()), Age: duration(s.GetAgeMs())})
	}
	return r
}

func partsToWire(parts []quarantine.Part) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, p := range parts {
		out = append(out, uint64(p))
	}
	return out
}

func partsFromWire(parts []uint64) []quarantine.Part {
	out := make([]quarantine.Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, quarantine.Part(p))
	}
	return out
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
