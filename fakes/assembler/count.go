package assembler

// Calls returns how many calls the backend server has taken.
func (b *Backend) Calls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, n := range b.runs {
		total += n
	}
	return total
}
