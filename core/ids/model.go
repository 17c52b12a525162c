package ids

// Model pins what an upstream has to run: an answer never changes any of these half-way.
type Model struct {
	Name    string
	Version string
	Adapter string
}

// String returns name@version, with the adapter behind a plus sign where there is one.
func (m Model) String() string {
	if m.Adapter == "" {
		return m.Name + "@" + m.Version
	}
	return m.Name + "@" + m.Version + "+" + m.Adapter
}
