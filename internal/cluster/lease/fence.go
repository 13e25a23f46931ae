package lease

// Fence checks fencing tokens for a resource that leases protect. The zero value has seen no token. It is not safe for concurrent use.
type Fence struct {
	highest map[string]Token // highest token seen, by lease name
}

// Allow reports whether an operation under a token may take effect. It may not once a higher token of the same lease was seen.
func (f *Fence) Allow(name string, t Token) bool {
	if f.highest == nil {
		f.highest = map[string]Token{}
	}
	if t < f.highest[name] {
		return false
	}
	f.highest[name] = t
	return true
}
