package pace

import (
	"math"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// slowFactor is the ratio to the established upstreams' median, or to the upstream's own best, from which an answer counts as slow. Half of the
	// prompts take over 1.3 times as long as predicted.
	slowFactor = 1.5
	// medianStep is the relative step of the running median, which is larger for the first samples.
	medianStep = 0.05
	// maxClasses bounds the classes whose speed is measured. It exceeds the routes of a configuration.
	maxClasses = 1024
)

// Class is a kind of requests whose answers take about as long.
type Class struct {
	Service ids.Service
	Route   string
}

// Answer is an answer of an upstream.
type Answer struct {
	Start
	Class Class
	// Ratio is the time that the answer took relative to what is expected of an upstream of its speed. The unit is arbitrary, but the same
	// for all upstreams and answers of the class.
	Ratio float64
	// Slow is set if the upstream is known to be slow.
	Slow bool
}

// RecordAnswer records a good answer. The answers of established upstreams measure the speed that windows are compared with.
func (t *Tracker) RecordAnswer(a Answer, now time.Time) {
	if !(a.Ratio > 0) || math.IsInf(a.Ratio, 0) {
		return
	}
	if _, paced := t.windows[a.ID]; !paced {
		t.recordSpeed(a.Class, a.Ratio)
		return
	}
	w := t.get(a.Start)
	if w == nil {
		return
	}
	m, known := t.speeds[a.Class]
	w.grow(a.Ratio, !a.Slow && (!known || a.Ratio <= slowFactor*m.value), now)
}

func (t *Tracker) recordSpeed(c Class, ratio float64) {
	m, known := t.speeds[c]
	if !known {
		if len(t.speeds) >= maxClasses {
			clear(t.speeds)
		}
		m = &median{}
		t.speeds[c] = m
	}
	m.record(ratio)
}

// median is a running median. It takes a step up or down with each sample, so that outliers count like any other sample.
type median struct {
	value   float64
	samples int
}

func (m *median) record(sample float64) {
	m.samples++
	if m.samples == 1 {
		m.value = sample
		return
	}
	step := 1 + max(medianStep, 1/float64(m.samples))
	switch {
	case sample > m.value:
		m.value = min(sample, m.value*step)
	case sample < m.value:
		m.value = max(sample, m.value/step)
	}
}
