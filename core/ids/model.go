package ids

// Model identifies the exact model that an upstream runs. None of its fields changes in the course of an answer.
type Model struct {
	Name    string
	Version string
	Adapter string
}

// String returns name@version, or name@version+adapter if there is an adapter.
func (m Model) String() string {
	if m.Adapter == "" {
		return m.Name + "@" + m.Version
	}
	return m.Name + "@" + m.Version + "+" + m.Adapter
}
