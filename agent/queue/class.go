package queue

// Class is the scheduling class of work: short or long.
type Class uint32

// The scheduling classes.
const (
	Short Class = iota
	Long
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Short {
		return "short"
	}
	return "long"
}
