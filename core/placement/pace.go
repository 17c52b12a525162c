package placement

import "time"

// paceWeight is the weight of a generation's pace in the running mean; the engines' load changes within some generations.
const paceWeight = 0.1

// TokenTime is the usual time that engines take for an output token. Its zero value has measured nothing.
type TokenTime struct{ usual time.Duration }

// RecordFirstEvent takes the time that a number of output tokens took.
func (p *TokenTime) Record(taken time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	each := taken / time.Duration(tokens)
	if p.usual == 0 {
		p.usual = each
		return
	}
	p.usual += time.Duration(paceWeight * float64(each-p.usual))
}

// Ratio returns a time for a number of output tokens against the usual one, or zero while nothing was measured.
func (p *TokenTime) Ratio(taken time.Duration, tokens int) float64 {
	if p.usual == 0 || tokens <= 0 {
		return 0
	}
	return float64(taken) / float64(p.usual*time.Duration(tokens))
}

// GenerationTime returns how long a generation takes that is placed now: its prompt is read, then the output follows.
func (p *TokenTime) GenerationTime(m EngineModel, n Request) time.Duration {
	each := p.usual
	if each == 0 {
		each = m.Step + time.Duration(m.Slots/runningShare)*m.StepPerRun
	}
	return m.TimeToFirstEvent(Work{}, n.Prompt, 1) + time.Duration(n.Output)*each
}

// runningShare is the part of an engine's slots that is taken to be in use while nothing was measured: one in this many.
const runningShare = 8
