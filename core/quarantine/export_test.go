package quarantine

// Bounds of what a Quarantine keeps and reports.
const (
	MaxCrashes        = maxCrashes
	MaxBreakers       = maxBreakers
	MaxSound          = 2 * maxSound
	MaxReportCrashes  = maxReportCrashes
	MaxReportBreakers = maxReportBreakers
	MaxReportSound    = maxReportSound
)

// Sizes returns the number of crashes, breakers and sound parts that are kept.
func (q *Quarantine) Sizes() (crashes, breakers, sound int) {
	return len(q.evidence.crashes), len(q.breakers), len(q.evidence.sound) + len(q.evidence.olderSound)
}
