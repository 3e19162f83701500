package rhubarbgate

// Header is one HTTP header.
type Header struct {
	Name  string
	Value string
}
