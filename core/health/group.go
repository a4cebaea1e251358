package health

// Group counts the upstreams that stand in for one another, and bounds how many of
// them are ejected at once. It is not safe for concurrent use.
type Group struct {
	maxShare float64
	members  int
	ejected  int
}

// NewGroup returns an empty group of which at most the share maxShare, 0 to 1, is
// ejected at once. The number is rounded down.
func NewGroup(maxShare float64) *Group {
	return &Group{maxShare: maxShare}
}

// Members returns the number of upstreams that have been in use and are neither
// leaving nor removed.
func (g *Group) Members() int {
	return g.members
}

// Ejected returns the number of members that are ejected.
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

// leave takes out a member that is not ejected.
func (g *Group) leave() {
	g.members--
}

// eject counts one more ejected member; it returns false when the share allows
// none.
func (g *Group) eject() bool {
	if g.ejected >= g.Allowed() {
		return false
	}
	g.ejected++
	return true
}

func (g *Group) restore() {
	g.ejected--
}
