package rhubarbgate

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}
