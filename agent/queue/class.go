package queue

// Class separates short work from long work.
type Class uint32

// The classes.
const (
	Short Class = iota
	Long
)

// String returns the class's name.
func (c Class) String() string {
	if c == Short {
		return "short"
	}
	return "long"
}
