package roster

// Len returns the number of entries.
func (r *Roster) Len() int { return len(r.entries) }
