package placement

import "time"

// EngineModel predicts the speed of an engine that batches continuously. Durations are those of an engine at its usual speed.
type EngineModel struct {
	// PrefillPerMs is the number of prompt tokens that an engine reads in a millisecond.
	PrefillPerMs float64
	// Step is the time of one decoding step, StepPerRun what each running generation adds to it.
	Step       time.Duration
	StepPerRun time.Duration
	// Chunk is the number of prompt tokens that are read between two steps.
	Chunk int
	// MemoryTokens is the memory for running generations and copies.
	MemoryTokens int
	// Slots is the number of generations that run at once.
	Slots int
}

// DefaultEngineModel holds for engines of which nothing was measured yet.
var DefaultEngineModel = EngineModel{
	PrefillPerMs: 5, Step: 6500 * time.Microsecond, StepPerRun: 150 * time.Microsecond, Chunk: 125,
	MemoryTokens: 55_000, Slots: 64,
}

// Work is what is under way at one engine.
type Work struct {
	// PendingPrefill is the number of prompt tokens that are still to be read.
	PendingPrefill int
	// Running is the number of generations, those whose prompts are being read included.
	Running int
	// Memory is the number of tokens that running generations and copies take up at their end.
	Memory int
}

// Add returns the sum of two amounts of work.
func (w Work) Add(o Work) Work {
	return Work{PendingPrefill: w.PendingPrefill + o.PendingPrefill, Running: w.Running + o.Running, Memory: w.Memory + o.Memory}
}

// TimeToFirstEvent predicts when a prompt that is placed now is read, behind and beside the given work.
func (m EngineModel) TimeToFirstEvent(w Work, prompt int, slowness float64) time.Duration {
	read := float64(w.PendingPrefill+prompt) / m.PrefillPerMs
	steps := float64(w.PendingPrefill+prompt) / float64(m.Chunk)
	step := m.Step + time.Duration(w.Running)*m.StepPerRun
	return time.Duration(slowness * (read*float64(time.Millisecond) + steps*float64(step)))
}

// Fits tells whether a generation of the given size finds memory and a slot.
func (m EngineModel) Fits(w Work, tokens int) bool {
	return w.Running < m.Slots && w.Memory+tokens <= m.MemoryTokens
}
