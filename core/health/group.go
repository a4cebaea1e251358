package health

// Group counts upstreams that can replace each other and limits how many of
// them are ejected at once. It is not safe for concurrent use.
type Group struct {
	maxShare float64
	members  int
	ejected  int
}

// NewGroup returns an empty group of which at most the share maxShare, 0 to 1,
// may be ejected at once. The resulting number is rounded down.
func NewGroup(maxShare float64) *Group {
	return &Group{maxShare: maxShare}
}

// Members returns the number of upstreams that have been active and are neither
// leaving nor removed.
func (g *Group) Members() int {
	return g.members
}

// Ejected returns the number of ejected members.
func (g *Group) Ejected() int {
	return g.ejected
}

// Allowed returns the number of members that may be ejected at once.
func (g *Group) Allowed() int {
	return int(g.maxShare * float64(g.members))
}

func (g *Group) join() {
	g.members++
}

// leave removes a member that is not ejected.
func (g *Group) leave() {
	g.members--
}

// eject increments the number of ejected members. It returns false, and changes
// nothing, if the limit is reached.
func (g *Group) eject() bool {
	if g.ejected >= g.Allowed() {
		return false
	}
	g.ejected++
	return true
}

// restore decrements the number of ejected members.
func (g *Group) restore() {
	g.ejected--
}
